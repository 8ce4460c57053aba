/** Time at work that is assumed before any is measured, in ms. */
const PRIOR_UPTIME_MS = 50_000;

/**
 * Times after which measurements have lost most of their weight, in ms, and the losses that are assumed before any are
 * measured. The highest rate counts: the short memory shows when many workers are lost at once, the long one is more exact.
 */
const MEMORIES = [
    { memoryMs: 10_000, priorLosses: 0 },
    { memoryMs: 60_000, priorLosses: 1 },
];

/** Probability of a loss within a second, by the short memory, from which losses are frequent. */
const FREQUENT_WITHIN_1S = 0.05;

/** Longest time between two measurements that counts, in ms: the process may have been suspended meanwhile. */
const MAX_INTERVAL_MS = 1_000;

/** Measurements of which the older ones have less weight. */
interface Measurement {
    /** Time after which a loss has lost most of its weight, in ms. */
    readonly memoryMs: number;
    readonly priorLosses: number;
    losses: number;
    /** Time for which workers had runs, in ms. */
    uptimeMs: number;
}

/**
 * Measures how often workers are lost for no known cause: the evidence that a loss gives against a task depends on how
 * likely the worker would have been lost without it.
 */
export class LossRate {
    private readonly measurements: readonly Measurement[] = MEMORIES.map(each => ({ ...each, losses: 0, uptimeMs: 0 }));
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
        this.measuredAt = now;
        for (const each of this.measurements) {
            const weight = Math.exp(-intervalMs / each.memoryMs);
            each.losses *= weight;
            each.uptimeMs = each.uptimeMs * weight + workers * intervalMs;
        }
    }

    /** Records that a worker with runs was lost for no known cause. */
    recordLoss(): void {
        this.measurements.forEach(each => (each.losses += 1));
    }

    /** Takes back losses whose cause has become known. @param count Their number. */
    discountLosses(count: number): void {
        this.measurements.forEach(each => (each.losses = Math.max(0, each.losses - count)));
    }

    /** Whether workers have been lost so often of late, for no known cause, that the loss of one more says little. */
    get isHigh(): boolean {
        const [recent] = this.measurements;
        return -Math.expm1(-1_000 * rateOf(recent)) > FREQUENT_WITHIN_1S;
    }

    /**
     * @param ms A time in ms.
     * @param without Number of losses to leave out.
     * @returns How many losses of a worker are expected within that time.
     */
    expectedWithin(ms: number, without: number): number {
        const rates = this.measurements.map(each => rateOf({ ...each, losses: Math.max(0, each.losses - without) }));
        return ms * Math.max(...rates);
    }

    /**
     * @param ms A time in ms.
     * @param without Number of losses to leave out.
     * @returns Probability that a worker is lost within that time for no known cause.
     */
    probabilityWithin(ms: number, without = 0): number {
        return -Math.expm1(-this.expectedWithin(ms, without));
    }
}

/** @returns Losses of a worker in a ms. */
function rateOf({ priorLosses, losses, uptimeMs }: Measurement): number {
    return (priorLosses + losses) / (PRIOR_UPTIME_MS + uptimeMs);
}
