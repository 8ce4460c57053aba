import { PlaceOutlook, PlacePolicy, PlaceReason } from "./placePolicy";

/** Delay scheduling: tasks wait for their rack for the same time, whatever they are and however full it is. */
export class FixedDelayPolicy extends PlacePolicy {
    private constructor(private readonly delayMs: number) {
        super();
    }

    /** @param delayMs Time for which tasks wait, in ms. @returns The policy. */
    static create(delayMs: number): FixedDelayPolicy {
        return new FixedDelayPolicy(delayMs);
    }

    override review({ waitedMs, dueMs }: PlaceOutlook): PlaceReason {
        if (dueMs <= 0) {
            return "due";
        }
        return waitedMs < this.delayMs ? "pays" : "overdue";
    }
}
