import { LatencyModel } from "./latencyModel";
import { Task } from "./task";
import { PlacementOffer, PlacementPolicy, SpeedLimit } from "./placementPolicy";
import { FreeCapacity, WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/** Share of its requested CPU that a latency-critical task is expected to use. */
const EXPECTED_LOAD_RATIO = 0.5;

/** Share of the requested CPU that must be unused on a worker for a task to be placed there. */
const MIN_FREE_RATIO = 0.6;

/**
 * Speed that the spare CPU of a worker must allow when all its best-effort tasks share it, in percent: below it, more tasks would
 * only slow down each other.
 */
export const MIN_SPEED_BY_CPU_PERCENT = 25;

/** Limit of the speed on a worker without enough unused CPU: a task starts there only after a wait. */
const MAX_SHARED_SPEED = 0.9;

/** Headroom that latency-critical tasks must keep after a placement, as ratio of target to tail latency. */
const MIN_HEADROOM_RATIO = 1.05;

/** Longest time over which the load of latency-critical tasks is extrapolated, in s. */
const MAX_HORIZON_S = 2;

/** Cost of a shortfall below the required headroom, in thousandths of a core per unit of headroom. */
const SHORTFALL_COST_MILLIS = 200_000;
/** Cost of any loss of headroom, in thousandths of a core per unit of headroom. */
const INTERFERENCE_COST_MILLIS = 40_000;

/**
 * Placement of best-effort tasks: where they leave latency-critical tasks enough headroom and most CPU is unused. Their speed
 * is the one at which latency-critical tasks keep their targets.
 */
export class BestEffortPolicy extends PlacementPolicy {
    private constructor(private readonly model: LatencyModel) {
        super();
    }

    /** @param model Estimates the interference between images. @returns The policy. */
    static create(model: LatencyModel): BestEffortPolicy {
        return new BestEffortPolicy(model);
    }

    override assess(
        task: Task,
        worker: WorkerContact,
        { freeCapacity, latencyCritical }: WorkerForecast,
    ): PlacementOffer {
        const { request, image } = task.step;
        const share = request.cpuMillis / worker.entry.capacity.cpuMillis;
        const horizonS = Math.min(MAX_HORIZON_S, task.step.estimateMs / 1_000);
        let unused = freeCapacity.unrequestedCpuMillis;
        let cost = 0;
        let speed = 1;
        let limit: SpeedLimit | undefined;
        for (const each of latencyCritical) {
            unused += each.cpuMillis * (1 - EXPECTED_LOAD_RATIO);
            const added = this.model.conservativeInterference(each.image, image, share);
            const expected = Math.max(each.minHeadroom, each.headroom + each.declinePerS * horizonS);
            const spare = Math.min(each.headroom, expected) - MIN_HEADROOM_RATIO;
            cost +=
                added * INTERFERENCE_COST_MILLIS +
                Math.max(0, MIN_HEADROOM_RATIO - each.minHeadroom + added) * SHORTFALL_COST_MILLIS;
            if (spare < 0) {
                speed = 0;
                limit = "noHeadroom";
            } else if (spare < added * speed) {
                speed = spare / added;
                limit = "interference";
            }
        }
        const cpuShare = shareOfSpareCpu(request.cpuMillis, unused, freeCapacity);
        if (cpuShare < Math.max(speed, MIN_SPEED_BY_CPU_PERCENT / 100)) {
            limit = "noSpareCpu";
            speed = Math.min(speed, cpuShare);
        }
        return { cost: cost - unused, speedPercent: Math.floor(speed * 100), limit };
    }
}

/**
 * @param cpuMillis CPU that a task requests, in thousandths of a core.
 * @param unused CPU of a worker that no task is expected to use, in thousandths of a core.
 * @param free Free capacity of the worker.
 * @returns Share of the requested CPU that it gets there: all of it while enough is unused, otherwise as much as the other
 * best-effort tasks there, which then slow down, too.
 */
function shareOfSpareCpu(cpuMillis: number, unused: number, free: FreeCapacity): number {
    if (unused >= cpuMillis * MIN_FREE_RATIO) {
        return 1;
    }
    const usedByBestEffort = free.cpuMillis - free.unrequestedCpuMillis;
    return Math.max(0, Math.min(MAX_SHARED_SPEED, (unused + usedByBestEffort) / (usedByBestEffort + cpuMillis)));
}
