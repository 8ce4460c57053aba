import { JobDemand } from "./jobDemand";
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

/** Decides which jobs are left to the leaders of other shards. */
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
}
