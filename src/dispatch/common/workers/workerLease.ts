import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { RecordWriter } from "../../../records/common/recordWriter";
import { encodeLease, leaseKey, LeaseRecord } from "./leaseRecord";
import chartText from "./workerLease.chart.yaml";

type LeaseState = "unrecorded" | "recording" | "recorded" | "renewing" | "deleting";
type LeaseEvent = "unreachable" | "reachable" | "inherited" | "record-stored" | "deletion-stored";
type LeaseGuard = "withdrawsRecord";
type LeaseAction = "writeRecord" | "writeDeletion";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LeaseState, LeaseEvent, LeaseGuard, LeaseAction>(chartText, "workerLease.chart.yaml", {
        states: ["unrecorded", "recording", "recorded", "renewing", "deleting"],
        events: ["unreachable", "reachable", "inherited", "record-stored", "deletion-stored"],
        guards: ["withdrawsRecord"],
        actions: ["writeRecord", "writeDeletion"],
    }),
);

/**
 * What shows when a lease ends. `extended`: this leader has reached the worker. `recorded`: a former leader could not reach it and
 * left a record. `former`: what former leaders may have done.
 */
export type LeaseBasis = "extended" | "recorded" | "former";

/** Minimum interval between records of one lease, in ms. */
const RECORD_INTERVAL_MS = 1_000;

/** How long a lease lasts at most, and the clocks of witnesses by which that is dated. */
export type LeaseRemainder = Required<Pick<LeaseRecord, "remainingMs" | "witnesses">>;

/** The writer of the records, and the epoch that they carry. */
export interface LeaseWriter {
    readonly epoch: number;
    readonly records: RecordWriter;
    /** Shard of the worker; the first one if undefined. */
    readonly shard?: number;
}

/**
 * The lease of one worker, beyond one leader's epoch: until when former leaders may have extended it, and whether a record
 * tells the next leader that it is not extended.
 */
export class WorkerLease {
    private readonly machine: Machine<undefined, LeaseState, LeaseEvent, LeaseGuard, LeaseAction>;
    private remainder: () => LeaseRemainder = () => ({ remainingMs: 0, witnesses: [] });
    private nextRecordAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly worker: string,
        private readonly latestFormerEnd: () => number,
        private readonly writer: LeaseWriter,
        private readonly isInherited: boolean,
    ) {
        this.machine = Machine.create(chart, {
            guards: { withdrawsRecord: () => writer.records.withdraw(this.key) },
            actions: {
                writeRecord: () => this.writeRecord(),
                writeDeletion: () => this.writeDeletion(),
            },
        });
    }

    /**
     * @param worker Identifier of the worker.
     * @param latestFormerEnd Returns the time (ms) by which the lease has expired if it was not extended in this epoch, as far as
     * it is known now.
     * @param writer Writes the record.
     * @param isRecorded Whether a former leader left a record.
     * @returns The lease.
     */
    static create(
        worker: string,
        latestFormerEnd: () => number,
        writer: LeaseWriter,
        isRecorded: boolean,
    ): WorkerLease {
        const lease = new WorkerLease(worker, latestFormerEnd, writer, isRecorded);
        if (isRecorded) {
            lease.machine.fire("inherited", undefined);
        }
        return lease;
    }

    /**
     * Time (ms) by which the lease has expired if no leader has extended it since this epoch began. It is earlier once it is known
     * that a former leader has ended.
     */
    get formerEndsBy(): number {
        return this.latestFormerEnd();
    }

    /** What shows when it ends if this leader has not extended it. */
    get basis(): LeaseBasis {
        return this.isInherited ? "recorded" : "former";
    }

    /** Whether it may be extended: no record that says otherwise is stored, or could be. */
    get mayExtend(): boolean {
        return this.machine.state === "unrecorded";
    }

    /**
     * Records that the lease is not extended, since the worker cannot be reached. The record is renewed from time to time.
     * @param remainder Returns an upper bound of the time from `now` until the lease has expired, when the append is built.
     * @param now Time in ms.
     */
    record(remainder: () => LeaseRemainder, now: number): void {
        this.remainder = remainder;
        if (now >= this.nextRecordAt) {
            this.nextRecordAt = now + RECORD_INTERVAL_MS;
            this.machine.fire("unreachable", undefined);
        }
    }

    /** Deletes the record, if there is one. The lease may be extended once that is stored. */
    release(): void {
        this.machine.fire("reachable", undefined);
    }

    private get key(): string {
        return leaseKey(this.worker, this.writer.shard);
    }

    private writeRecord(): void {
        const encode = () => {
            const { remainingMs, witnesses } = this.remainder();
            return encodeLease({
                epoch: this.writer.epoch,
                remainingMs: Math.ceil(Math.max(0, remainingMs)),
                witnesses,
            });
        };
        const onStored = () => void this.machine.fire("record-stored", undefined);
        this.writer.records.write(this.key, encode, onStored);
    }

    private writeDeletion(): void {
        const onStored = () => void this.machine.fire("deletion-stored", undefined);
        this.writer.records.write(this.key, () => undefined, onStored);
    }
}
