import type { WorkerContact } from "./workerContact";

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
