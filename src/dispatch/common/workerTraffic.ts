import { WorkerEntry } from "./workerEntry";

/** Order to start a task. Times are readings of the worker's clock in ms. */
export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    /** The worker rejects the order after this time. */
    readonly validUntil: number;
    readonly epoch: number;
    readonly checkpoint: string;
    readonly ticket?: string;
}

/** Order to stop a run; a run that has not started yet is rejected from then on. */
export interface StopOrder {
    readonly task: string;
    readonly run: number;
    readonly epoch: number;
}

/** Order to let a run work at a share of its speed. */
export interface ThrottleOrder extends StopOrder {
    /** 0 to 100. */
    readonly percent: number;
}

/** Asks for what runs and what has ended, and extends the lease of all that runs. */
export interface ListOrder {
    readonly epoch: number;
    /** Reading of the worker's clock up to which its runs may go on; without it, the lease is not extended. */
    readonly leaseUntil?: number;
    /** Ends up to this number are recorded and may be forgotten. */
    readonly recordedUpTo: number;
    /** How long the worker may wait for an end before it answers, in ms. */
    readonly waitMs: number;
}

/** How a run ended, in the words of the worker. `alone`: the other members of its gang did not come. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run that a worker lists. */
export interface ListedRun {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    /** Share of the work that is done, 0 to 100; for a long-running task 100 when it is at work. */
    readonly percent: number;
    /** Tail latency in ms of a task that serves, processor time in use (thousandths of a core) of others. */
    readonly measure: number;
}

/** An end that a worker lists. */
export interface ListedEnd {
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** What a worker runs. */
export interface RunList {
    readonly incarnation: number | undefined;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
}

/** How a worker took an order. `unreachable`: nothing was sent. After `no-answer` it may have been carried out, or may yet be. */
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

/** Outcomes after which an order was certainly not carried out and never will be. */
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

/** Calls to workers. */
export type WorkerEffect =
    | { readonly kind: "start"; readonly worker: WorkerEntry; readonly order: StartOrder }
    | { readonly kind: "stop"; readonly worker: WorkerEntry; readonly order: StopOrder }
    | { readonly kind: "throttle"; readonly worker: WorkerEntry; readonly order: ThrottleOrder }
    | { readonly kind: "list"; readonly worker: WorkerEntry; readonly order: ListOrder };

/** What every answer of a worker carries. */
export interface WorkerAnswer {
    readonly worker: string;
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock in ms, if it answered with one. */
    readonly clockMs: number | undefined;
    /** Time (ms) at which the order was sent. */
    readonly sentAt: number;
}

/** Answers of workers. */
export type WorkerEvent =
    | ({ readonly kind: "start-answer"; readonly order: StartOrder } & WorkerAnswer)
    | ({ readonly kind: "stop-answer"; readonly order: StopOrder } & WorkerAnswer)
    | ({ readonly kind: "throttle-answer"; readonly order: ThrottleOrder } & WorkerAnswer)
    | ({ readonly kind: "list-answer"; readonly order: ListOrder; readonly list: RunList | undefined } & WorkerAnswer);
