/** Losses and time at work that are assumed before any are measured, in ms. */
const PRIOR_LOSSES = 1;
const PRIOR_UPTIME_MS = 50_000;

/** Time after which measurements have lost most of their weight, in ms. */
const MEMORY_MS = 60_000;

/** Longest time between two measurements that counts, in ms: the process may have been suspended meanwhile. */
const MAX_INTERVAL_MS = 1_000;

/**
 * Measures how often workers are lost for no known cause: the evidence that a loss gives against a task depends on how
 * likely the worker would have been lost without it.
 */
export class LossRate {
    private losses = 0;
    /** Time for which workers had runs, in ms. */
    private uptimeMs = 0;
    /** Time (ms) of the latest measurement. */
    private measuredAt: number | undefined;

    private constructor() {}

    /** @returns The rate before any measurement. */
    static create(): LossRate {
        return new LossRate();
    }

    /** Records that workers are at work. @param workers Number of workers with runs. @param now Time in ms. */
    recordUptime(workers: number, now: number): void {
        const intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(0, now - (this.measuredAt ?? now)));
        const weight = Math.exp(-intervalMs / MEMORY_MS);
        this.measuredAt = now;
        this.losses *= weight;
        this.uptimeMs = this.uptimeMs * weight + workers * intervalMs;
    }

    /** Records that a worker with runs was lost for no known cause. */
    recordLoss(): void {
        this.losses += 1;
    }

    /** Takes back losses whose cause has become known. @param count Their number. */
    discountLosses(count: number): void {
        this.losses = Math.max(0, this.losses - count);
    }

    /** @param ms A time in ms. @returns Probability that a worker is lost within that time for no known cause. */
    probabilityWithin(ms: number): number {
        const lossesPerMs = (PRIOR_LOSSES + this.losses) / (PRIOR_UPTIME_MS + this.uptimeMs);
        return -Math.expm1(-ms * lossesPerMs);
    }
}
