import { Candidate } from "./candidate";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Chooses among the workers with enough free capacity for a task. */
export abstract class PlacementPolicy {
    /**
     * @param task The task.
     * @param size Resources that will be reserved for it.
     * @param candidates Workers with enough free capacity for it; not empty.
     * @returns The worker to place it on, or `undefined` to let the task wait.
     */
    abstract choose(task: Task, size: TaskSize, candidates: readonly Candidate[]): Candidate | undefined;
}
