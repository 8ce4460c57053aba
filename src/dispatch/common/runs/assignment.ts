import { RunRecord } from "../../../jobs/common/jobRecord";
import { Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";

/** Size of the range of run numbers per task and epoch. Separate ranges keep two leaders from using the same number. */
const MAX_RUNS_PER_EPOCH = 1_000;

/**
 * Gives a task its next run.
 * @param task The task; its highest run is raised.
 * @param worker The worker that it is assigned to.
 * @param epoch Epoch of the leader.
 * @returns The assignment, as it is recorded.
 */
export function createAssignment(task: Task, worker: WorkerContact, epoch: number): RunRecord {
    task.highestRun = Math.max(task.highestRun, task.lastRun, (epoch - 1) * MAX_RUNS_PER_EPOCH) + 1;
    return {
        task: task.name,
        run: task.highestRun,
        worker: worker.entry.id,
        incarnation: Math.max(worker.entry.incarnation, worker.incarnation ?? 0),
        checkpoint: task.checkpoint,
    };
}
