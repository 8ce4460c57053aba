import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { Configuration } from "../../jobs/common/queueTable";
import { StoredRecord } from "../../records/common/record";

/** Decodes the records that the operator and the workers write to the platform's streams. */
export abstract class EntryDecoder {
    /** @param record A record of the operator. @returns Whether it should hold a configuration. */
    abstract isConfiguration(record: StoredRecord): boolean;

    /**
     * @param record A record of the operator.
     * @returns The configuration, or `undefined` if the record holds no valid one.
     */
    abstract decodeConfiguration(record: StoredRecord): Configuration | undefined;

    /** @param key Key of a record of the operator. @returns Whether the record should request the evacuation of a failure domain. */
    abstract isEvacuation(key: string): boolean;

    /**
     * @param key Key of a record of the operator. The domain is evacuated while there is the record, whatever its value.
     * @returns The failure domain, or `undefined` if the key names none.
     */
    abstract decodeEvacuation(key: string): string | undefined;

    /**
     * @param record A record of a worker.
     * @returns The worker, or `undefined` if it was removed or the record is not valid.
     */
    abstract decodeWorker(record: StoredRecord): WorkerEntry | undefined;
}
