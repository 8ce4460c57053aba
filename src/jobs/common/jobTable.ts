import { Emitter } from "../../base/common/emitter";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { estimateJobBytes, JobMemory } from "./jobMemory";
import { decodeSpec, decodeState, jobIdOf, JobRecordKind, parseJobKey } from "./jobRecord";
import { JobSpec, JobState } from "./jobSpec";
import { decodeTransfer, JobTransfer } from "./jobTransfer";
import { FIRST_SHARD } from "./shardPlan";
import { decodeTaskTransfer, TaskTransfer } from "./taskTransfer";

/** A job as recorded in the stream. */
export interface JobEntry {
    readonly id: string;
    spec?: JobSpec;
    /** Offset of the first record with the job's specification. */
    specOffset: RecordOffset;
    isCancelled: boolean;
    /** Latest state that a leader recorded. */
    state: JobState;
    stateOffset: RecordOffset;
    /** Latest transfer to another shard; `undefined` while the job is where its identifier puts it. */
    transfer?: JobTransfer;
    /** Latest transfers of single tasks, by name; `undefined` if there was none. */
    taskTransfers?: Map<string, TaskTransfer>;
}

/** All jobs, folded from the stream. Every instance has a table, so it can answer calls about every job. */
export class JobTable {
    private readonly entries = new Map<string, JobEntry>();
    private readonly memory = JobMemory.create();
    private readonly didChange = Emitter.create<JobEntry>();
    private readonly didIgnore = Emitter.create<StoredRecord>();

    private constructor() {}

    /** Fires for a malformed record, which has no effect. */
    readonly onDidIgnore = this.didIgnore.event;

    /** Fires when a job is submitted or cancelled, or its recorded state changes. */
    readonly onDidChange = this.didChange.event;

    /** @returns A table without jobs. */
    static create(): JobTable {
        return new JobTable();
    }

    /** Number of the shard that all jobs are in; a fleet that is divided has `ShardJobs`. */
    readonly shard: number = FIRST_SHARD;

    /** @returns Shard of the leader that has a job; it may have left some of its tasks to others. */
    homeOf(_id: string): number {
        return this.shard;
    }

    /** All jobs. */
    get all(): Iterable<JobEntry> {
        return this.entries.values();
    }

    /** Number of jobs in the table. */
    get size(): number {
        return this.entries.size;
    }

    /** Estimated memory of all jobs, in bytes. */
    get heldBytes(): number {
        return this.memory.bytes;
    }

    /** @param id Identifier. @returns The job, or `undefined` if its submission was not read. */
    find(id: string): JobEntry | undefined {
        const entry = this.entries.get(id);
        return entry?.spec === undefined ? undefined : entry;
    }

    /** Applies one record. Records older than the known state have no effect. */
    apply(record: StoredRecord): void {
        const key = parseJobKey(record.key);
        if (key === undefined) {
            return;
        }
        if (record.value === undefined) {
            this.applyDeletion(key);
            return;
        }
        switch (key.kind) {
            case "spec":
                this.applySpec(key.id, record, record.value);
                break;
            case "cancellation": {
                const entry = this.getOrCreate(key.id);
                entry.isCancelled = true;
                this.recordMemory(entry);
                this.didChange.fire(entry);
                break;
            }
            case "state":
                this.applyState(key.id, record, record.value);
                break;
            case "transfer":
                this.applyTransfer(key.id, record, record.value);
                break;
            case "task-transfer":
                this.applyTaskTransfer(key.id, record, record.value);
                break;
        }
    }

    /** A transfer remains until it is deleted itself: instances that load the stream later have it, too. */
    private applyDeletion({ kind, id }: { readonly kind: JobRecordKind; readonly id: string }): void {
        const jobId = kind === "task-transfer" ? jobIdOf(id) : id;
        const entry = this.entries.get(jobId);
        if (entry === undefined || (kind !== "spec" && entry.spec !== undefined)) {
            return;
        }
        if (kind === "spec") {
            this.keepTransfers(entry, entry.transfer);
        } else if (kind === "transfer") {
            this.keepTransfers(entry, undefined);
        } else if (kind === "task-transfer") {
            entry.taskTransfers?.delete(id);
            this.keepTransfers(entry, entry.transfer);
        }
    }

