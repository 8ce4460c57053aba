import { Emitter } from "../../base/common/emitter";
import { encodeProgress, jobKey, RunRecord } from "../../jobs/common/jobRecord";
import { isFinal, JobEntry, JobTable } from "../../jobs/common/jobTable";
import { StoredListener, RecordWriter } from "../../records/common/recordWriter";
import { ActiveJob } from "./activeJob";
import { Task } from "./task";

/** The jobs that the leader works on, and the recording of their progress. */
export class JobBook {
    private readonly jobs = new Map<string, ActiveJob>();
    private readonly cancels = Emitter.create<ActiveJob>();

    /** Fires when a job was cancelled. */
    readonly onDidCancel = this.cancels.event;

    private constructor(
        private readonly epoch: number,
        private readonly writer: RecordWriter,
    ) {}

    /** @param epoch Epoch of the leader. @param writer Writes the leader's records. @returns A book without jobs. */
    static create(epoch: number, writer: RecordWriter): JobBook {
        return new JobBook(epoch, writer);
    }

    /** Jobs that are not over or still have runs. */
    get all(): Iterable<ActiveJob> {
        return this.jobs.values();
    }

    /** Number of jobs. */
    get size(): number {
        return this.jobs.size;
    }

    /** @param name Name of a task. @returns The task, if its job is in the book. */
    findTask(name: string): Task | undefined {
        return this.jobs.get(name.slice(0, name.indexOf(".")))?.find(name);
    }

    /**
     * Takes over the jobs that an earlier leader left.
     * @param table All jobs.
     * @param inherit Called for each run that may be on a worker.
     */
    load(table: JobTable, inherit: (task: Task, record: RunRecord) => void): void {
        for (const entry of table.all) {
            const hasRuns = (entry.progress?.runs ?? []).length > 0;
            if (entry.spec !== undefined && (hasRuns || !isFinal(entry.progress?.state ?? "queued"))) {
                this.restore(entry, inherit);
            }
        }
    }

    /** Takes a change in the table of jobs. */
    update(entry: JobEntry): void {
        if (entry.spec === undefined) {
            return;
        }
        let job = this.jobs.get(entry.id);
        if (job === undefined) {
            if (entry.progress !== undefined) {
                return;
            }
            job = ActiveJob.create(entry.spec, entry.specOffset, undefined);
            this.jobs.set(entry.id, job);
        }
        if (entry.isCancelled) {
            this.cancel(job);
        }
    }

    /**
     * Records the job's progress and lets go of it when it is over and nothing of it runs.
     * @param job The job.
     * @param onStored Told when the progress as it is now is stored.
     */
    record(job: ActiveJob, onStored?: StoredListener): void {
        this.writer.write(jobKey("progress", job.spec.id), () => encodeProgress(job.progress(this.epoch)), onStored);
        if (isFinal(job.state) && [...job.tasks()].every(task => task.run === undefined)) {
            this.jobs.delete(job.spec.id);
        }
    }

    private restore(entry: JobEntry, inherit: (task: Task, record: RunRecord) => void): void {
        const job = ActiveJob.create(entry.spec!, entry.specOffset, entry.progress);
        this.jobs.set(entry.id, job);
        for (const record of entry.progress?.runs ?? []) {
            const task = job.find(record.task);
            if (task !== undefined) {
                inherit(task, record);
            }
        }
        if (entry.isCancelled) {
            this.cancel(job);
        }
    }

    private cancel(job: ActiveJob): void {
        job.isCancelled = true;
        if (!isFinal(job.state)) {
            job.state = "cancelled";
            this.cancels.fire(job);
            this.record(job);
        }
    }
}
