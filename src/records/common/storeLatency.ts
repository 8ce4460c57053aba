/** Time in which the excess of an answer that was late is forgotten by half, in ms: about as long as the interval between two reads. */
const EXCESS_HALF_LIFE_MS = 1_000;

/** Largest excess that counts, in ms. A longer one says how many calls were queued, not how slow the store is. */
const MAX_EXCESS_MS = 500;

/** How long the store takes to answer, from the calls of one instance. */
export class StoreLatency {
    private latestExcessMs = 0;
    private measuredAt = 0;

    /** Shortest duration of a call in ms, or `undefined` before the first one. */
    shortestMs: number | undefined;

    private constructor() {}

    /** @returns A latency without measurements. */
    static create(): StoreLatency {
        return new StoreLatency();
    }

    /**
     * Records a call that was answered.
     * @param durationMs Its duration in ms, without the time for which the store was asked to hold it.
     * @param now Time in ms.
     */
    record(durationMs: number, now: number): void {
        this.shortestMs = Math.min(this.shortestMs ?? durationMs, durationMs);
        this.latestExcessMs = Math.max(this.excessMs(now), Math.min(MAX_EXCESS_MS, durationMs - this.shortestMs));
        this.measuredAt = now;
    }

    /** @param now Time in ms. @returns How much longer than the shortest call the latest ones took, in ms. */
    excessMs(now: number): number {
        return this.latestExcessMs * 2 ** ((this.measuredAt - now) / EXCESS_HALF_LIFE_MS);
    }
}
