import { StepSpec } from "../../../jobs/common/jobSpec";
import { LatencyModel } from "./latencyModel";
import { Task } from "../jobs/task";
import { PlacementOffer, PlacementPolicy, SpeedLimit } from "./placementPolicy";
import { FreeCapacity, WorkerContact } from "../workers/workerContact";
import { LatencyForecast, WorkerForecast } from "../workers/workerForecast";

/** Share of its requested CPU that a latency-critical task is expected to use. */
const EXPECTED_LOAD_RATIO = 0.5;

/** Share of the requested CPU that must be unused on a worker for a task to be placed there. */
const MIN_FREE_RATIO = 0.6;

/**
 * Share of its requested CPU that a task must get when all best-effort tasks of a worker share the spare CPU: below it, more tasks
 * would only slow down each other.
 */
const MIN_SPARE_CPU_RATIO = 0.25;

/**
 * Share of a worker's memory and accelerators that must be free for tasks below full speed: they hold what they need for long, and
 * tasks with reserved CPU have to find room, too.
 */
const MIN_FREE_ROOM_RATIO = 0.5;

/** Limit of the speed on a worker without enough unused CPU: a task starts there only after a wait. */
const MAX_SHARED_SPEED = 0.9;

/** Headroom that latency-critical tasks must keep after a placement, as ratio of target to tail latency. */
const MIN_HEADROOM_RATIO = 1.05;

/** Longest time over which the load of latency-critical tasks is extrapolated, in s. */
const MAX_HORIZON_S = 2;

/** Horizons are rounded down to a multiple of this for bounds, in s, so that steps share them. */
const HORIZON_STEP_S = 0.5;

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
        const horizonS = horizonOf(task.step);
        let unused = freeCapacity.unrequestedCpuMillis;
        let cost = 0;
        let speed = 1;
        let limit: SpeedLimit | undefined;
        for (const each of latencyCritical) {
            unused += each.cpuMillis * (1 - EXPECTED_LOAD_RATIO);
            const added = this.model.conservativeInterference(each.image, image, share);
            const spare = spareHeadroom(each, horizonS);
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
        if (cpuShare < Math.max(speed, MIN_SPARE_CPU_RATIO)) {
            limit = "noSpareCpu";
            speed = Math.min(speed, cpuShare);
        }
        return {
            cost: cost - unused,
            speedPercent: Math.floor(speed * 100),
            limit,
            isOpenBelowFullSpeed: cpuShare >= MIN_SPARE_CPU_RATIO && hasSpareRoom(freeCapacity, worker),
        };
    }

    override boundsImage(step: StepSpec): string | undefined {
        return step.image;
    }

    /** Headroom only falls within the horizon, so that a shorter one gives a bound, too. */
    override boundsHorizonS(step: StepSpec): number {
        return Math.floor(horizonOf(step) / HORIZON_STEP_S) * HORIZON_STEP_S;
    }

    override fullSpeedMillis(
        step: StepSpec,
        worker: WorkerContact,
        { freeCapacity, latencyCritical }: WorkerForecast,
    ): number {
        const horizonS = this.boundsHorizonS(step);
        let unused = freeCapacity.unrequestedCpuMillis;
        let limit = Number.POSITIVE_INFINITY;
        for (const each of latencyCritical) {
            unused += each.cpuMillis * (1 - EXPECTED_LOAD_RATIO);
            const spare = spareHeadroom(each, horizonS);
            const addedByAll = this.model.conservativeInterference(each.image, step.image, 1);
            const bound = addedByAll === 0 ? Number.POSITIVE_INFINITY : spare / addedByAll;
            limit = Math.min(limit, spare < 0 ? -1 : bound * worker.entry.capacity.cpuMillis);
        }
        return Math.min(limit, unused / MIN_FREE_RATIO);
    }

    override mayOpenBelowFullSpeed(worker: WorkerContact, { freeCapacity }: WorkerForecast): boolean {
        return hasSpareRoom(freeCapacity, worker);
    }
}

/** @returns Time over which the load beside a best-effort task of a step is extrapolated, in s. */
export function horizonOf(step: StepSpec): number {
    return Math.min(MAX_HORIZON_S, step.estimateMs / 1_000);
}

/** @returns Headroom that a latency-critical task can lose within this many seconds; negative if it has too little. */
function spareHeadroom({ headroom, minHeadroom, declinePerS }: LatencyForecast, horizonS: number): number {
    return Math.min(headroom, Math.max(minHeadroom, headroom + declinePerS * horizonS)) - MIN_HEADROOM_RATIO;
}

function hasSpareRoom({ memoryMb, accelerators }: FreeCapacity, { entry: { capacity } }: WorkerContact): boolean {
    return (
        memoryMb >= capacity.memoryMb * MIN_FREE_ROOM_RATIO &&
        accelerators >= capacity.accelerators * MIN_FREE_ROOM_RATIO
    );
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
