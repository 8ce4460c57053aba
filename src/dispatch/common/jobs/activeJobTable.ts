import { Emitter } from "../../../base/common/emitter";
import {
    encodeSpec,
    jobIdOf,
    jobKey,
    JobProgress,
    RunRecord,
    TaskRecord,
    withClosed,
} from "../../../jobs/common/jobRecord";
import { JobSpec, JobState } from "../../../jobs/common/jobSpec";
import { isFinal, JobEntry } from "../../../jobs/common/jobTable";
import { encodeTransfer } from "../../../jobs/common/jobTransfer";
import { encodeTaskTransfer } from "../../../jobs/common/taskTransfer";
import { JobSource } from "../../../jobs/common/shardJobs";
import { ProgressTable } from "../../../jobs/common/progressTable";
import { RecordOffset } from "../../../records/common/record";
import { isTooLarge } from "../../../records/common/recordSize";
import { RecordWriter, StoredListener } from "../../../records/common/recordWriter";
import { ActiveJob } from "./activeJob";
import { ProgressRecorder } from "./progressRecorder";
import { isFinishedBy, Task } from "./task";
import { JobPlaces, TaskTransferTable, UNDIVIDED_PLACES } from "../shards/taskTransferTable";

/** Interval between publications of jobs that have started, in ms. Callers accept counts of queued jobs up to 2 s old. */
const START_PUBLICATION_INTERVAL_MS = 250;

/** The leader's writers. */
export interface LeaderWriters {
    /** Writes to the stream that all instances follow. */
    readonly jobs: RecordWriter;
    /** Writes to the stream that only the next leader reads. */
    readonly progress: RecordWriter;
}

/** A job that was left to another shard. */
interface DepartedJob {
    /** Offset of its spec. A job that is submitted under its id after its retention has another one. */
    readonly specOffset: RecordOffset;
    /** Number of transfers after which it may be back. */
    readonly count: number;
}

/**
 * The jobs that the leader schedules. Records their progress and, once it is stored, publishes their state to the
 * stream that all instances read.
 */
export class ActiveJobTable {
    private readonly jobs = new Map<string, ActiveJob>();
    /** Finished jobs without runs whose final state is not stored yet. */
    private readonly finishing = new Map<string, ActiveJob>();
    /** Finished jobs without runs: later records about them are ignored. */
    private readonly finished = new Set<string>();
    /** Highest runs of the tasks of finished jobs that were started again after a run was given up, by task and job. */
    private readonly restarts = new Map<string, ReadonlyMap<string, number>>();
    /** Jobs that were left to other shards. */
    private readonly departed = new Map<string, DepartedJob>();
    /** Jobs that were submitted or transferred and not taken by `takeArrivals` yet. */
    private arrivals: ActiveJob[] = [];
    /** Offsets of the specs of finished jobs that other shards have. */
    private readonly finishedGuests = new Map<string, RecordOffset>();
    /** Jobs that have started and are not published as such. */
    private readonly started = new Set<ActiveJob>();
    private startsPublishedAt = Number.NEGATIVE_INFINITY;
    private readonly recorder: ProgressRecorder;
    private readonly tasks: TaskTransferTable;
    private readonly didCancel = Emitter.create<ActiveJob>();
    private readonly didAdoptTask = Emitter.create<Task>();

    private readonly didIgnoreJob = Emitter.create<string>();

    /** Fires with a job that is not scheduled because its progress is malformed. */
    readonly onDidIgnoreJob = this.didIgnoreJob.event;
    /** Fires with a task that was transferred to this shard. */
    readonly onDidAdoptTask = this.didAdoptTask.event;
    /** Fires when a job is cancelled, or has ended in the shard that has it. */
    readonly onDidCancel = this.didCancel.event;

    private constructor(
        private readonly epoch: number,
        private readonly writers: LeaderWriters,
        places: JobPlaces,
    ) {
        this.tasks = TaskTransferTable.create(places);
        this.recorder = ProgressRecorder.create(writers.progress);
    }

    /**
     * @param epoch Epoch of the leader.
     * @param writers The leader's writers.
     * @param places Its shard, and those of jobs.
     * @returns A table without jobs.
     */
    static create(epoch: number, writers: LeaderWriters, places = UNDIVIDED_PLACES): ActiveJobTable {
        return new ActiveJobTable(epoch, writers, places);
    }

    /** Jobs that are not finished or still have runs. */
    get all(): Iterable<ActiveJob> {
        return this.jobs.values();
    }

    /** Number of jobs. */
    get size(): number {
        return this.jobs.size;
    }

