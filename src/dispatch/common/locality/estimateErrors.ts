import { Estimate } from "./estimate";

/** Weight of the latest run in the measured error. */
const SMOOTHING_RATIO = 0.05;

/** Variance of the logarithm of the error that is assumed before any run has ended. */
const INITIAL_VARIANCE = 0.25;

/** Limits of the error of one run, as factor: a run that was paused says nothing about the next one. */
const MAX_ERROR_FACTOR = 10;

/** Shortest estimate that counts, in ms. */
const MIN_ESTIMATE_MS = 10;

/** Error of the estimates of one queue. */
interface EstimateError {
    /** Mean of the logarithm of actual to estimated duration. */
    mean: number;
    variance: number;
}

/** Learns from ended runs how far the durations are off that the callers of a queue estimate. */
export class EstimateErrors {
    private readonly byQueue = new Map<string, EstimateError>();

    private constructor() {}

    /** @returns Errors of which nothing is measured. */
    static create(): EstimateErrors {
        return new EstimateErrors();
    }

    /**
     * Records the duration of a task that was done.
     * @param queue Name of its queue.
     * @param estimateMs Its estimated duration, in ms.
     * @param actualMs Its duration as it is on the rack that it prefers, in ms.
     */
    record(queue: string, estimateMs: number, actualMs: number): void {
        const ratio = Math.max(1, actualMs) / Math.max(MIN_ESTIMATE_MS, estimateMs);
        const error = Math.log(Math.min(MAX_ERROR_FACTOR, Math.max(1 / MAX_ERROR_FACTOR, ratio)));
        const known = this.byQueue.get(queue) ?? { mean: 0, variance: INITIAL_VARIANCE };
        const residual = error - known.mean;
        this.byQueue.set(queue, {
            mean: known.mean + SMOOTHING_RATIO * residual,
            variance: (1 - SMOOTHING_RATIO) * (known.variance + SMOOTHING_RATIO * residual * residual),
        });
    }

    /** @param queue Name of a queue. @param estimateMs Estimated duration of a task, in ms. @returns Its expected duration. */
    workOf(queue: string, estimateMs: number): Estimate {
        const { mean, variance } = this.byQueue.get(queue) ?? { mean: 0, variance: INITIAL_VARIANCE };
        const meanMs = Math.max(MIN_ESTIMATE_MS, estimateMs) * Math.exp(mean + variance / 2);
        return { meanMs, deviationMs: meanMs * Math.sqrt(Math.exp(variance) - 1) };
    }
}
