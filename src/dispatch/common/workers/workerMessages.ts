import { WorkerEntry } from "./workerEntry";

/** Order to start a task. Times are readings of the worker's clock in ms. */
export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    /** The worker rejects the order after this time. */
    readonly validUntil: number;
    readonly fence: number;
    readonly checkpoint: string;
    readonly ticket?: string;
    /**
     * Reading that the clock of the worker's listed incarnation had passed when the start was ordered; left out while the worker
     * is so young that a later incarnation could show it, too.
     */
    readonly provingClockMs?: number;
}

/** Order to stop a run. The worker rejects a start of the run that arrives later. */
export interface StopOrder {
    readonly task: string;
    readonly run: number;
    readonly fence: number;
}

/** Order to throttle a run. */
export interface ThrottleOrder extends StopOrder {
    /** Speed in percent of full speed. */
    readonly percent: number;
}

/** Requests the list of runs and ends, and extends the lease of all runs on the worker. */
export interface ListOrder {
    readonly fence: number;
    /** Reading of the worker's clock (ms) up to which the lease is extended; without it, the lease is not extended. */
    readonly leaseUntil?: number;
    /** Ends up to this number are stored: the worker may forget them. */
    readonly recordedUpTo: number;
    /** Starts, by `startKeyOf`, whose answers the scheduler has not handled. */
    readonly unansweredStarts?: readonly string[];
    /** Time for which the worker may hold the request until a run ends, in ms. */
    readonly waitMs: number;
    /** Whether it only shows whether the worker has seen a raised fence of a former leader. */
    readonly isProbe?: boolean;
}

/** How a run ended, as the worker reports it. `alone`: the other members of its gang did not start in time. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run in a worker's list. */
export interface ListedRun {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    /** Progress, 0 to 100; a long-running task that is serving reports 100. */
    readonly percent: number;
    /** Tail latency in ms of a latency-critical task; CPU usage in thousandths of a core of any other. */
    readonly latencyOrUsage: number;
}

/** An ended run in a worker's list. */
export interface ListedEnd {
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** Runs and ends of a worker. */
export interface RunList {
    readonly incarnation: number | undefined;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
    /** Whether the worker may keep further ends: a run that is in neither list may have ended, too. */
    readonly hasMoreEnds?: boolean;
}

/** Outcome of an order. `unreachable`: nothing was sent. `no-answer`: it may have been executed, or may still be. */
export type OrderOutcome =
    | "done"
    | "fenced"
    | "superseded"
    | "too-late"
    | "no-room"
    | "no-ticket"
    | "other-incarnation"
    | "unhealthy"
    | "invalid"
    | "unreachable"
    | "no-answer";

/** Outcomes after which an order was certainly not executed and never will be. */
export const NOT_EXECUTED_OUTCOMES: readonly OrderOutcome[] = [
    "fenced",
    "superseded",
    "too-late",
    "no-room",
    "no-ticket",
    "other-incarnation",
    "unhealthy",
    "invalid",
    "unreachable",
];

/** @returns Name of a start among the orders to one worker. */
export function startKeyOf({ task, run }: Pick<StartOrder, "task" | "run">): string {
    return `${task}/${run}`;
}

/** @returns Whether the answer to a start shows that it was executed by the incarnation that was listed when it was ordered. */
export function isStartProven(order: StartOrder, outcome: OrderOutcome, clockMs: number | undefined): boolean {
    const { provingClockMs } = order;
    return outcome === "done" && provingClockMs !== undefined && clockMs !== undefined && clockMs >= provingClockMs;
}

/** @returns Whether the answer to a start shows that no later incarnation has executed it. */
export function isStartAccountedFor(order: StartOrder, outcome: OrderOutcome, clockMs: number | undefined): boolean {
    return NOT_EXECUTED_OUTCOMES.includes(outcome) || isStartProven(order, outcome, clockMs);
}

/** Orders to workers. */
export type WorkerEffect =
    | { readonly kind: "start"; readonly worker: WorkerEntry; readonly order: StartOrder }
    | { readonly kind: "stop"; readonly worker: WorkerEntry; readonly order: StopOrder }
    | {
          readonly kind: "throttle";
          readonly worker: WorkerEntry;
          readonly order: ThrottleOrder;
          /** Whether the new speed is higher: the order may wait, since it protects no other task. */
          readonly isIncrease: boolean;
      }
    | { readonly kind: "list"; readonly worker: WorkerEntry; readonly order: ListOrder };

/** Common fields of all answers of workers. */
export interface WorkerAnswer {
    readonly worker: string;
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock in ms, if the answer contains one. */
    readonly clockMs: number | undefined;
    /** Time (ms) at which the order was sent. */
    readonly sentAt: number;
    /** Time (ms) at which the answer arrived, if it is handled later. */
    readonly receivedAt?: number;
}

/** Answers of workers. */
export type WorkerEvent =
    | ({ readonly kind: "start-answer"; readonly order: StartOrder } & WorkerAnswer)
    | ({ readonly kind: "stop-answer"; readonly order: StopOrder } & WorkerAnswer)
    | ({ readonly kind: "throttle-answer"; readonly order: ThrottleOrder } & WorkerAnswer)
    | ({ readonly kind: "list-answer"; readonly order: ListOrder; readonly list: RunList | undefined } & WorkerAnswer);
