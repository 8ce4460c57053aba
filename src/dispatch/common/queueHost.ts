import { Run } from "./run";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";

/** Carries out what a step queue decides. */
export abstract class QueueHost {
    /**
     * Assigns a task to a worker.
     * @param task The task.
     * @param worker The worker.
     * @param speedPercent Speed at which it may run there, in percent of full speed.
     * @param now Time in ms.
     * @returns Its run.
     */
    abstract assign(task: Task, worker: WorkerContact, speedPercent: number, now: number): Run;
}
