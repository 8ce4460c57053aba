import { StoredRecord } from "../../records/common/record";
import { RecordReceiver } from "../../records/common/recordFollower";

/** Handles the records of the stream of workers. */
export interface WorkerRecordHost {
    /** @param record The record. @param writtenAfter Time (ms) after which it was certainly written, if known. */
    applyWorkerRecord(record: StoredRecord, writtenAfter: number | undefined): void;

    /** Removes all workers but these, which are still registered. */
    retainWorkers(ids: ReadonlySet<string>): void;
}

/** Forwards the records of the stream of workers. */
export class WorkersReceiver extends RecordReceiver {
    private constructor(private readonly host: WorkerRecordHost) {
        super();
    }

    /** @param host Handles the records. @returns The receiver. */
    static create(host: WorkerRecordHost): WorkersReceiver {
        return new WorkersReceiver(host);
    }

    override apply(record: StoredRecord, writtenAfter: number | undefined): void {
        this.host.applyWorkerRecord(record, writtenAfter);
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        this.host.retainWorkers(keys);
    }
}
