import { RunRecord } from "../../../jobs/common/jobRecord";
import { JobEntry } from "../../../jobs/common/jobTable";
import { JobSource } from "../../../jobs/common/shardJobs";
import { ProgressTable } from "../../../jobs/common/progressTable";
import { ActiveJobTable } from "./activeJobTable";
import { Task } from "./task";

/** Called for each run that may be on a worker. */
export type InheritRun = (task: Task, record: RunRecord) => void;

/** Work that a job takes to restore, besides its tasks; as a multiple of the work for a task. */
const JOB_WORK = 1;

/** Restores the jobs of former leaders in slices, between which the loop handles what is due. */
export class JobRestorer {
    /** Jobs that are still to be restored, by id. */
    private readonly waiting: Map<string, JobEntry>;

    private constructor(
        private readonly jobs: JobSource,
        private readonly progress: ProgressTable,
        private readonly activeJobs: ActiveJobTable,
        private readonly inherit: InheritRun,
    ) {
        this.waiting = new Map([...jobs.all].map(entry => [entry.id, entry]));
    }

    /**
     * @param jobs All jobs. Those of which a former leader may have stored progress are in it.
     * @param progress Their progress.
     * @param activeJobs Receives the jobs that are not finished.
     * @param inherit Called for each run that may be on a worker.
     * @returns What restores them; nothing is restored yet.
     */
    static create(
        jobs: JobSource,
        progress: ProgressTable,
        activeJobs: ActiveJobTable,
        inherit: InheritRun,
    ): JobRestorer {
        return new JobRestorer(jobs, progress, activeJobs, inherit);
    }

    /** Whether all jobs are restored. */
    get isDone(): boolean {
        return this.waiting.size === 0;
    }

    /** @param id Identifier of a job. @returns Whether it is still to be restored: then a change of it has no effect yet. */
    isWaiting(id: string): boolean {
        return this.waiting.has(id);
    }

    /** Restores some jobs, at least one. @param maxWork Work after which it stops; a task is 1. */
    restore(maxWork = Infinity): void {
        let work = 0;
        for (const [id, entry] of this.waiting) {
            if (work >= maxWork) {
                return;
            }
            this.waiting.delete(id);
            work += JOB_WORK + this.activeJobs.restore(entry, this.progress, this.inherit);
        }
        this.activeJobs.deleteOrphans(this.jobs, this.progress);
    }
}
