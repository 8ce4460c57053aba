import { jobKey } from "../../jobs/common/jobRecord";
import { isFinal } from "../../jobs/common/jobTable";
import { JobSource } from "../../jobs/common/shardJobs";
import { ActiveJobTable, LeaderWriters } from "./activeJobTable";

/** Interval between checks for expired jobs, in ms. */
const CHECK_INTERVAL_MS = 5_000;

/** Time for which a job is kept beyond the retention, in ms, since repeated submissions may arrive seconds late. */
const RETENTION_MARGIN_MS = 60_000;

/** Deletes the records of jobs whose retention has passed. */
export class JobPruner {
    private readonly finishedAt = new Map<string, number>();
    /** Times (ms) at which transfers were first seen whose jobs are deleted. */
    private readonly orphanedAt = new Map<string, number>();
    private nextCheckAt = 0;

    private constructor(
        private readonly jobs: JobSource,
        private readonly activeJobs: ActiveJobTable,
        private readonly writers: LeaderWriters,
        private readonly retentionMs: number,
    ) {}

    /**
     * @param jobs All jobs.
     * @param activeJobs Tells which of them are finished.
     * @param writers Writers for the deletions.
     * @param retentionMs Time for which the state of a finished job is kept, in ms.
     * @returns The pruner. The retention of a job begins when the pruner first sees it finished.
     */
    static create(jobs: JobSource, activeJobs: ActiveJobTable, writers: LeaderWriters, retentionMs: number): JobPruner {
        return new JobPruner(jobs, activeJobs, writers, retentionMs);
    }

    /** Deletes the jobs that have expired. @param now Time in ms. */
    tick(now: number): void {
        if (now < this.nextCheckAt) {
            return;
        }
        this.nextCheckAt = now + CHECK_INTERVAL_MS;
        for (const entry of this.jobs.all) {
            if (entry.spec === undefined && entry.transfer !== undefined) {
                this.reviewOrphan(entry.id, now);
            }
            if (!isFinal(entry.state) || !this.activeJobs.isFinished(entry.id)) {
                continue;
            }
            const finishedAt = this.finishedAt.get(entry.id) ?? now;
            this.finishedAt.set(entry.id, finishedAt);
            if (now - finishedAt > this.retentionMs + RETENTION_MARGIN_MS) {
                this.finishedAt.delete(entry.id);
                this.prune(entry.id);
            }
        }
    }

    /** Deletes a transfer without a job. It remains if a leader is lost after it deleted the spec of an expired job. */
    private reviewOrphan(id: string, now: number): void {
        const orphanedAt = this.orphanedAt.get(id) ?? now;
        this.orphanedAt.set(id, orphanedAt);
        if (now - orphanedAt > RETENTION_MARGIN_MS) {
            this.orphanedAt.delete(id);
            this.writers.jobs.write(jobKey("transfer", id), () => undefined);
        }
    }

    /** Deletes the progress last: if the spec were left without it, the job would run again. */
    private prune(id: string): void {
        const isTransferred = this.jobs.find(id)?.transfer !== undefined;
        this.writers.jobs.write(jobKey("cancellation", id), () => undefined);
        this.writers.jobs.write(
            jobKey("spec", id),
            () => undefined,
            () => this.activeJobs.remove(id),
        );
        if (isTransferred) {
            // Not before the spec: a job that is still recorded would be scheduled by its former shard again.
            this.writers.jobs.write(jobKey("transfer", id), () => undefined);
        }
        this.writers.jobs.write(jobKey("state", id), () => undefined);
    }
}
