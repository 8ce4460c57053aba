/** Number of latest appends of a producer whose answers are repeated. */
const MAX_REMEMBERED_APPENDS = 5;

/** Parameters of an append. */
export interface AppendQuery {
    readonly producer: string | undefined;
    readonly epoch: number;
    readonly seq: number;
    /** Offset at which the partition has to end, if the append depends on it. */
    readonly at: number | undefined;
}

/** Status and body of an answer. */
export type StoreAnswer = readonly [status: number, body: object];

interface ProducerState {
    readonly epoch: number;
    readonly appends: readonly { readonly seq: number; readonly answer: object }[];
}

/** One partition of the store's log. Its records are not lost. */
export class StorePartition {
    readonly records: Buffer[] = [];
    /** Newest record of each key of a keyed topic. */
    readonly newest = new Map<string, { readonly value: Buffer; readonly offset: number }>();
    private readonly producers = new Map<string, ProducerState>();
    private readonly waiters = new Set<() => void>();

    private constructor(private readonly isKeyed: boolean) {}

    /** @param isKeyed Whether its records have keys. @returns An empty partition. */
    static create(isKeyed: boolean): StorePartition {
        return new StorePartition(isKeyed);
    }

    /** Appends records as the operator and the workers do. @returns Offset of the first record. */
    add(records: readonly Buffer[]): number {
        const offset = this.records.length;
        for (const record of records) {
            const position = this.records.push(record) - 1;
            if (this.isKeyed) {
                this.index(record, position);
            }
        }
        [...this.waiters].forEach(wake => wake());
        return offset;
    }

    /** Appends the records of a call if its conditions hold. @returns The answer. */
    append(records: readonly Buffer[], { producer, epoch, seq, at }: AppendQuery): StoreAnswer {
        const known = producer === undefined ? undefined : this.producers.get(producer);
        if (known !== undefined && epoch < known.epoch) {
            return [409, { reason: "fenced" }];
        }
        const appends = known?.epoch === epoch ? known.appends : [];
        const repeat = appends.find(each => each.seq === seq);
        if (repeat !== undefined) {
            return [200, repeat.answer];
        }
        const expected = appends.length === 0 ? seq : appends[appends.length - 1].seq + 1;
        if (seq !== expected) {
            return [409, { reason: "seq", expected }];
        }
        if (at !== undefined && at !== this.records.length) {
            return [412, { end: this.records.length }];
        }
        const offset = this.add(records);
        const answer = { offset, end: this.records.length };
        if (producer !== undefined) {
            const latest = [...appends, { seq, answer }].slice(-MAX_REMEMBERED_APPENDS);
            this.producers.set(producer, { epoch, appends: latest });
        }
        return [200, answer];
    }

    /** Calls back once: after the next append, or after a timeout. @param timeoutMs Timeout in ms. */
    waitForAppend(timeoutMs: number, callback: () => void): void {
        const wake = () => {
            clearTimeout(timer);
            this.waiters.delete(wake);
            callback();
        };
        const timer = setTimeout(wake, timeoutMs);
        this.waiters.add(wake);
    }

    private index(record: Buffer, offset: number): void {
        const keyEnd = 1 + record[0];
        const key = record.toString("utf8", 1, keyEnd);
        if (record.length > keyEnd) {
            this.newest.set(key, { value: record.subarray(keyEnd), offset });
        } else {
            this.newest.delete(key);
        }
    }
}
