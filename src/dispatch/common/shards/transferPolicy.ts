import { JobDemand } from "../jobs/jobDemand";
import { ServiceLoad } from "./serviceLoad";

/** A shard that may schedule a job. */
export interface ShardOption {
    readonly shard: number;
    /** Load of the job's service there, without the job. */
    readonly load: ServiceLoad;
    /** Largest delay of its leader's loop of late, in ms. */
    readonly delayMs: number;
    /** Whether it has workers that can run all steps of the job. */
    readonly isSuitable: boolean;
    /** Whether it has workers that can run the steps that are ready. */
    readonly canStart: boolean;
    /** Whether it has the racks that hold the data of the steps. */
    readonly hasData: boolean;
}

/** A job without a run, and what it waits for. */
export interface TransferRequest {
    readonly demand: JobDemand;
    /** Time for which it has had no run, in ms; `undefined` for a job that has just been submitted. */
    readonly waitedMs: number | undefined;
}

/** A shard that may give runs to a task. */
export interface TaskOption {
    readonly shard: number;
    /** Number of such tasks for which the workers with the most room have places, beside tasks that wait there. */
    readonly places: number;
    /**
     * Number of tasks that last and wait there and request no more CPU, so that they take each gap that is large enough; `undefined` if
     * its leader does not publish it.
     */
    readonly rivals: number | undefined;
    /** Largest delay of its leader's loop of late, in ms. */
    readonly delayMs: number;
}

/** A task of a long-running step that has no run, whether or not others of its job have. */
export interface TaskTransferRequest {
    /** Time for which it has had no run, in ms. */
    readonly waitedMs: number;
    /** Whether it was transferred of late: then it stays unless its shard has no place for it, and another one has. */
    readonly isStaying: boolean;
}

/** Decides which jobs, and which single tasks of others, are left to the leaders of other shards. */
export abstract class TransferPolicy {
    /**
     * @param request The job.
     * @param own The shard that has it.
     * @param others The other shards whose loads are known.
     * @returns The shard that is to have it, or `undefined` if it stays.
     */
    abstract choose(
        request: TransferRequest,
        own: ShardOption,
        others: readonly ShardOption[],
    ): ShardOption | undefined;

    /**
     * @param request The task.
     * @param own The shard that has it.
     * @param others The other shards whose rooms are known.
     * @returns The shard that is to have it, or `undefined` if it stays.
     */
    abstract chooseForTask(
        request: TaskTransferRequest,
        own: TaskOption,
        others: readonly TaskOption[],
    ): TaskOption | undefined;
}
