import { WorkerEntry } from "../../dispatch/common/workerEntry";
import { Configuration } from "../../jobs/common/queueTable";
import { StoredRecord } from "../../records/common/record";

/** Reads what the operator and the workers write to the platform's streams. */
export abstract class EntryDecoder {
    /** @param record A record of the operator. @returns The configuration, if it is one that can be read. */
    abstract configuration(record: StoredRecord): Configuration | undefined;

    /** @param record A record of a worker. @returns The worker; `undefined` if it left or the entry names no worker. */
    abstract worker(record: StoredRecord): WorkerEntry | undefined;
}
