import { RecordOffset, StoredRecord } from "../../records/common/record";
import { RecordReceiver } from "../../records/common/recordFollower";

/** The newest record of each key of a stream that is followed while another instance writes it. */
export class ProgressReplica extends RecordReceiver {
    private readonly newest = new Map<string, StoredRecord>();

    private constructor() {
        super();
    }

    /** @returns A replica without records. */
    static create(): ProgressReplica {
        return new ProgressReplica();
    }

    /** The newest record of each key that is not deleted. */
    get records(): StoredRecord[] {
        return [...this.newest.values()].filter(({ value }) => value !== undefined);
    }

    /** Number of keys. */
    get size(): number {
        return this.records.length;
    }

    /** @returns Offset of the newest record of a key, if it is known. */
    offsetOf(key: string): RecordOffset | undefined {
        return this.newest.get(key)?.offset;
    }

    override apply(record: StoredRecord): void {
        // Answers to repeated reads may arrive in any order. A deleted key is kept, so that an earlier record does not bring it back.
        if (record.offset >= (this.offsetOf(record.key) ?? 0)) {
            this.newest.set(record.key, record);
        }
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        [...this.newest.keys()].filter(key => !keys.has(key)).forEach(key => this.newest.delete(key));
    }
}
