import { Result } from "ts-results";

/**
 * Identifies one period of ownership of a shard; later periods have higher epochs. A worker refuses calls with a lower
 * epoch than the highest it has seen.
 */
export type Epoch = number;

/** Identifies one attempt of a task. */
export interface AttemptId {
    readonly task: string;
    readonly attempt: number;
}

/** Order to run one attempt. All times are on the worker's own clock, in ms. */
export interface StartOrder extends AttemptId {
    /** Time after which the worker must not start the attempt. */
    readonly startBy: number;
    readonly expiresAt: number;
    readonly family: string;
    readonly payload: string;
    readonly checkpoint: string;
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** What a worker must do with an attempt whose lease is renewed. */
export type LeaseOrder = "run" | "throttle" | "checkpoint-and-stop" | "stop";

/** Renews the lease of one attempt. */
export interface Renewal extends AttemptId {
    readonly expiresAt: number;
    readonly order: LeaseOrder;
}

/** Starts attempts, renews leases, acknowledges results and requests a report, in one call. */
export interface LeaseCall {
    /** Shard that the worker belongs to. */
    readonly shard: string;
    readonly epoch: Epoch;
    /** Whether the report must include the resource usage of the attempts. */
    readonly usage: boolean;
    /**
     * Worker incarnation that starts and renewals apply to; another incarnation refuses the starts, ignores the renewals
     * and reports.
     */
    readonly boot: string;
    readonly starts: readonly StartOrder[];
    readonly renewals: readonly Renewal[];
    readonly acknowledged: readonly AttemptId[];
}

/** How an attempt ended. `lapsed`: the worker stopped it because its lease expired. */
export type AttemptOutcome = "done" | "failed" | "evicted" | "lapsed" | "stopped";

/** An attempt that a worker is running. */
export interface RunningAttempt extends AttemptId {
    /** Fraction of the work that is done, 0 to 1. */
    readonly progress: number;
    readonly cpus: number;
    readonly memoryGb: number;
    /** Ratio of the time per unit of work to that of running alone; 1 without interference. */
    readonly slowdown: number;
}

/** An attempt that has ended but has not been acknowledged. */
export interface FinishedAttempt extends AttemptId {
    readonly outcome: AttemptOutcome;
    readonly result: string;
    readonly checkpoint: string;
}

/** A worker's response. The lists of attempts and the clock are current; the usage may be older. */
export interface WorkerReport {
    readonly boot: string;
    /** Time on the worker's own clock, in ms since its boot. */
    readonly clock: number;
    /** Time on the worker's clock at which the usage and slowdown in the report were measured. */
    readonly measuredAt: number;
    readonly running: readonly RunningAttempt[];
    readonly finished: readonly FinishedAttempt[];
    /** Attempts in this call that the worker refused to start. */
    readonly refused: readonly AttemptId[];
}

/** `refused`: the call had no effect. `unreachable`: it may have taken effect. */
export type WorkerError =
    { readonly kind: "refused"; readonly message: string } | { readonly kind: "unreachable"; readonly message: string };

/**
 * A worker of the platform. It stores the highest epoch of its calls and refuses lower ones; refuses a start whose
 * `startBy` has passed on its own clock or that is for another incarnation; starts an attempt at most once; and
 * stops an attempt when its lease expires.
 */
export abstract class Worker {
    /**
     * @param call Starts, renewals and acknowledgements.
     * @returns The report after the call, or why there is none.
     */
    abstract exchange(call: LeaseCall): Promise<Result<WorkerReport, WorkerError>>;
}
