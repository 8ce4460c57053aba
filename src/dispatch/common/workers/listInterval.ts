import { Run } from "../runs/run";
import type { WorkerContact } from "./workerContact";

/**
 * Time for which a worker holds a list request until a run ends, in ms, and so the age of the latencies that it
 * reports. Each list is work for the leader, so the wait grows with the number of workers, up to what the reaction time to a
 * missed latency target allows, and with the delay of the loop where no speed depends on the reports.
 */
const MIN_LIST_WAIT_MS = 500;
const LIST_WAIT_PER_WORKER_MS = 4;
const LIST_WAIT_PER_DELAY_MS = 4;
const MAX_LIST_WAIT_MS = 1_200;

/** Interval between lists of an idle worker, in ms. */
const IDLE_LIST_INTERVAL_MS = 1_200;

/** Interval between lists of a worker that does not answer or whose ends are being stored, in ms. */
export const LIST_RETRY_INTERVAL_MS = 300;

/** Interval between lists of a worker whose runs are all stable, in ms; the worker holds each of these requests. */
const STABLE_LIST_INTERVAL_MS = 25;

/** Interval between lists of a worker with a run in a transient state, in ms. */
const TRANSIENT_LIST_INTERVAL_MS = 60;

/** States of runs that the next list resolves. */
export const TRANSIENT_STATES = new Set(["inherited", "unconfirmed", "stopping", "stopped"]);

/** @param worker A worker that has answered. @returns Time until its next list is requested, in ms. */
export function listIntervalMs(worker: WorkerContact): number {
    if (worker.hasUnrecordedEnds) {
        return LIST_RETRY_INTERVAL_MS;
    }
    if (worker.runs.size === 0) {
        return IDLE_LIST_INTERVAL_MS;
    }
    return [...worker.runs.values()].some(run => TRANSIENT_STATES.has(run.state))
        ? TRANSIENT_LIST_INTERVAL_MS
        : STABLE_LIST_INTERVAL_MS;
}

/**
 * A worker answers at the latest when it has survived the start of its suspected tasks, so that these are cleared.
 * @param worker A worker.
 * @param workers Number of workers.
 * @param loopDelayMs Median delay of the leader's loop, in ms.
 * @param now Time in ms.
 * @returns Time for which it holds the next list request until a run ends, in ms.
 */
export function listWaitMs(worker: WorkerContact, workers: number, loopDelayMs: number, now: number): number {
    const runs = [...worker.runs.values()];
    const forWorkersMs = Math.max(MIN_LIST_WAIT_MS, workers * LIST_WAIT_PER_WORKER_MS);
    const waitMs = forWorkersMs + (isShared(runs) ? 0 : loopDelayMs * LIST_WAIT_PER_DELAY_MS);
    const onProbation = runs.filter(run => run.task.suspicion?.recorded !== undefined);
    const unproven = onProbation.filter(run => !run.isProven).map(run => Math.max(0, run.provenInMs(now)));
    return Math.round(Math.min(MAX_LIST_WAIT_MS, waitMs, ...unproven));
}

/** @returns Whether latency-critical tasks run beside best-effort ones, whose speeds depend on what the worker reports. */
function isShared(runs: readonly Run[]): boolean {
    return runs.some(run => run.task.step.usesSpareCpu) && runs.some(run => run.task.step.tailTargetMs !== undefined);
}
