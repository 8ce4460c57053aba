import { StepSpec } from "../../../jobs/common/jobSpec";
import { Task } from "../jobs/task";
import { PlacementOffer, PlacementPolicy } from "./placementPolicy";
import { WorkerContact } from "../workers/workerContact";
import { WorkerForecast } from "../workers/workerForecast";

/** Cost of a latency-critical task of another image on the same worker, in thousandths of a core. */
const OTHER_IMAGE_COST_MILLIS = 40_000;

/** Gain of a latency-critical task of the same image on the same worker, in thousandths of a core. */
const SAME_IMAGE_GAIN_MILLIS = 10_000;

/**
 * Placement of tasks with reserved CPU. Latency-critical tasks are grouped by image, so that each image that interferes
 * with them finds workers where it interferes with none; other tasks go where most CPU is free.
 */
export class ReservedPolicy extends PlacementPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): ReservedPolicy {
        return new ReservedPolicy();
    }

    override assess(task: Task, _worker: WorkerContact, forecast: WorkerForecast): PlacementOffer {
        return { cost: costOf(task, forecast), speedPercent: 100, limit: undefined, isOpenBelowFullSpeed: false };
    }

    override boundsImage(): undefined {
        return undefined;
    }

    override boundsHorizonS(): number {
        return 0;
    }

    override fullSpeedMillis(_step: StepSpec, _worker: WorkerContact, { freeCapacity }: WorkerForecast): number {
        return freeCapacity.cpuMillis;
    }

    override mayOpenBelowFullSpeed(): boolean {
        return false;
    }
}

function costOf(task: Task, { freeCapacity, latencyCritical }: WorkerForecast): number {
    const { image, tailTargetMs } = task.step;
    if (tailTargetMs === undefined) {
        return -freeCapacity.cpuMillis;
    }
    let cost = -freeCapacity.cpuMillis / 2;
    for (const each of latencyCritical) {
        cost += each.image === image ? -SAME_IMAGE_GAIN_MILLIS : OTHER_IMAGE_COST_MILLIS;
    }
    return cost;
}
