import { Task } from "./task";
import { WorkerChoice } from "./workerChoice";
import { Room, WorkerContact } from "./workerContact";

/** Cost of each task of the same step on the same worker, in thousandths of a core: spreads what lasts. */
const SAME_STEP_COST = 20_000;

/** Chooses for tasks whose processor time is reserved: where most is left, so that little is taken from spare time. */
export class ReservedChoice extends WorkerChoice {
    private constructor() {
        super();
    }

    /** @returns The choice. */
    static create(): ReservedChoice {
        return new ReservedChoice();
    }

    override cost(task: Task, worker: WorkerContact, room: Room): number {
        let sameStep = 0;
        if (task.step.mode === "long-running") {
            for (const run of worker.runs.values()) {
                sameStep += run.task.job === task.job ? 1 : 0;
            }
        }
        return sameStep * SAME_STEP_COST - room.spareCpuMillis;
    }
}
