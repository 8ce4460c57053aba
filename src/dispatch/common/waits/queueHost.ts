import { Run } from "../runs/run";
import { Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";

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

    /**
     * Stops a run that is throttled, so that its task starts again on a worker on which it runs faster.
     * @param run The run.
     * @param now Time in ms.
     */
    abstract move(run: Run, now: number): void;

    /**
     * Stops a best-effort run, which waits again: a long-running task that has to run needs its memory.
     * @param run The run.
     * @param now Time in ms.
     */
    abstract preempt(run: Run, now: number): void;

    /**
     * Requests a review of the waiting tasks at a time, also if the latest one was expensive: a job has to have a run by then.
     * @param at Time in ms.
     */
    abstract requestPassBy(at: number): void;
}
