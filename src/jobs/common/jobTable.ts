import { Emitter } from "../../base/common/emitter";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { decodeSpec, decodeState, JobRecordKind, parseJobKey } from "./jobRecord";
import { JobSpec, JobState } from "./jobSpec";
import { decodeTransfer, JobTransfer } from "./jobTransfer";

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
}

/** All jobs, folded from the stream. Every instance has a table, so it can answer calls about every job. */
export class JobTable {
    private readonly entries = new Map<string, JobEntry>();
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

    /** All jobs. */
    get all(): Iterable<JobEntry> {
        return this.entries.values();
    }

    /** Number of jobs in the table. */
    get size(): number {
        return this.entries.size;
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
                this.didChange.fire(entry);
                break;
            }
            case "state":
                this.applyState(key.id, record, record.value);
                break;
            case "transfer":
                this.applyTransfer(key.id, record, record.value);
                break;
        }
    }

    /** A transfer remains until it is deleted itself: instances that load the stream later have it, too. */
    private applyDeletion({ kind, id }: { readonly kind: JobRecordKind; readonly id: string }): void {
        const transfer = this.transferOf(id);
        if (kind === "spec") {
            this.entries.delete(id);
            if (transfer !== undefined) {
                this.getOrCreate(id).transfer = transfer;
            }
        } else if (kind === "transfer" && this.find(id) === undefined) {
            this.entries.delete(id);
        }
    }

    /** @param id Identifier. @returns Its latest transfer to another shard, or `undefined` if there was none. */
    transferOf(id: string): JobTransfer | undefined {
        return this.entries.get(id)?.transfer;
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
