import { LatencyModel } from "./latencyModel";
import { Task } from "./task";
import { PlacementPolicy } from "./placementPolicy";
import { WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/** Part of its requested processor time that a task which serves is expected to use. */
const EXPECTED_LOAD_RATIO = 0.5;

/** Part of the requested processor time that must be left for a task to be placed. */
const MIN_FREE_RATIO = 0.6;

/** Headroom that tasks that serve are to keep when another is placed beside them. */
const MIN_HEADROOM_RATIO = 1.05;

/** Longest time over which the load of tasks that serve is extrapolated, in s. */
const MAX_HORIZON_S = 2;

/** Cost of a loss of headroom below what is to be kept, and of any loss, in thousandths of a core per unit. */
const SHORTFALL_COST_MILLIS = 200_000;
const INTERFERENCE_COST_MILLIS = 40_000;

/** Chooses for tasks that run on spare processor time: where they do not harm tasks that serve, and most is unused. */
export class BestEffortPolicy extends PlacementPolicy {
    private constructor(private readonly model: LatencyModel) {
        super();
    }

    /** @param model Knows the pressures between images. @returns The choice. */
    static create(model: LatencyModel): BestEffortPolicy {
        return new BestEffortPolicy(model);
    }

    override cost(
        task: Task,
        worker: WorkerContact,
        { freeCapacity, latencyCritical }: WorkerForecast,
    ): number | undefined {
        const { request, image } = task.step;
        const share = request.cpuMillis / worker.entry.capacity.cpuMillis;
        const horizonS = Math.min(MAX_HORIZON_S, task.step.estimateMs / 1_000);
        let unused = freeCapacity.unrequestedCpuMillis;
        let cost = 0;
        for (const each of latencyCritical) {
            unused += each.cpuMillis * (1 - EXPECTED_LOAD_RATIO);
            const added = this.model.conservativeInterference(each.image, image, share);
            const expected = Math.max(each.minHeadroom, each.headroom + each.declinePerS * horizonS);
            if (Math.min(each.headroom, expected) - added < MIN_HEADROOM_RATIO) {
                return undefined;
            }
            cost +=
                added * INTERFERENCE_COST_MILLIS +
                Math.max(0, MIN_HEADROOM_RATIO - each.minHeadroom + added) * SHORTFALL_COST_MILLIS;
        }
        return unused < request.cpuMillis * MIN_FREE_RATIO ? undefined : cost - unused;
    }
}
