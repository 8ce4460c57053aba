/** Weight of the newest run time in a family's mean. */
const SMOOTHING = 0.2;

/** Mean run time of each task family, for foreseeing when a slot becomes free. */
export class FamilyDurations {
    private readonly means = new Map<string, number>();

    private constructor() {}

    /** @returns Durations of families that have never been run. */
    static create(): FamilyDurations {
        return new FamilyDurations();
    }

    /** @param family Name of a family. @returns Its mean run time in ms, if any of it has been done. */
    mean(family: string): number | undefined {
        return this.means.get(family);
    }

    /** Notes the run time of a task that is done. @param durationMs Run time in ms. */
    note(family: string, durationMs: number): void {
        const mean = this.means.get(family) ?? durationMs;
        this.means.set(family, mean + SMOOTHING * (durationMs - mean));
    }
}
