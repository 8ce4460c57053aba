/** Lowest speed of a task that starts on any worker on which it fits, also on one that is closed below full speed. */
export const ANY_WORKER_PERCENT = -1;

/** Decides what a best-effort task accepts the longer its job has nothing running. */
export abstract class WaitPolicy {
    /**
     * @param waitedMs Time for which it has waited, in ms.
     * @returns Lowest speed at which it may start, in percent of full speed, or `ANY_WORKER_PERCENT`.
     */
    abstract minSpeedPercent(waitedMs: number): number;
}

/**
 * @param waitedMs Time for which a task has waited, in ms.
 * @param fromMs Time up to which it accepts only full speed, in ms.
 * @param toMs Time from which it accepts any speed, in ms.
 * @returns Lowest speed that it accepts, in percent; it falls evenly between the two.
 */
export function fallingSpeedPercent(waitedMs: number, fromMs: number, toMs: number): number {
    return Math.round(100 * Math.min(1, Math.max(0, (toMs - waitedMs) / (toMs - fromMs))));
}
