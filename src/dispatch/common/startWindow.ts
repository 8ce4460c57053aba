/** Limit on starts in flight that a rejection never goes below. */
const MIN_STARTS = 8;

/** Share of the limit that remains after a start that came too late. */
const DECREASE_RATIO = 0.5;

/** By how much the limit rises with each start that was carried out. */
const INCREASE = 0.5;

/** Time in ms within which further late starts do not lower the limit again: they were sent before it was lowered. */
const SETTLING_TIME_MS = 1_500;

/**
 * How many starts may be in flight. A start that comes too late shows that more are sent than arrive in time, so fewer are sent, and
 * slowly more again, instead of sending it again at once.
 */
export class StartWindow {
    private limit = Number.POSITIVE_INFINITY;
    private loweredAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** @returns A window without a limit of its own. */
    static create(): StartWindow {
        return new StartWindow();
    }

    /** @param most Limit while all starts are in time. @returns The limit on starts in flight. */
    limitOf(most: number): number {
        return Math.floor(Math.min(this.limit, most));
    }

    /** Records that a start was carried out. */
    recordInTime(): void {
        this.limit += INCREASE;
    }

    /**
     * Records that a start came too late.
     * @param most Limit while all starts are in time.
     * @param now Time in ms.
     */
    recordLate(most: number, now: number): void {
        if (now - this.loweredAt >= SETTLING_TIME_MS) {
            this.loweredAt = now;
            this.limit = Math.max(MIN_STARTS, this.limitOf(most) * DECREASE_RATIO);
        }
    }
}
