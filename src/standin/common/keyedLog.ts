import { Err, Ok, Result } from "ts-results";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { Append, AppendError, NewestPage, ReadError, RecordPage } from "../../records/common/recordStore";

/** Appends of a producer that are recognised when they are repeated. */
const REMEMBERED_APPENDS = 5;

/** Records on a page of the newest ones: small, so that loads take several pages. */
const PAGE_RECORDS = 20;

interface ProducerState {
    epoch: number;
    latest: { readonly sequence: number; readonly offset: RecordOffset }[];
}

/** A keyed stream of the platform's store, in memory: conditions, epochs and repeats of producers, and expiry. */
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

    /** Offset that the next record gets. */
    get end(): RecordOffset {
        return this.records.length;
    }

    /** Appends as the platform's store does. */
    append({ producer, sequence, records, onlyAt }: Append): Result<RecordOffset, AppendError> {
        const state = this.producers.get(producer.name) ?? { epoch: -1, latest: [] };
        if (producer.epoch < state.epoch) {
            return Err("fenced");
        }
        if (producer.epoch === state.epoch) {
            const repeated = state.latest.find(each => each.sequence === sequence);
            if (repeated !== undefined) {
                return Ok(repeated.offset);
            }
            if (sequence !== state.latest[state.latest.length - 1].sequence + 1) {
                return Err("out-of-sequence");
            }
        }
        if (onlyAt !== undefined && onlyAt !== this.end) {
            return Err("conflict");
        }
        const offset = this.end;
        records.forEach(record => this.store(record.key, record.value));
        const latest = producer.epoch === state.epoch ? state.latest : [];
        latest.push({ sequence, offset });
        this.producers.set(producer.name, { epoch: producer.epoch, latest: latest.slice(-REMEMBERED_APPENDS) });
        return Ok(offset);
    }

    /** Appends what another program writes. */
    store(key: string, value: string | undefined): void {
        const record = { key, value, offset: this.end };
        this.records.push(record);
        if (value === undefined) {
            this.newestByKey.delete(key);
        } else {
            this.newestByKey.set(key, record);
        }
    }

    /** @param from First offset wanted. @returns The records from there on. */
    read(from: RecordOffset): Result<RecordPage, ReadError> {
        return from < this.first ? Err("truncated") : Ok({ records: this.records.slice(from), end: this.end });
    }

    /** @param after Key after which to continue. @returns A page of the newest records. */
    newest(after: string | undefined): Result<NewestPage, ReadError> {
        const keys = [...this.newestByKey.keys()].sort().filter(key => after === undefined || key > after);
        const records = keys.slice(0, PAGE_RECORDS).map(key => this.newestByKey.get(key)!);
        return Ok({ records, end: this.end, hasMore: keys.length > PAGE_RECORDS });
    }

    /** Drops the history; the newest record of each key stays. */
    expire(): void {
        this.first = this.end;
    }
}