    /** Forgets a job but for its transfers. */
    private keepTransfers({ id, taskTransfers }: JobEntry, transfer: JobTransfer | undefined): void {
        this.entries.delete(id);
        this.memory.record(id, 0);
        if (transfer !== undefined || (taskTransfers?.size ?? 0) > 0) {
            const entry = this.getOrCreate(id);
            entry.transfer = transfer;
            entry.taskTransfers = taskTransfers;
        }
    }

    /** @param id Identifier. @returns Its latest transfer to another shard, or `undefined` if there was none. */
    transferOf(id: string): JobTransfer | undefined {
        return this.entries.get(id)?.transfer;
    }

    /** @param id Identifier. @returns The latest transfers of its tasks. */
    taskTransfersOf(id: string): Iterable<TaskTransfer> {
        return this.entries.get(id)?.taskTransfers?.values() ?? [];
    }

    /** @param queue Name of a queue. @returns Number of its accepted jobs that have not started. */
    countQueued(queue: string): number {
        let count = 0;
        for (const entry of this.entries.values()) {
            count += entry.spec?.queue.name === queue && visibleStateOf(entry) === "queued" ? 1 : 0;
        }
        return count;
    }

    private applySpec(id: string, record: StoredRecord, value: string): void {
        const spec = decodeSpec(value);
        if (spec === undefined) {
            this.didIgnore.fire(record);
            return;
        }
        const entry = this.getOrCreate(id);
        if (entry.spec === undefined) {
            entry.spec = spec;
            entry.specOffset = record.offset;
            this.recordMemory(entry);
            this.didChange.fire(entry);
        }
    }

    private applyState(id: string, record: StoredRecord, value: string): void {
        const state = decodeState(value);
        if (state === undefined) {
            this.didIgnore.fire(record);
            return;
        }
        const entry = this.getOrCreate(id);
        if (record.offset > entry.stateOffset) {
            entry.state = state;
            entry.stateOffset = record.offset;
            this.recordMemory(entry);
            this.didChange.fire(entry);
        }
    }

    private applyTransfer(id: string, record: StoredRecord, value: string): void {
        const transfer = decodeTransfer(value);
        if (transfer === undefined) {
            this.didIgnore.fire(record);
            return;
        }
        const entry = this.getOrCreate(id);
        if (transfer.count > (entry.transfer?.count ?? 0)) {
            entry.transfer = transfer;
            this.didChange.fire(entry);
        }
    }

    private applyTaskTransfer(task: string, record: StoredRecord, value: string): void {
        const transfer = decodeTaskTransfer(value);
        if (transfer === undefined) {
            this.didIgnore.fire(record);
            return;
        }
        const entry = this.getOrCreate(jobIdOf(task));
        entry.taskTransfers ??= new Map();
        if (transfer.count > (entry.taskTransfers.get(task)?.count ?? 0)) {
            entry.taskTransfers.set(task, transfer);
            this.didChange.fire(entry);
        }
    }

    private recordMemory(entry: JobEntry): void {
        if (entry.spec !== undefined) {
            this.memory.record(entry.id, estimateJobBytes(entry.spec, !isFinal(visibleStateOf(entry))));
        }
    }

    private getOrCreate(id: string): JobEntry {
        const existing = this.entries.get(id);
        if (existing !== undefined) {
            return existing;
        }
        const entry: JobEntry = { id, specOffset: -1, isCancelled: false, state: "queued", stateOffset: -1 };
        this.entries.set(id, entry);
        return entry;
    }
}

/** @param state State of a job. @returns Whether it is final. */
export function isFinal(state: JobState): boolean {
    return state === "done" || state === "failed" || state === "cancelled";
}

/** @param entry A job. @returns The state shown to callers. */
export function visibleStateOf(entry: JobEntry): JobState {
    return entry.isCancelled && !isFinal(entry.state) ? "cancelled" : entry.state;
}
