import { MAX_SHARDS } from "../../../jobs/common/shardPlan";
import { Fleet, ShardPlanner } from "./shardPlanner";

/** Workers for which one core of a leader is enough: it lists them, starts their tasks and places waiting ones in time. */
const WORKERS_PER_CORE = 125;

/** Cores that a leader of a divided fleet needs before its first start: it renews, publishes its load, and reads those of the others. */
const DIVISION_CORES = 0.05;

/** Smallest shard, in workers: a job of short tasks needs room within one, for example 24 tasks of 13 cores on workers of 64 cores. */
const MIN_WORKERS_PER_SHARD = 8;

/** Divides a fleet that is too large for the processor of one leader. */
export class CapacityShardPlanner extends ShardPlanner {
    private constructor() {
        super();
    }

    /** @returns The planner. */
    static create(): CapacityShardPlanner {
        return new CapacityShardPlanner();
    }

    override countFor({ workers, cores }: Fleet): number {
        if (workers <= cores * WORKERS_PER_CORE) {
            return 1;
        }
        const most = Math.max(1, Math.min(MAX_SHARDS, Math.floor(workers / MIN_WORKERS_PER_SHARD)));
        const freeCores = cores - DIVISION_CORES;
        return freeCores <= 0 ? most : Math.min(most, Math.ceil(workers / (freeCores * WORKERS_PER_CORE)));
    }
}
