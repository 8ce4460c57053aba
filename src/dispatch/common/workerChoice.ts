import { Task } from "./task";
import { Room, WorkerContact } from "./workerContact";

/** Chooses among the workers that have room for a task. */
export abstract class WorkerChoice {
    /**
     * @param task The task.
     * @param worker A worker with room for it.
     * @param room What is left of the worker.
     * @returns Cost of placing the task there; the lowest is taken. `undefined` if it should not be placed there.
     */
    abstract cost(task: Task, worker: WorkerContact, room: Room): number | undefined;
}
