import { UsedRatios } from "../workers/serviceUsage";

/** Lowest speed of a task that starts on any worker on which it fits, also on one that is closed below full speed. */
export const ANY_WORKER_PERCENT = -1;

/** What a wait is judged by. */
export interface Wait {
    /** Time for which it has lasted so far, in ms. */
    readonly waitedMs: number;
    /** The same with all earlier waits of the job or long-running task, in ms. */
    readonly totalMs: number;
    /** Shares of the service's capacity that are in use. */
    readonly used: UsedRatios;
    /** Time that the leader itself takes from the end of a run to the start of the next one, in ms. */
    readonly lateMs: number;
}

/** Decides what a best-effort task accepts the longer its job has nothing running. */
export abstract class WaitPolicy {
    /** @returns Lowest speed at which the task may start, in percent of full speed, or `ANY_WORKER_PERCENT`. */
    abstract minSpeedPercent(wait: Wait): number;
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
