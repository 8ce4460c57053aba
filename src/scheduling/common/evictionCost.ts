import { PolicyWeights } from "./policyWeights";
import { Task } from "./task";

/** A running task that could make room. */
export interface EvictionCandidate {
    readonly task: Task;
    /** Share of its work done, 0 to 1. */
    readonly progress: number;
    /** Slowdown (natural logarithm) that it causes to what runs beside it. */
    readonly harm: number;
}

/** Progress from which a task is close enough to its end to be the last to be evicted. */
const NEAR_END_PROGRESS = 0.8;

/** Cost of evicting a task near its end, against the loss of one hour of work. */
const NEAR_END_COST = 10;

/** Cost of every earlier eviction of the same task, so that no task is evicted for ever. */
const REPEAT_COST = 1;

const HOUR_MS = 3_600_000;

/**
 * @param candidate A running task.
 * @param weights Weights in force.
 * @returns Cost of evicting it; the cheapest goes first.
 */
export function evictionCost(candidate: EvictionCandidate, weights: PolicyWeights): number {
    const { task, progress, harm } = candidate;
    const workMs = task.request.durationMs * progress;
    const nearEnd = progress >= NEAR_END_PROGRESS ? NEAR_END_COST : 0;
    const disturbance = weights.evictions * (1 + nearEnd + REPEAT_COST * task.evictions);
    const lostWork = weights.throughput * (workMs / HOUR_MS);
    return disturbance + lostWork - weights.tailLatency * harm;
}

/** Whether a task may be evicted at all: one that must not run twice is left alone. */
export function isEvictable(task: Task): boolean {
    return task.state === "assigned" && task.request.idempotency === "idempotent";
}
