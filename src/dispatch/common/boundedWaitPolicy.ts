import { MAX_IDLE_MS, MAX_LEADER_DELAY_MS, START_DELAY_MS } from "./dispatchLimits";
import { ANY_WORKER_PERCENT, fallingSpeedPercent, WaitPolicy } from "./waitPolicy";

/** Time after which a worker must be chosen, so that the run is at work in time, in ms. */
const MAX_CHOICE_MS = MAX_IDLE_MS - MAX_LEADER_DELAY_MS - START_DELAY_MS;

/** Time without any run for which a job waits for full speed, in ms. */
const FULL_SPEED_WAIT_MS = (MAX_CHOICE_MS * 2) / 3;

/** The wait while the service has room: a job gets a run within the time that callers accept. */
export class BoundedWaitPolicy extends WaitPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): BoundedWaitPolicy {
        return new BoundedWaitPolicy();
    }

    /** @param waitedMs Time for which a job has waited, in ms. @returns Whether it goes before all jobs with more time. */
    isDue(waitedMs: number): boolean {
        return waitedMs >= MAX_CHOICE_MS;
    }

    override minSpeedPercent(waitedMs: number): number {
        return this.isDue(waitedMs)
            ? ANY_WORKER_PERCENT
            : fallingSpeedPercent(waitedMs, FULL_SPEED_WAIT_MS, MAX_CHOICE_MS);
    }
}
