import { Task } from "./task";
import { WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/** Chooses among the workers that have room for a task. */
export abstract class PlacementPolicy {
    /**
     * @param task The task.
     * @param worker A worker with room for it.
     * @param forecast What is left of the worker, and the tasks that serve there.
     * @returns Cost of placing the task there; the lowest is taken. `undefined` if it should not be placed there.
     */
    abstract cost(task: Task, worker: WorkerContact, forecast: WorkerForecast): number | undefined;
}