    /** @param id Identifier of a job. @returns Whether it is finished and has no runs. */
    isFinished(id: string): boolean {
        return this.finished.has(id);
    }

    /** Removes the jobs of other shards, none of which has a run. @param isOwn Whether a job stays. */
    release(isOwn: (id: string) => boolean): void {
        [...this.jobs.keys()].filter(id => !isOwn(id)).forEach(id => this.jobs.delete(id));
    }

    /** Removes a finished job whose spec is deleted, and deletes its progress. @param id Its identifier. */
    remove(id: string): void {
        this.recorder.delete(id);
        this.finished.delete(id);
        this.restarts.delete(id);
        this.finishedGuests.delete(id);
        this.tasks.forget(id);
    }

    /** Removes the finished jobs of other shards whose leaders have deleted them. @param table All jobs. */
    pruneGuests(table: JobSource): void {
        for (const [id, specOffset] of this.finishedGuests) {
            if (table.find(id)?.specOffset !== specOffset) {
                this.remove(id);
            }
        }
    }

    /**
     * @param name Name of a task.
     * @param run One of its runs.
     * @returns Whether the task was started again after that run was given up. Then its end `done` cannot be confirmed
     * as the one that counts, unless the worker's lease expired after it. No end of a long-running task counts as such.
     */
    isRestartedAfter(name: string, run: number): boolean {
        const task = this.findTask(name);
        if (task === undefined) {
            return run < (this.restarts.get(jobIdOf(name))?.get(name) ?? 0);
        }
        return isFinishedBy(task, "done") && run < task.highestRun;
    }

    /** @returns The tasks under which workers were lost, according to the records of earlier leaders. */
    suspects(): Task[] {
        const hasEvidence = (task: Task) =>
            !task.isElsewhere && (task.suspicion !== undefined || task.lossesInARow > 0);
        return [...this.jobs.values()].flatMap(job => [...job.tasks()].filter(hasEvidence));
    }

    /** @param name Name of a task. @returns The task, if its job is in the table. */
    findTask(name: string): Task | undefined {
        return this.jobs.get(jobIdOf(name))?.find(name);
    }

    /**
     * Adds a job with the progress that earlier leaders recorded, unless it is finished.
     * @param entry The job.
     * @param progress Progress of all jobs.
     * @param inherit Called for each of its runs that may be on a worker.
     * @returns Number of the tasks that were created.
     */
    restore(entry: JobEntry, progress: ProgressTable, inherit: (task: Task, record: RunRecord) => void): number {
        const known = progress.latestOf(entry, this.tasks.isGuest(entry.id));
        if (entry.spec !== undefined) {
            this.recorder.restore(entry.spec, progress);
        }
        const isFinished = known !== undefined && isFinal(known.state) && (known.runs ?? []).length === 0;
        if (isFinished) {
            this.recordFinish(entry.id, entry.specOffset, known.tasks);
            if (!this.tasks.isGuest(entry.id)) {
                this.publishState(entry.id, entry.state, known.state);
            }
        } else if (progress.isMalformed(entry.id)) {
            // Its runs are not known. If it were scheduled, tasks could run twice.
            this.finished.add(entry.id);
            this.didIgnoreJob.fire(entry.id);
        } else if (entry.spec !== undefined) {
            return this.restoreJob(entry, entry.spec, known, inherit);
        }
        return 0;
    }

    /**
     * Deletes progress without a job. It remains if a leader is lost after it deleted the spec of an expired job, but
     * before it deleted the progress.
     */
    deleteOrphans(table: JobSource, progress: ProgressTable): void {
        for (const id of progress.ids) {
            if (table.find(id) === undefined) {
                this.recorder.delete(id, progress.keysOf(id));
            }
        }
    }

    /** Applies a change in the table of all jobs. */
    update(entry: JobEntry): void {
        const { id, spec } = entry;
        if (this.finishedGuests.has(id) && this.finishedGuests.get(id) !== entry.specOffset) {
            // Another job under the id of one that is deleted.
            this.remove(id);
        }
        if (spec === undefined || this.finished.has(id) || this.hasDeparted(entry)) {
            return;
        }
        const job = this.jobs.get(id) ?? this.addJob(entry, spec);
        if (job !== undefined) {
            this.tasks.apply(job, entry).forEach(task => this.didAdoptTask.fire(task));
            this.applyEnd(job, entry);
        }
    }

