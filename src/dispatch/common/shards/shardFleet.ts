import { ShardLoadTable } from "./shardLoadTable";
import { TransferPolicy } from "./transferPolicy";
import { WorkerEntry } from "../workers/workerEntry";

/** What the leader of one shard knows of the fleet. */
export interface ShardFleet {
    /** Number of its shard. */
    readonly shard: number;
    /** Number of shards. */
    readonly count: number;
    /** The loads that the leaders of the shards publish. */
    readonly loads: ShardLoadTable;
    /** Decides which jobs are left to other shards. */
    readonly policy: TransferPolicy;
    /** @param shard Number of a shard. @returns Its registered workers whose failure domains are not evacuated. */
    readonly workersOf: (shard: number) => readonly WorkerEntry[];
}
