/** An upstream with a free slot. */
export interface UpstreamOption {
    readonly worker: string;
    readonly isLocal: boolean;
    /** Slots of the upstream that this instance may use. */
    readonly slots: number;
    readonly busySlots: number;
    /** Mean time to the head of a response, in ms. */
    readonly latencyMs: number;
    /** Time since the last response, in ms. */
    readonly ageMs: number;
}