    /** @returns The job; `undefined` if another shard has it, and no task of it is here. */
    private addJob(entry: JobEntry, spec: JobSpec): ActiveJob | undefined {
        const { id, transfer, specOffset } = entry;
        const isGuest = this.tasks.isGuest(id);
        if (isGuest && (!this.tasks.hasTaskOf(entry) || entry.isCancelled || isFinal(entry.state))) {
            return undefined;
        }
        this.departed.delete(id);
        const job = ActiveJob.create(spec, specOffset, isGuest ? undefined : transfer?.progress, isGuest);
        job.transfers = transfer?.count ?? 0;
        job.publishedState = entry.state;
        job.hasStarted ||= entry.state !== "queued";
        this.jobs.set(id, job);
        if (!isGuest) {
            this.arrivals.push(job);
        }
        return job;
    }

    /** @returns Whether a job was left to another shard, and its transfer back is not read. */
    private hasDeparted({ id, specOffset, transfer }: JobEntry): boolean {
        const departed = this.departed.get(id);
        return departed?.specOffset === specOffset && (transfer?.count ?? 0) < departed.count;
    }

    /** @returns The jobs that were submitted, or transferred to this shard, since the last call. */
    takeArrivals(): readonly ActiveJob[] {
        const { arrivals } = this;
        this.arrivals = [];
        return arrivals.filter(job => this.jobs.get(job.spec.id) === job);
    }

    /**
     * Leaves a job to the leader of another shard, which schedules it once it has read the record. If this leader is superseded
     * before the record is stored, the job stays with the shard.
     * @param job A job that is transferable.
     * @param shard The other shard.
     * @returns Whether it is left; not if its progress is too large for one record.
     */
    transfer(job: ActiveJob, shard: number): boolean {
        const { id } = job.spec;
        const count = job.transfers + 1;
        const progress = job.state === "queued" ? undefined : withClosed(job.progress(this.epoch), job.spec.steps);
        const record = { key: jobKey("transfer", id), value: encodeTransfer({ shard, count, progress }) };
        if (isTooLarge(record)) {
            return false;
        }
        this.jobs.delete(id);
        this.departed.set(id, { specOffset: job.specOffset, count });
        const onStored = progress === undefined ? undefined : () => this.deleteProgress(id, count);
        this.writers.jobs.write(record.key, () => record.value, onStored);
        return true;
    }

    /**
     * Leaves a task to the leader of another shard, which gives it runs once it has read the record. If this leader is superseded before
     * the record is stored, the task stays with the shard.
     * @param task A task that is transferable.
     * @param shard The other shard.
     */
    transferTask(task: Task, shard: number): void {
        const { job, name } = task;
        const { id } = job.spec;
        const transfer = job.leaveTask(task, shard);
        this.tasks.recordDeparture(task);
        const hasLeft = !job.hasOwnTask;
        if (hasLeft) {
            if (!job.isGuest && job.publishedState === "queued") {
                // No other shard publishes states of this job, so callers would be told that it is queued until it ends.
                this.publish(job, "running");
            }
            this.jobs.delete(id);
        }
        this.writers.jobs.write(
            jobKey("task-transfer", name),
            () => encodeTaskTransfer(transfer),
            () => this.deleteGuest(id, hasLeft),
        );
    }

    /** @param id Identifier of a job. @returns Shard that has it. */
    homeOf(id: string): number {
        return this.tasks.homeOf(id);
    }

    /** Deletes the progress of a job of another shard, of which this one has no task any more, unless one came back meanwhile. */
    private deleteGuest(id: string, hasLeft: boolean): void {
        if (hasLeft && !this.jobs.has(id) && !this.finished.has(id)) {
            this.recorder.delete(id);
        }
    }

    /**
     * Deletes progress that a stored transfer replaces: a job that is submitted under its id after its retention is another one.
     * After a later transfer it may be that of the job's last stay.
     */
    private deleteProgress(id: string, count: number): void {
        if (this.departed.get(id)?.count === count) {
            this.recorder.delete(id);
        }
    }

    /**
     * Records the job's progress, and removes the job from the active ones if it is finished and has no runs.
     * @param job The job.
     * @param onStored Called when the current progress is stored.
     */
    recordProgress(job: ActiveJob, onStored?: StoredListener): void {
        const { id } = job.spec;
        const progress = () => {
            const current = job.progress(this.epoch);
            job.recordedState = current.state;
            return current;
        };
        job.unstoredRecords += 1;
        this.recorder.record(job.spec, progress, sentAt => {
            job.unstoredRecords -= 1;
            if (!job.isGuest) {
                this.publish(job, job.shownState);
            }
            if (isFinal(job.recordedState) && this.recorder.isStored(id) && this.finishing.delete(id)) {
                this.truncateSpec(job);
            }
            onStored?.(sentAt);
        });
        if (isFinal(job.state) && !job.hasRun) {
            this.jobs.delete(id);
            this.finishing.set(id, job);
            this.recordFinish(id, job.specOffset, job.progress(this.epoch).tasks);
        }
    }

