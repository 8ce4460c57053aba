import { MAX_CLOCK_DRIFT_RATIO } from "../../coordination/common/duration";
import { decodeHost, HostRecord, parseHostKey } from "./hostRecord";
import { RecordOffset, StoredRecord } from "./record";

interface HostStart {
    readonly instance: string;
    readonly readTo: RecordOffset;
    /** Time (ms) by which the former incarnations had ended. */
    readonly startedBy: number;
}

/** An instance that may lead, as it states itself. */
export interface HostProfile {
    readonly instance: string;
    /** CPU available to it, in cores. */
    readonly cores: number;
    /** Round trip from it to the store, in ms; unknown if undefined. */
    readonly storeMs: number | undefined;
    readonly isStopping: boolean;
    /** Offset of its first record that was read. Of two instances, the one that started later has the higher one. */
    readonly offset: RecordOffset;
}

/** A process that has appended a record. */
export interface HostProcess {
    readonly host: string | undefined;
    readonly instance: string;
    /** Offset of one of its records. */
    readonly offset: RecordOffset;
}

/** The latest incarnation on each host, which shows when the former ones had ended. */
export class HostTable {
    private readonly starts = new Map<string, HostStart>();
    private readonly profilesByHost = new Map<string, HostProfile>();

    private constructor() {}

    /** @returns A table without hosts. */
    static create(): HostTable {
        return new HostTable();
    }

    /** The latest incarnation on each host that states what it is. */
    get profiles(): HostProfile[] {
        return [...this.profilesByHost.values()];
    }

    /**
     * Applies the record of a host. A malformed one has no effect.
     * @param record The record.
     * @param now Time in ms; the record was appended before.
     */
    apply(record: StoredRecord, now: number): void {
        const host = parseHostKey(record.key);
        const start = record.value === undefined ? undefined : decodeHost(record.value);
        const known = host === undefined ? undefined : this.starts.get(host);
        if (host === undefined || start === undefined) {
            return;
        }
        this.updateProfile(host, start, record.offset);
        if (start.instance === known?.instance) {
            return;
        }
        const startedBy = now - start.ageMs * (1 - 2 * MAX_CLOCK_DRIFT_RATIO);
        this.starts.set(host, { instance: start.instance, readTo: start.readTo, startedBy });
    }

    private updateProfile(
        host: string,
        { instance, cores, storeMs, stopping }: HostRecord,
        offset: RecordOffset,
    ): void {
        const known = this.profilesByHost.get(host);
        const firstOffset = known?.instance === instance ? known.offset : offset;
        if (cores === undefined) {
            this.profilesByHost.delete(host);
        } else {
            const profile = { instance, cores, storeMs, isStopping: stopping === true, offset: firstOffset };
            this.profilesByHost.set(host, profile);
        }
    }

    /**
     * @param process A process that has appended a record.
     * @returns Time (ms) by which it has certainly ended, or `undefined` if the records do not show it.
     */
    endOf({ host, instance, offset }: HostProcess): number | undefined {
        const start = host === undefined ? undefined : this.starts.get(host);
        const isFormer = start !== undefined && start.instance !== instance && offset < start.readTo;
        return isFormer ? start.startedBy : undefined;
    }
}
