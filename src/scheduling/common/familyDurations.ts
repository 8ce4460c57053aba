/** Weight of the newest run time in a family's mean. */
const SMOOTHING_RATIO = 0.2;

/** Mean run time of each task family, for estimating when a slot becomes free. */
export class FamilyDurations {
    private readonly means = new Map<string, number>();

    private constructor() {}

    /** @returns Durations without samples. */
    static create(): FamilyDurations {
        return new FamilyDurations();
    }

    /** @param family Name of a family. @returns Its mean run time in ms; `undefined` without samples. */
    mean(family: string): number | undefined {
        return this.means.get(family);
    }

    /** Records the run time of a completed task. @param family Name of the family. @param durationMs Run time in ms. */
    record(family: string, durationMs: number): void {
        const mean = this.means.get(family) ?? durationMs;
        this.means.set(family, mean + SMOOTHING_RATIO * (durationMs - mean));
    }
}
