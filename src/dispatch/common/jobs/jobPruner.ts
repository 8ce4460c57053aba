import { jobKey } from "../../../jobs/common/jobRecord";
import { isFinal, JobEntry } from "../../../jobs/common/jobTable";
import { JobSource } from "../../../jobs/common/shardJobs";
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
        this.activeJobs.pruneGuests(this.jobs);
        for (const entry of this.jobs.all) {
            if (this.jobs.homeOf(entry.id) !== this.jobs.shard) {
                continue;
            }
            if (entry.spec === undefined && hasTransfers(entry)) {
                this.reviewOrphan(entry, now);
            }
            if (!isFinal(entry.state) || !this.activeJobs.isFinished(entry.id)) {
                continue;
            }
            const finishedAt = this.finishedAt.get(entry.id) ?? now;
            this.finishedAt.set(entry.id, finishedAt);
            if (now - finishedAt > this.retentionMs + RETENTION_MARGIN_MS) {
                this.finishedAt.delete(entry.id);
                this.prune(entry);
            }
        }
    }

    /** Deletes the transfers of a job and of its tasks without a job. It remains if a leader is lost after it deleted the spec of an expired job. */
    private reviewOrphan(entry: JobEntry, now: number): void {
        const { id } = entry;
        const orphanedAt = this.orphanedAt.get(id) ?? now;
        this.orphanedAt.set(id, orphanedAt);
        if (now - orphanedAt > RETENTION_MARGIN_MS) {
            this.orphanedAt.delete(id);
            this.deleteTogether(transferKeysOf(entry));
        }
    }

    /** Deletes the progress last: if the spec were left without it, the job would run again. */
    private prune(entry: JobEntry): void {
        const { id } = entry;
        this.writers.jobs.write(jobKey("cancellation", id), () => undefined);
        // Together: a job that is still recorded would be scheduled by its former shard again, and one that is submitted under its id
        // in between by the shards that have read the transfers, or by others.
        const keys = [jobKey("spec", id), ...transferKeysOf(entry)];
        this.deleteTogether(keys, () => this.activeJobs.remove(id));
        this.writers.jobs.write(jobKey("state", id), () => undefined);
    }

    /** Deletes records in one append. */
    private deleteTogether(keys: readonly string[], onStored?: () => void): void {
        this.writers.jobs.writeTogether(keys[0], () => keys.map(key => ({ key, value: undefined })), onStored);
    }
}

function hasTransfers(entry: JobEntry): boolean {
    return transferKeysOf(entry).length > 0;
}

/** @returns Keys of the records of where a job and its tasks were transferred. */
function transferKeysOf({ id, transfer, taskTransfers }: JobEntry): string[] {
    const ofJob = transfer === undefined ? [] : [jobKey("transfer", id)];
    return [...ofJob, ...[...(taskTransfers?.keys() ?? [])].map(task => jobKey("task-transfer", task))];
}
