/**
 * Bounds of the timeout of a call, in addition to the time that the worker waits: 20 round trips between regions, and a time that
 * allows a retry within a lease.
 */
const MIN_TIMEOUT_MS = 800;
const MAX_TIMEOUT_MS = 2_400;

/** Timeout of a call, as a multiple of the average duration of those to its failure domain. */
const TIMEOUT_RATIO = 4;

/** Weight of the latest call in an average. */
const SMOOTHING_RATIO = 0.05;

/**
 * Knows how long calls to workers take. They rise when this instance is slow, or the links to the workers of a failure domain are full,
 * so these do not seem unreachable.
 */
export class AnswerTimes {
    /** Average durations by failure domain, in ms. */
    private readonly averages = new Map<string, number>();

    private constructor() {}

    /** @returns Times without calls. */
    static create(): AnswerTimes {
        return new AnswerTimes();
    }

    /** @param failureDomain Failure domain of a worker. @returns Time within which it has to answer, in ms. */
    timeoutMs(failureDomain: string): number {
        const neededMs = this.averageOf(failureDomain) * TIMEOUT_RATIO;
        return Math.round(Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, neededMs)));
    }

    /**
     * Records a call. One that was given up took this long at least: if such calls did not count, the timeout would stay too short for
     * as long as all of them take longer.
     * @param failureDomain Failure domain of the worker.
     * @param durationMs Time until it was answered or given up, in ms.
     */
    record(failureDomain: string, durationMs: number): void {
        const average = this.averageOf(failureDomain);
        this.averages.set(failureDomain, average + SMOOTHING_RATIO * (durationMs - average));
    }

    private averageOf(failureDomain: string): number {
        return this.averages.get(failureDomain) ?? 0;
    }
}
