/** An upstream with a free slot. */
export interface UpstreamOption {
    readonly worker: string;
    readonly isLocal: boolean;
    /** Slots of it that this instance may use. */
    readonly slots: number;
    readonly busySlots: number;
    /** Mean time to the head of an answer, in ms. */
    readonly latencyMs: number;
    /** Time since the latest answer, in ms. */
    readonly ageMs: number;
}
