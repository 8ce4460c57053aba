import { Task } from "./task";
import { WorkerChoice } from "./workerChoice";
import { Room, WorkerContact } from "./workerContact";

/** Part of its requested processor time that a task which serves is expected to use. */
const SERVING_LOAD = 0.5;

/** Cost of each task that serves its own users beside, in thousandths of a core. */
const SERVING_COST = 6_000;

/** Part of the requested processor time that must be left for a task to be placed. */
const LEAST_SHARE = 0.6;

/** Chooses for tasks that run on spare processor time: where most is unused, away from tasks that serve. */
export class SpareChoice extends WorkerChoice {
    private constructor() {
        super();
    }

    /** @returns The choice. */
    static create(): SpareChoice {
        return new SpareChoice();
    }

    override cost(task: Task, worker: WorkerContact, room: Room): number | undefined {
        let unused = room.spareCpuMillis;
        let serving = 0;
        for (const run of worker.runs.values()) {
            if (run.task.step.tailTargetMs !== undefined) {
                unused += run.task.step.request.cpuMillis * (1 - SERVING_LOAD);
                serving += 1;
            }
        }
        if (unused < task.step.request.cpuMillis * LEAST_SHARE) {
            return undefined;
        }
        return serving * SERVING_COST - unused;
    }
}
