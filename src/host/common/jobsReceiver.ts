import { StoredRecord } from "../../records/common/record";
import { RecordReceiver } from "../../records/common/recordFollower";

/** Handles the records of the stream of jobs. */
export interface JobRecordHost {
    /** @param record The record. @param isFollowed Whether every record before it was read, too. */
    applyJobRecord(record: StoredRecord, isFollowed: boolean): void;

    /** Removes what is known of the leases whose records are not among these keys. */
    retainLeases(keys: ReadonlySet<string>): void;
}

/** Forwards the records of the stream of jobs. */
export class JobsReceiver extends RecordReceiver {
    private constructor(private readonly host: JobRecordHost) {
        super();
    }

    /** @param host Handles the records. @returns The receiver. */
    static create(host: JobRecordHost): JobsReceiver {
        return new JobsReceiver(host);
    }

    override apply(record: StoredRecord, writtenAfter: number | undefined): void {
        this.host.applyJobRecord(record, writtenAfter !== undefined);
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        // Jobs whose records expired while the stream was not followed are finished, so they can stay in the table.
        this.host.retainLeases(keys);
    }
}
