import { TASK_BYTES } from "../../../jobs/common/jobMemory";
import { ActiveJob, MAX_OPEN_TASKS } from "./activeJob";

/**
 * Share of the memory for jobs that occurrences may take beyond the first open one of each job, which the admission of jobs counts. Each is
 * a group of its own in every pass and record, and so takes several times the memory of its tasks.
 */
const AHEAD_RATIO = 1 / 16;

/**
 * Decides how many occurrences of scheduled jobs are open at once.
 *
 * Load pattern: jobs of a few bytes of which thousands of occurrences are due. Each open one takes memory, and a turn in each pass.
 */
export class OccurrenceBudget {
    private readonly maxTasks: number;
    /** Tasks that all jobs keep ahead, as of the latest review of each job. */
    private tasks = 0;
    private reviewedTasks = 0;

    private constructor(maxJobBytes: number) {
        this.maxTasks = (maxJobBytes * AHEAD_RATIO) / TASK_BYTES;
    }

    /** @param maxJobBytes Memory that jobs may take, in bytes. @returns A budget of which nothing is used. */
    static create(maxJobBytes = Number.POSITIVE_INFINITY): OccurrenceBudget {
        return new OccurrenceBudget(maxJobBytes);
    }

    /** Begins a review of all jobs. */
    begin(): void {
        this.tasks = this.reviewedTasks;
        this.reviewedTasks = 0;
    }

    /**
     * Opens the occurrences of a job that are due, as far as there is room. A job has at most half of what other jobs leave, so that these
     * find room, too, however many occurrences of it are due.
     * @param job The job.
     * @param wallNow Time in ms since the Unix epoch.
     */
    openDue(job: ActiveJob, wallNow: number): void {
        const before = job.tasksAhead;
        const leftByOthers = Math.max(0, this.maxTasks - this.tasks + before);
        job.openDue(wallNow, Math.min(MAX_OPEN_TASKS, leftByOthers / 2));
        this.tasks += job.tasksAhead - before;
        this.reviewedTasks += job.tasksAhead;
    }
}
