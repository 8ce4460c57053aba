import { ShardLoadTable } from "./shardLoadTable";

/** What the leader of one shard knows of the fleet. */
export interface ShardFleet {
    /** Number of its shard. */
    readonly shard: number;
    /** Number of shards. */
    readonly count: number;
    /** The loads that the leaders of the shards publish. */
    readonly loads: ShardLoadTable;
}
