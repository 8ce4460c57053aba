/** Minimum interval between passes over the waiting tasks, in ms. It grows with the workers: a pass visits them all. */
const MIN_PASS_INTERVAL_MS = 20;
const PASS_INTERVAL_PER_WORKER_MS = 0.2;

/** Maximum interval between passes, in ms: latencies change even while no run ends. */
const MAX_PASS_INTERVAL_MS = 150;

/** Time between two calls while there is nothing to do, in ms: a tick of the loop. */
const MAX_IDLE_MS = 25;

/**
 * Pause after a pass, as a multiple of the time that it took. Answers that are handled meanwhile change what the next pass
 * finds, and are not delayed by a pass after each of them.
 */
const PAUSE_RATIO = 2;
const MAX_PAUSE_MS = 500;

/** Decides when the waiting tasks are passed over, so that passes leave time for everything else that is due. */
export class PassPacer {
    /** Time (ms) at which the latest pass began. */
    private startedAt = 0;
    /** Time (ms) before which there is no pass. */
    private nextAt = 0;
    /** Whether no call has shown yet how long the latest pass took. */
    private isMeasuring = false;

    private constructor() {}

    /** @returns A pacer before the first pass. */
    static create(): PassPacer {
        return new PassPacer();
    }

    /**
     * @param workers Number of workers.
     * @param now Time in ms; that of the first call after a pass shows how long the pass took.
     * @returns Whether a pass may begin.
     */
    mayBegin(workers: number, now: number): boolean {
        if (this.isMeasuring) {
            this.isMeasuring = false;
            const tookMs = now - this.startedAt;
            const intervalMs = Math.max(MIN_PASS_INTERVAL_MS, workers * PASS_INTERVAL_PER_WORKER_MS);
            const pauseMs = tookMs > MAX_IDLE_MS ? Math.min(MAX_PAUSE_MS, tookMs * PAUSE_RATIO) : 0;
            this.nextAt = Math.max(this.startedAt + intervalMs, now + pauseMs);
        }
        return now >= this.nextAt;
    }

    /** @param now Time in ms. @returns Whether the latest pass is so long ago that another one is needed. */
    isOverdue(now: number): boolean {
        return now - this.startedAt > MAX_PASS_INTERVAL_MS;
    }

    /** Records that a pass begins. @param now Time in ms. */
    begin(now: number): void {
        this.startedAt = now;
        this.isMeasuring = true;
    }
}
