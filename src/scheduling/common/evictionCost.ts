import { PolicyWeights } from "./policyWeights";
import { Task } from "./task";

/** A running task that could be evicted. */
export interface EvictionCandidate {
    readonly task: Task;
    /** Share of its work done, 0 to 1. */
    readonly progress: number;
    /** Slowdown (natural logarithm) that it causes to the services on its worker. */
    readonly interference: number;
}

/** Progress from which a task counts as near its end, and is evicted last. */
const NEAR_END_PROGRESS = 0.8;

/** Extra cost of evicting a task near its end, relative to a loss of one hour of work. */
const NEAR_END_COST = 10;

/** Extra cost for each earlier eviction of the task, so that no task is evicted repeatedly without end. */
const REPEAT_COST = 1;

const HOUR_MS = 3_600_000;

/**
 * @param candidate A running task.
 * @param weights Weights in force.
 * @returns Cost of evicting it; the task with the lowest cost is evicted first.
 */
export function evictionCost(candidate: EvictionCandidate, weights: PolicyWeights): number {
    const { task, progress, interference } = candidate;
    const workMs = task.request.durationMs * progress;
    const nearEnd = progress >= NEAR_END_PROGRESS ? NEAR_END_COST : 0;
    const disturbance = weights.evictions * (1 + nearEnd + REPEAT_COST * task.evictions);
    const lostWork = weights.throughput * (workMs / HOUR_MS);
    return disturbance + lostWork - weights.tailLatency * interference;
}

/** Whether a task may be evicted; a non-idempotent one may not, since it must not run twice. */
export function isEvictable(task: Task): boolean {
    return task.state === "assigned" && task.request.idempotency === "idempotent";
}
