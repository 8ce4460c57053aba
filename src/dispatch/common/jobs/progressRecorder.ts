import { encodeProgress, jobKey, JobProgress, withClosed } from "../../../jobs/common/jobRecord";
import { JobSpec } from "../../../jobs/common/jobSpec";
import { ProgressDivision } from "../../../jobs/common/progressDivision";
import { ProgressTable } from "../../../jobs/common/progressTable";
import { RecordWriter, StoredListener } from "../../../records/common/recordWriter";
import { DividedProgress } from "./dividedProgress";

/** Waits until all records of the progress of a job are stored as a build, or a later one, has them. */
interface PendingListener {
    readonly build: number;
    readonly listener: StoredListener;
}

/** A job whose progress has several records. */
interface DividedJob {
    readonly records: DividedProgress;
    /** Returns its progress when an append is built. */
    progress: () => JobProgress;
    pending: PendingListener[];
    /** Called when an append with its records is stored. */
    readonly onStored: StoredListener;
}

/** Writes the progress of jobs: one record for each, or several for one with many tasks. */
export class ProgressRecorder {
    private readonly divided = new Map<string, DividedJob>();
    /** Keys of the records whose deletion may not be stored, by job. */
    private readonly deleting = new Map<string, ReadonlySet<string>>();

    private constructor(private readonly writer: RecordWriter) {}

    /** @param writer Writes to the stream of the progress. @returns A recorder. */
    static create(writer: RecordWriter): ProgressRecorder {
        return new ProgressRecorder(writer);
    }

    /** Takes over the records that former leaders have written. @param spec A job. @param progress Progress of all jobs. */
    restore(spec: JobSpec, progress: ProgressTable): void {
        const keys = progress.keysOf(spec.id);
        if (keys.length > 1 || ProgressDivision.create(spec).isDivided) {
            this.addDivided(spec, keys);
        }
    }

    /**
     * Records the progress of a job.
     * @param spec The job.
     * @param progress Returns its progress when an append is built.
     * @param onStored Called when the progress is stored as it is now, or a later one.
     */
    record(spec: JobSpec, progress: () => JobProgress, onStored: StoredListener): void {
        const { id } = spec;
        const known = this.divided.get(id);
        const deleting = [...(this.deleting.get(id) ?? [])];
        if (known === undefined && deleting.length <= 1 && !ProgressDivision.create(spec).isDivided) {
            this.writer.write(
                jobKey("progress", id),
                () => encodeProgress(withClosed(progress(), spec.steps)),
                onStored,
            );
            return;
        }
        // It replaces a deletion that waits, and has to delete what the new records do not replace.
        const job = known ?? this.addDivided(spec, deleting);
        job.progress = progress;
        job.pending.push({ build: job.records.nextBuild, listener: onStored });
        this.write(id, job);
    }

    /** @param id Identifier of a job. @returns Whether everything that was recorded of it is stored. */
    isStored(id: string): boolean {
        return (this.divided.get(id)?.pending ?? []).length === 0;
    }

    /** Deletes the progress of a job, of which this or a former leader has written it. @param keys Keys of its records. */
    delete(id: string, keys: Iterable<string> = this.divided.get(id)?.records.keys ?? []): void {
        const head = jobKey("progress", id);
        const deleted = new Set([head, ...keys, ...(this.deleting.get(id) ?? [])]);
        this.divided.delete(id);
        this.deleting.set(id, deleted);
        const build = () => [...deleted].map(key => ({ key, value: undefined }));
        this.writer.writeTogether(head, build, () => this.onDeleted(id, deleted));
    }

    private onDeleted(id: string, deleted: ReadonlySet<string>): void {
        if (this.deleting.get(id) === deleted) {
            this.deleting.delete(id);
        }
    }

    private addDivided(spec: JobSpec, keys: readonly string[]): DividedJob {
        const { id } = spec;
        const job: DividedJob = {
            records: DividedProgress.create(id, ProgressDivision.create(spec), keys),
            progress: () => ({ epoch: 0, state: "queued" }),
            pending: [],
            onStored: sentAt => this.onStored(id, job, sentAt),
        };
        this.divided.set(id, job);
        return job;
    }

    private onStored(id: string, job: DividedJob, sentAt: number): void {
        const { records } = job;
        records.confirm();
        const due = job.pending.filter(each => each.build <= records.storedBuilds);
        job.pending = job.pending.filter(each => each.build > records.storedBuilds);
        if (job.pending.length > 0) {
            this.write(id, job);
        }
        due.forEach(each => each.listener(sentAt));
    }

    private write(id: string, job: DividedJob): void {
        const build = () => job.records.build(job.progress());
        this.writer.writeTogether(jobKey("progress", id), build, job.onStored);
    }
}
