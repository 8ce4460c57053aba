import { Task } from "./task";
import { WorkerContact } from "./workerContact";
import { WorkerOutlook } from "./workerOutlook";

/** Chooses among the workers that have room for a task. */
export abstract class PlacementPolicy {
    /**
     * @param task The task.
     * @param worker A worker with room for it.
     * @param outlook What is left of the worker, and the tasks that serve there.
     * @returns Cost of placing the task there; the lowest is taken. `undefined` if it should not be placed there.
     */
    abstract cost(task: Task, worker: WorkerContact, outlook: WorkerOutlook): number | undefined;
}
