import { LatencyModel } from "./latencyModel";
import { Task } from "./task";
import { PlacementPolicy } from "./workerChoice";
import { WorkerContact } from "./workerContact";
import { WorkerOutlook } from "./workerOutlook";

/** Part of its requested processor time that a task which serves is expected to use. */
const SERVING_LOAD = 0.5;

/** Part of the requested processor time that must be left for a task to be placed. */
const LEAST_SHARE = 0.6;

/** Headroom that tasks that serve are to keep when another is placed beside them. */
const KEPT_HEADROOM = 1.05;

/** Longest time over which the load of tasks that serve is extrapolated, in s. */
const LONGEST_HORIZON_S = 2;

/** Cost of a loss of headroom below what is to be kept, and of any loss, in thousandths of a core per unit. */
const SHORTFALL_COST = 200_000;
const PRESSURE_COST = 40_000;

/** Chooses for tasks that run on spare processor time: where they do not harm tasks that serve, and most is unused. */
export class BestEffortPolicy extends PlacementPolicy {
    private constructor(private readonly model: LatencyModel) {
        super();
    }

    /** @param model Knows the pressures between images. @returns The choice. */
    static create(model: LatencyModel): BestEffortPolicy {
        return new BestEffortPolicy(model);
    }

    override cost(task: Task, worker: WorkerContact, { room, serving }: WorkerOutlook): number | undefined {
        const { request, image } = task.step;
        const share = request.cpuMillis / worker.entry.capacity.cpuMillis;
        const horizonS = Math.min(LONGEST_HORIZON_S, task.step.estimateMs / 1_000);
        let unused = room.unrequestedCpuMillis;
        let cost = 0;
        for (const each of serving) {
            unused += each.cpuMillis * (1 - SERVING_LOAD);
            const added = this.model.cautiousPressure(each.image, image, share);
            const expected = Math.max(each.lowestHeadroom, each.headroom + each.decline * horizonS);
            if (Math.min(each.headroom, expected) - added < KEPT_HEADROOM) {
                return undefined;
            }
            cost += added * PRESSURE_COST + Math.max(0, KEPT_HEADROOM - each.lowestHeadroom + added) * SHORTFALL_COST;
        }
        return unused < request.cpuMillis * LEAST_SHARE ? undefined : cost - unused;
    }
}
