import { MAX_IDLE_MS, MAX_LEADER_DELAY_MS, START_DELAY_MS } from "../scheduler/dispatchLimits";
import { UsedRatios } from "../workers/serviceUsage";
import { ANY_WORKER_PERCENT, fallingSpeedPercent, Wait, WaitPolicy } from "./waitPolicy";

/**
 * Shares of a service's capacity in use up to which the whole bound holds, and from which on there is none. Callers count on it
 * while less than half is in use; the wait grows smoothly between the two, since the leader's view is not exact. Runs that are
 * throttled hold their memory for long, and tasks with reserved CPU have to find room, too.
 */
const BOUNDED_USED: UsedRatios = { cpu: 0.55, idleMemory: 0.5 };
const FULL_USED: UsedRatios = { cpu: 0.75, idleMemory: 0.7 };

/** Part of the wait for which a task accepts only full speed. */
const FULL_SPEED_WAIT_RATIO = 2 / 3;

/** Part of the bound to which a wait is limited once the waits of a job have used up the first one. */
const REPEATED_WAIT_RATIO = 0.2;

/** What a service makes its jobs wait for, without a wait. */
export type WaitLimits = Pick<Wait, "used" | "lateMs">;

/** The wait while the service has room: a job gets a run within the time that callers accept. */
export class BoundedWaitPolicy extends WaitPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): BoundedWaitPolicy {
        return new BoundedWaitPolicy();
    }

    /** @returns Time after which a worker must be chosen for a job that has not waited before, in ms; infinite in a full service. */
    limitMs({ used, lateMs }: WaitLimits): number {
        const fullness = Math.max(fullnessOf(used, "cpu"), fullnessOf(used, "idleMemory"));
        const choiceMs = MAX_IDLE_MS - Math.max(MAX_LEADER_DELAY_MS + START_DELAY_MS, lateMs);
        return fullness >= 1 ? Number.POSITIVE_INFINITY : Math.max(0, choiceMs) / (1 - fullness * fullness);
    }

    /** @returns Time until the task goes before all jobs with more time, in ms; infinite in a full service. */
    dueMs(wait: Wait): number {
        return Math.max(0, this.limitOf(wait) - wait.waitedMs);
    }

    override minSpeedPercent(wait: Wait): number {
        const limitMs = this.limitOf(wait);
        if (wait.waitedMs >= limitMs) {
            return ANY_WORKER_PERCENT;
        }
        return limitMs === Number.POSITIVE_INFINITY
            ? 100
            : fallingSpeedPercent(wait.waitedMs, limitMs * FULL_SPEED_WAIT_RATIO, limitMs);
    }

    private limitOf(wait: Wait): number {
        const limitMs = this.limitMs(wait);
        return wait.totalMs >= limitMs ? limitMs * REPEATED_WAIT_RATIO : limitMs;
    }
}

/** @returns How far the use of a resource is between the two limits, from 0 to 1. */
function fullnessOf(used: UsedRatios, resource: keyof UsedRatios): number {
    const ratio = (used[resource] - BOUNDED_USED[resource]) / (FULL_USED[resource] - BOUNDED_USED[resource]);
    return Math.min(1, Math.max(0, ratio));
}
