import { EffectSink } from "../../base/common/effectSink";
import { JobTable } from "../../jobs/common/jobTable";
import { ProgressTable } from "../../jobs/common/progressTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { Leadership } from "../../records/common/leadership";
import { DispatchEffect } from "./dispatchEffects";
import { DispatchLimits } from "./dispatchLimits";
import { InterferenceRow } from "./latencyModel";
import { LeaseContext } from "./leaseBook";
import { StreamViews } from "./streamViews";

/** Dependencies of the scheduler. */
export interface SchedulerContext extends LeaseContext {
    readonly jobs: JobTable;
    /** Progress of the jobs as recorded by earlier leaders. */
    readonly progress: ProgressTable;
    readonly queues: QueueTable;
    readonly leadership: Leadership;
    /** Streams that this instance follows. */
    readonly views: StreamViews;
    readonly limits: DispatchLimits;
    /** Latency model of an earlier leader. */
    readonly learnedInterference: readonly InterferenceRow[];
    readonly effects: EffectSink<DispatchEffect>;
}
