import { Task } from "./task";
import { WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/** Cost of placing a task on each of the workers with enough free capacity. */
export abstract class PlacementPolicy {
    /**
     * @param task The task.
     * @param worker A worker with enough free capacity.
     * @param forecast Free capacity of the worker, and its latency-critical tasks.
     * @returns Cost of placing the task there; the lowest wins. `undefined` if the task must not be placed there.
     */
    abstract cost(task: Task, worker: WorkerContact, forecast: WorkerForecast): number | undefined;
}
