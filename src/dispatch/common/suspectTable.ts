import { isFinal } from "../../jobs/common/jobTable";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";

/** The tasks that are suspected of crashing the workers that start them. */
export class SuspectTable {
    private readonly tasks = new Set<Task>();

    private constructor() {}

    /** @returns A table without tasks. */
    static create(): SuspectTable {
        return new SuspectTable();
    }

    /** Whether no task is suspected. */
    get isEmpty(): boolean {
        return this.tasks.size === 0;
    }

    /** @param task A task. @returns Whether it is suspected. */
    has(task: Task): boolean {
        return this.tasks.has(task);
    }

    /** Adds or removes a task, according to the evidence against it. */
    update(task: Task): void {
        const isCleared =
            task.suspicion?.recorded === undefined || isFinal(task.job.state) || task.job.isTaskDone(task);
        if (isCleared === this.tasks.has(task)) {
            task.job.recordChange();
        }
        if (isCleared) {
            this.tasks.delete(task);
        } else {
            this.tasks.add(task);
        }
    }

    /** Removes the tasks that have ended. */
    prune(): void {
        this.tasks.forEach(task => this.update(task));
    }

    /** @param worker A worker. @returns Whether it runs a suspected task that is not paused: a pause may last. */
    isOnProbation(worker: WorkerContact): boolean {
        return [...worker.runs.values()].some(run => this.has(run.task) && !run.isPauseProven);
    }

    /** @param task A suspected task. @returns Whether another task of its job, one that is accused, is at work. */
    isJobOnProbation(task: Task): boolean {
        for (const other of this.tasks) {
            const isSameGang = other.groupKey === task.groupKey && task.step.mode === "gang";
            const isAccusedAtWork = other.run?.isPauseProven === false && other.suspicion?.isAccused === true;
            if (other.job === task.job && isAccusedAtWork && !isSameGang) {
                return true;
            }
        }
        return false;
    }
}
