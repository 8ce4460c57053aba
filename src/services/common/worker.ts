import { Result } from "ts-results";

/** Orders the owners of a worker: a worker refuses a call with a lower epoch than it has seen. */
export type Epoch = number;

/** Names one attempt of a task at a worker. */
export interface AttemptName {
    readonly task: string;
    readonly attempt: number;
}

/** Order to run one attempt. All times are readings of the worker's own clock, in milliseconds. */
export interface StartOrder extends AttemptName {
    /** Reading after which the worker must not start the attempt any more. */
    readonly startBy: number;
    readonly expiresAt: number;
    readonly family: string;
    readonly payload: string;
    readonly checkpoint: string;
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** What a worker does with an attempt when it renews its lease. */
export type LeaseOrder = "run" | "throttle" | "checkpoint-and-stop" | "stop";

/** Extends the lease of one attempt. */
export interface Renewal extends AttemptName {
    readonly expiresAt: number;
    readonly order: LeaseOrder;
}

/** Starts attempts, renews leases, acknowledges results and asks for a report, all in one call. */
export interface LeaseCall {
    /** Shard that the worker belongs to. */
    readonly shard: string;
    readonly epoch: Epoch;
    /** Whether the report is to say what the attempts use. */
    readonly usage: boolean;
    /** Boot that starts and renewals are meant for; another boot of the worker only reports. */
    readonly boot: string;
    readonly starts: readonly StartOrder[];
    readonly renewals: readonly Renewal[];
    readonly acknowledged: readonly AttemptName[];
}

/** How an attempt ended. `lapsed`: the worker stopped it because its lease ran out. */
export type AttemptOutcome = "done" | "failed" | "evicted" | "lapsed" | "stopped";

/** An attempt that a worker is running. */
export interface RunningAttempt extends AttemptName {
    /** Share of the work done, 0 to 1. */
    readonly progress: number;
    readonly cpus: number;
    readonly memoryGb: number;
    /** Time per unit of work over the time it takes alone; 1 without interference. */
    readonly slowdown: number;
}

/** An attempt that ended and whose end has not been acknowledged. */
export interface FinishedAttempt extends AttemptName {
    readonly outcome: AttemptOutcome;
    readonly result: string;
    readonly checkpoint: string;
}

/** A worker's answer. The usage in it lags; the lists of attempts and the clock do not. */
export interface WorkerReport {
    readonly boot: string;
    /** The worker's own clock, in milliseconds since its boot. */
    readonly clock: number;
    /** Reading of the worker's clock when the usage and slowdown in the report were measured. */
    readonly measuredAt: number;
    readonly running: readonly RunningAttempt[];
    readonly finished: readonly FinishedAttempt[];
    /** Starts of this call that the worker refused. */
    readonly refused: readonly AttemptName[];
}

/** `refused`: the worker answered and did not act. `unreachable`: nobody knows. */
export type WorkerError =
    { readonly kind: "refused"; readonly message: string } | { readonly kind: "unreachable"; readonly message: string };

/**
 * A worker of the platform. It keeps the highest epoch that it has been called with and refuses lower ones;
 * refuses a start whose time has passed on its own clock or that is meant for another boot; starts an attempt
 * at most once; and stops an attempt when its lease runs out.
 */
export abstract class Worker {
    /**
     * @param call Starts, renewals and acknowledgements.
     * @returns The report after the call, or why there is none.
     */
    abstract exchange(call: LeaseCall): Promise<Result<WorkerReport, WorkerError>>;
}
