import { Err, Ok, Result } from "ts-results";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { Append, AppendError, NewestPage, ReadError, RecordPage } from "../../records/common/recordStore";

/** Number of the latest appends of each producer that are kept to detect repeats. */
const MAX_REMEMBERED_APPENDS = 5;

/** Maximum number of records per page of `newest`; small, so that loading takes several pages. */
const MAX_PAGE_RECORDS = 20;

interface ProducerState {
    epoch: number;
    latestAppends: { readonly sequence: number; readonly offset: RecordOffset }[];
}

/**
 * In-memory keyed stream of the platform's store. Supports conditional appends, fencing and deduplication of producers,
 * and expiry.
 */
export class KeyedLog {
    private readonly records: StoredRecord[] = [];
    private readonly newestByKey = new Map<string, StoredRecord>();
    private readonly producers = new Map<string, ProducerState>();
    private first = 0;

    private constructor() {}

    /** @returns An empty stream. */
    static create(): KeyedLog {
        return new KeyedLog();
    }

    /** Offset of the next record. */
    get end(): RecordOffset {
        return this.records.length;
    }

    /**
     * Appends the records of a producer with the checks of the platform's store.
     * @returns Offset of the first record, or why nothing was appended.
     */
    append({ producer, sequence, records, expectedEnd }: Append): Result<RecordOffset, AppendError> {
        const state = this.producers.get(producer.name) ?? { epoch: -1, latestAppends: [] };
        if (producer.epoch < state.epoch) {
            return Err("fenced");
        }
        if (producer.epoch === state.epoch) {
            const repeatedAppend = state.latestAppends.find(each => each.sequence === sequence);
            if (repeatedAppend !== undefined) {
                return Ok(repeatedAppend.offset);
            }
            if (sequence !== state.latestAppends[state.latestAppends.length - 1].sequence + 1) {
                return Err("out-of-sequence");
            }
        }
        if (expectedEnd !== undefined && expectedEnd !== this.end) {
            return Err("conflict");
        }
        const offset = this.end;
        records.forEach(record => this.store(record.key, record.value));
        const latestAppends = producer.epoch === state.epoch ? state.latestAppends : [];
        latestAppends.push({ sequence, offset });
        this.producers.set(producer.name, {
            epoch: producer.epoch,
            latestAppends: latestAppends.slice(-MAX_REMEMBERED_APPENDS),
        });
        return Ok(offset);
    }

    /** Appends a record without a producer, as other programs do. @param value Value; `undefined` removes the key. */
    store(key: string, value: string | undefined): void {
        const record = { key, value, offset: this.end };
        this.records.push(record);
        if (value === undefined) {
            this.newestByKey.delete(key);
        } else {
            this.newestByKey.set(key, record);
        }
    }

    /** @param from Offset of the first record. @returns The records from that offset on. */
    read(from: RecordOffset): Result<RecordPage, ReadError> {
        return from < this.first ? Err("truncated") : Ok({ records: this.records.slice(from), end: this.end });
    }

    /** @param after Last key of the previous page. @returns A page of the newest records by key, in key order. */
    newest(after: string | undefined): Result<NewestPage, ReadError> {
        const keys = [...this.newestByKey.keys()].sort().filter(key => after === undefined || key > after);
        const records = keys.slice(0, MAX_PAGE_RECORDS).map(key => this.newestByKey.get(key)!);
        return Ok({ records, end: this.end, hasMore: keys.length > MAX_PAGE_RECORDS });
    }

    /** Discards the history: `read` rejects its offsets from now on. The newest record of each key stays available. */
    expire(): void {
        this.first = this.end;
    }
}