    /**
     * Records that a worker has started a task of a job. Until this is published, callers are told that the job is queued, also while a start
     * is on its way or rejected.
     */
    recordStart(job: ActiveJob): void {
        job.hasStarted = true;
        if (!job.isGuest && job.publishedState === "queued") {
            this.started.add(job);
        }
    }

    /** Publishes the jobs that have started and are still in the table. @param now Time in ms. */
    publishStarts(now: number): void {
        if (now - this.startsPublishedAt < START_PUBLICATION_INTERVAL_MS) {
            return;
        }
        this.startsPublishedAt = now;
        for (const job of this.started) {
            if (job.publishedState === "queued" && this.jobs.get(job.spec.id) === job) {
                this.publish(job, "running");
            }
        }
        this.started.clear();
    }

    private recordFinish(id: string, specOffset: RecordOffset, tasks: readonly TaskRecord[] = []): void {
        this.finished.add(id);
        this.recordRestarts(id, tasks);
        if (this.tasks.isGuest(id)) {
            this.finishedGuests.set(id, specOffset);
        }
    }

    /**
     * Waits until what is known of a job is stored, for a task that is no longer in the table.
     * @param name Name of the task.
     * @param onStored Called when it is stored, immediately if it already is.
     */
    whenFinishStored(name: string, onStored: () => void): void {
        // The task may also be of an occurrence that is closed, of a job that goes on.
        const job = this.finishing.get(jobIdOf(name)) ?? this.jobs.get(jobIdOf(name));
        if (job === undefined) {
            onStored();
        } else {
            this.recordProgress(job, onStored);
        }
    }

    /** Removes payload and steps from the spec of a finished job: instances that start later do not need them. */
    private truncateSpec(job: ActiveJob): void {
        const { spec } = job;
        if (!job.isWhole) {
            // A later leader of another shard may have to know the steps of its runs, to stop them.
            return;
        }
        this.writers.jobs.write(jobKey("spec", spec.id), () => encodeSpec({ ...spec, payload: "", steps: [] }));
    }

    private recordRestarts(id: string, tasks: readonly TaskRecord[]): void {
        if (tasks.length > 0) {
            this.restarts.set(id, new Map(tasks.map(({ task, lastRun }) => [task, lastRun])));
        }
    }

    private publish(job: ActiveJob, state: JobState): void {
        this.publishState(job.spec.id, job.publishedState, state);
        job.publishedState = state;
    }

    private publishState(id: string, before: JobState, state: JobState): void {
        if (state !== before) {
            this.writers.jobs.write(jobKey("state", id), () => state);
        }
    }

    private restoreJob(
        entry: JobEntry,
        spec: JobSpec,
        progress: JobProgress | undefined,
        inherit: (task: Task, record: RunRecord) => void,
    ): number {
        const job = ActiveJob.create(spec, entry.specOffset, progress, this.tasks.isGuest(entry.id));
        job.transfers = entry.transfer?.count ?? 0;
        if (!job.isGuest) {
            job.recordedState = job.state;
            job.publishedState = entry.state;
            job.hasStarted ||= entry.state !== "queued";
            this.publish(job, job.shownState);
        }
        this.jobs.set(entry.id, job);
        this.tasks.apply(job, entry);
        for (const record of progress?.runs ?? []) {
            const task = job.find(record.task);
            // A run before the latest transfer of its task is over.
            const lastRun = entry.taskTransfers?.get(record.task)?.record.lastRun ?? 0;
            if (task !== undefined && !task.isElsewhere && record.run > lastRun) {
                inherit(task, record);
            }
        }
        this.applyEnd(job, entry);
        return [...job.groups].reduce((sum, { tasks }) => sum + tasks.length, 0);
    }

    /** Ends a job that is cancelled, or that the leader of the shard that has it has ended. */
    private applyEnd(job: ActiveJob, { isCancelled, state }: JobEntry): void {
        job.isCancelled ||= isCancelled;
        const isEnded = isCancelled || (job.isGuest && isFinal(state));
        if (isEnded && !isFinal(job.state)) {
            job.state = isCancelled ? "cancelled" : state;
            this.didCancel.fire(job);
            this.recordProgress(job);
        }
    }
}
