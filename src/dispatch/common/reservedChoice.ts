import { Task } from "./task";
import { PlacementPolicy } from "./workerChoice";
import { WorkerContact } from "./workerContact";
import { WorkerOutlook } from "./workerOutlook";

/** Cost of a task that serves with another image on the same worker, in thousandths of a core. */
const OTHER_IMAGE_COST = 40_000;

/** Gain of a task that serves with the same image on the same worker, in thousandths of a core. */
const SAME_IMAGE_GAIN = 10_000;

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

    override cost(task: Task, _worker: WorkerContact, { room, serving }: WorkerOutlook): number {
        const { image, tailTargetMs } = task.step;
        if (tailTargetMs === undefined) {
            return -room.cpuMillis;
        }
        let cost = -room.cpuMillis / 2;
        for (const each of serving) {
            cost += each.image === image ? -SAME_IMAGE_GAIN : OTHER_IMAGE_COST;
        }
        return cost;
    }
}
