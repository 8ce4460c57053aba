import { EffectSink } from "../../../base/common/effectSink";
import { WorkMeter } from "../../../base/common/workMeter";
import { JobSource } from "../../../jobs/common/shardJobs";
import { ProgressTable } from "../../../jobs/common/progressTable";
import { QueueTable } from "../../../jobs/common/queueTable";
import { Leadership } from "../../../records/common/leadership";
import { DispatchEffect } from "./dispatchEffects";
import { DispatchLimits } from "./dispatchLimits";
import { EvacuationTable } from "../workers/evacuationTable";
import { InterferenceRow } from "../placement/latencyModel";
import { LeaseContext } from "../workers/leaseBook";
import { ShardFleet } from "../shards/shardFleet";
import { StreamViews } from "./streamViews";

/** Dependencies of the scheduler. */
export interface SchedulerContext extends LeaseContext {
    /** The jobs that it schedules. */
    readonly jobs: JobSource;
    /** Progress of the jobs as recorded by earlier leaders. */
    readonly progress: ProgressTable;
    readonly queues: QueueTable;
    /** Failure domains that are evacuated. */
    readonly evacuations: EvacuationTable;
    readonly leadership: Leadership;
    /** Streams that this instance follows. */
    readonly views: StreamViews;
    readonly limits: DispatchLimits;
    /** Latency model of an earlier leader. */
    readonly learnedInterference: readonly InterferenceRow[];
    readonly effects: EffectSink<DispatchEffect>;
    /** The shard and the others; left out of a fleet that is not divided. */
    readonly fleet?: ShardFleet;
    /** Measures the passes over the waiting tasks; left out if they are not measured. */
    readonly work?: WorkMeter<"pass">;
}
