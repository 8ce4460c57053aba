import { Task } from "./task";
import { PlacementPolicy } from "./placementPolicy";
import { WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/** Cost of a task that serves with another image on the same worker, in thousandths of a core. */
const OTHER_IMAGE_COST_MILLIS = 40_000;

/** Gain of a task that serves with the same image on the same worker, in thousandths of a core. */
const SAME_IMAGE_GAIN_MILLIS = 10_000;

/**
 * Chooses for tasks whose processor time is reserved. Tasks that serve are put beside those of the same image, so that
 * for each image that would disturb them there are workers where it disturbs nobody; the others go where most is left.
 */
export class ReservedPolicy extends PlacementPolicy {
    private constructor() {
        super();
    }

    /** @returns The choice. */
    static create(): ReservedPolicy {
        return new ReservedPolicy();
    }

    override cost(task: Task, _worker: WorkerContact, { freeCapacity, latencyCritical }: WorkerForecast): number {
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
}
