/** The delay of leaders is judged by the largest of each half second. */
const INTERVAL_MS = 500;

/** Delay that is too long for the bounds of the contract, in ms. */
const MAX_DELAY_MS = 500;

/** How long events waited for the processor of a leader in a trial. */
export class TrialDelays {
    private readonly mostByInterval = new Map<number, number>();

    private constructor() {}

    /** @returns A record without delays. */
    static create(): TrialDelays {
        return new TrialDelays();
    }

    /** Half seconds with an event of a leader, those in which one waited too long, and the longest wait in ms. */
    get counts(): { halfSeconds: number; lateHalfSeconds: number; mostDelayMs: number } {
        const most = [...this.mostByInterval.values()];
        return {
            halfSeconds: most.length,
            lateHalfSeconds: most.filter(ms => ms > MAX_DELAY_MS).length,
            mostDelayMs: Math.round(Math.max(0, ...most)),
        };
    }

    /** Records that an event is handled. @param waitedMs For how long it waited, in ms. @param now Time in ms. */
    record(waitedMs: number, now: number): void {
        const interval = Math.floor(now / INTERVAL_MS);
        this.mostByInterval.set(interval, Math.max(waitedMs, this.mostByInterval.get(interval) ?? 0));
    }
}
