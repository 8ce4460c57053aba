import { withDrift } from "../../../coordination/common/duration";
import { RecordOffset, StoredRecord } from "../../../records/common/record";
import { WitnessClocks } from "../../../records/common/witnessClocks";
import { decodeLease, leaseKey, LeaseRecord, parseLeaseKey } from "./leaseRecord";

interface RecordedLease {
    readonly offset: RecordOffset;
    /** Epoch of the leader that wrote the record, or `undefined` if the record is malformed. */
    readonly epoch: number | undefined;
    /** @returns Time (ms) by which the lease has certainly expired. It is earlier once a witness has been reached. */
    readonly endsBy: () => number;
}

/**
 * The leases of workers that leaders could not reach. Every instance follows their records: the remaining time counts from
 * when the record was read, or from when witnesses show that it was made.
 */
export class LeaseTable {
    private readonly ends = new Map<string, RecordedLease>();

    private constructor(
        /** Shard of the workers. */
        readonly shard: number,
        private readonly clocks: WitnessClocks,
    ) {}

    /** @param shard Number of a shard. @param clocks Date the records. @returns The table of its workers, without records. */
    static create(shard = 0, clocks = WitnessClocks.create()): LeaseTable {
        return new LeaseTable(shard, clocks);
    }

    /** Workers of which there is a record. */
    get workers(): Iterable<string> {
        return this.ends.keys();
    }

    /** Applies the record of a lease. @param now Time in ms; the record was appended before. */
    apply({ key, value, offset }: StoredRecord, now: number): void {
        const name = parseLeaseKey(key);
        if (name?.shard !== this.shard) {
            return;
        }
        const { worker } = name;
        if (value === undefined) {
            this.ends.delete(worker);
        } else if (this.ends.get(worker)?.offset !== offset) {
            const record = decodeLease(value);
            this.ends.set(worker, { offset, epoch: record?.epoch, endsBy: () => this.endOfRecord(record, now) });
        }
    }

    /** Removes the records that the stream no longer has. @param keys Keys of the stream. */
    retain(keys: ReadonlySet<string>): void {
        [...this.ends.keys()].filter(id => !keys.has(leaseKey(id, this.shard))).forEach(id => this.ends.delete(id));
    }

    /**
     * @param worker Identifier of a worker.
     * @param since Epoch since which all leaders have kept to the records. An earlier record may be of a lease that a leader
     * of an earlier version extended all the same.
     * @returns Tells the time (ms) by which its lease has certainly expired, also once there is a later record. `undefined` if the
     * records do not show it.
     */
    endOf(worker: string, since: number): (() => number) | undefined {
        const end = this.ends.get(worker);
        return end?.epoch === undefined || end.epoch < since ? undefined : end.endsBy;
    }

    private endOfRecord(record: LeaseRecord | undefined, readAt: number): number {
        if (record === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        return this.clocks.madeBy(record.witnesses ?? [], readAt) + withDrift(record.remainingMs);
    }
}
