import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { KeyedRecord } from "./record";
import { Append, Producer, StreamName } from "./recordStore";
import { RecordEvent, RecordWriterEffect } from "./recordEvents";
import { isTooLarge, recordBytes } from "./recordSize";
import chartText from "./recordWriter.chart.yaml";

type WriterState = "idle" | "sending" | "waiting" | "unconfirmed" | "resending" | "rejected";
type WriterEvent =
    "flush" | "nothing-left" | "stored" | "not-done" | "unknown" | "retry-due" | "store-answered" | "reject";
type WriterGuard = "hasPending" | "hasNoAppend" | "isSentAfterFailure";
type WriterAction = "send" | "resend" | "confirmBatch" | "requeue" | "backOff" | "endFailure";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<WriterState, WriterEvent, WriterGuard, WriterAction>(chartText, "recordWriter.chart.yaml", {
        states: ["idle", "sending", "waiting", "unconfirmed", "resending", "rejected"],
        events: ["flush", "nothing-left", "stored", "not-done", "unknown", "retry-due", "store-answered", "reject"],
        guards: ["hasPending", "hasNoAppend", "isSentAfterFailure"],
        actions: ["send", "resend", "confirmBatch", "requeue", "backOff", "endFailure"],
    }),
);

/** Bounds of the delay before an append is retried. It starts short, so that a brief store outage costs little. */
const MIN_RETRY_BACKOFF_MS = 40;
const MAX_RETRY_BACKOFF_MS = 400;

/** Limit of the records in one append, well below the store's own limit of a call. */
const MAX_APPEND_BYTES = 500_000;

/** Called when a record is stored. `sentAt` is the time (ms) at which its append was first sent. */
export type StoredListener = (sentAt: number) => void;

/** Records that are stored in one append. */
interface PendingRecords {
    readonly key: string;
    /** Called when the append is built, so that the newest state is written. */
    readonly build: () => readonly KeyedRecord[];
    readonly onStored: readonly StoredListener[];
}

/**
 * Appends the records of one producer in batches. Records written while an append is in flight wait for the next one,
 * and only the latest record of each key is kept.
 */
export class RecordWriter {
    private readonly machine: Machine<number, WriterState, WriterEvent, WriterGuard, WriterAction>;
    private pending = new Map<string, PendingRecords>();
    private batch: PendingRecords[] = [];
    private append: Append | undefined;
    private sequence = 0;
    private backoffMs = MIN_RETRY_BACKOFF_MS;
    private retryAt = 0;
    private batchSentAt = 0;
    /** Time (ms) of the latest failure. */
    private lastFailedAt = Number.NEGATIVE_INFINITY;

    /** Time (ms) of the first failure since the latest confirmed append, or since the store has answered other calls again. */
    firstFailedAt: number | undefined;

    private constructor(
        readonly name: string,
        private readonly stream: StreamName,
        private readonly producer: Producer,
        private readonly effects: EffectSink<RecordWriterEffect>,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                hasPending: () => this.pending.size > 0,
                hasNoAppend: () => this.append === undefined,
                isSentAfterFailure: sentAt => sentAt > this.lastFailedAt,
            },
            actions: {
                send: now => this.send(now),
                resend: () => this.emitAppend(),
                confirmBatch: () => this.confirmBatch(),
                requeue: () => this.requeue(),
                backOff: now => this.backOff(now),
                endFailure: () => this.endFailure(),
            },
        });
    }

    /**
     * @param name Writer name that answers carry.
     * @param stream Stream to append to.
     * @param producer Producer of the appends.
     * @param effects Receives the appends.
     * @param sequence Sequence number of the producer's latest append, if any.
     * @returns A writer without pending records.
     */
    static create(
        name: string,
        stream: StreamName,
        producer: Producer,
        effects: EffectSink<RecordWriterEffect>,
        sequence = 0,
    ): RecordWriter {
        const writer = new RecordWriter(name, stream, producer, effects);
        writer.sequence = sequence;
        return writer;
    }

    /** Whether the store has rejected an append; the writer then makes no further appends. */
    get isRejected(): boolean {
        return this.machine.state === "rejected";
    }

    /** Whether every record written so far is stored. */
    get isFlushed(): boolean {
        return this.machine.state === "idle" && this.pending.size === 0;
    }

    /**
     * Queues a record. It replaces a pending record with the same key.
     * @param key Key of the record.
     * @param value Returns the value when the append is built; `undefined` deletes the key.
     * @param onStored Called when the record is stored.
     */
    write(key: string, value: () => string | undefined, onStored?: StoredListener): void {
        this.writeTogether(key, () => [{ key, value: value() }], onStored);
    }

    /**
     * Queues records that are stored in one append, or none of them. They replace what is pending under the same name.
     * @param name Name of the records: the key of one of them.
     * @param build Returns the records when the append is built; at least one.
     * @param onStored Called once when the records are stored, also if it is queued twice.
     */
    writeTogether(name: string, build: () => readonly KeyedRecord[], onStored?: StoredListener): void {
        const earlier = this.pending.get(name)?.onStored ?? [];
        const added = onStored === undefined ? [] : [onStored];
        this.pending.set(name, { key: name, build, onStored: join(earlier, added) });
    }

    /**
     * Withdraws a record that is pending, that is, certainly not stored.
     * @param key Key of the record.
     * @returns Whether it was pending.
     */
    withdraw(key: string): boolean {
        return this.pending.delete(key);
    }

    /** Sends pending records if no append is in flight, and retries an append that is due. @param now Time in ms. */
    flush(now: number): void {
        this.machine.fire("flush", now);
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
        this.machine.fire("nothing-left", now);
    }

    /** Handles the store's answer. @param event The answer. @param now Time in ms. */
    handleAnswer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        if (event.sequence !== this.append?.sequence) {
            return;
        }
        if (event.result.ok) {
            this.machine.fire("stored", now);
        } else if (event.result.val === "not-done" || event.result.val === "unknown") {
            this.machine.fire(event.result.val, now);
        } else {
            this.machine.fire("reject", now);
        }
        this.flush(now);
    }

    /**
     * Handles that the store has answered another call: a writer that has nothing left to retry would not learn that it is back.
     * @param sentAt Time (ms) at which the call was sent.
     */
    handleStoreAnswer(sentAt: number): void {
        this.machine.fire("store-answered", sentAt);
    }

    private send(now: number): void {
        this.batch = [];
        const records: KeyedRecord[] = [];
        let bytes = 0;
        for (const each of [...this.pending.values()]) {
            const built = each.build();
            if (this.dropIfTooLarge(each, built)) {
                continue;
            }
            bytes += built.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0);
            if (records.length > 0 && bytes > MAX_APPEND_BYTES) {
                break;
            }
            this.batch.push(each);
            records.push(...built);
        }
        this.batch.forEach(each => this.pending.delete(each.key));
        if (records.length === 0) {
            return;
        }
        this.sequence += 1;
        this.batchSentAt = now;
        this.append = { producer: this.producer, sequence: this.sequence, records };
        this.emitAppend();
    }

    /** The store would reject each append with such a record, and the records behind it would wait for good. */
    private dropIfTooLarge({ key: name }: PendingRecords, built: readonly KeyedRecord[]): boolean {
        const tooLarge = built.find(isTooLarge);
        if (tooLarge !== undefined) {
            this.pending.delete(name);
            const { key } = tooLarge;
            this.effects.emit({ kind: "record-dropped", stream: this.stream, key, bytes: recordBytes(tooLarge) });
        }
        return tooLarge !== undefined;
    }

    private emitAppend(): void {
        this.effects.emit({ kind: "append", writer: this.name, stream: this.stream, append: this.append! });
    }

    private confirmBatch(): void {
        const { batch } = this;
        this.batch = [];
        this.append = undefined;
        this.endFailure();
        batch.forEach(each => each.onStored.forEach(listener => listener(this.batchSentAt)));
    }

    private requeue(): void {
        this.sequence -= 1;
        const newer = this.pending;
        this.pending = new Map(this.batch.map(each => [each.key, each]));
        this.batch = [];
        this.append = undefined;
        newer.forEach(each => {
            const earlier = this.pending.get(each.key)?.onStored ?? [];
            this.pending.set(each.key, { ...each, onStored: join(earlier, each.onStored) });
        });
    }

    private endFailure(): void {
        this.firstFailedAt = undefined;
        this.backoffMs = MIN_RETRY_BACKOFF_MS;
    }

    private backOff(now: number): void {
        this.firstFailedAt ??= now;
        this.lastFailedAt = now;
        this.retryAt = now + this.backoffMs;
        this.backoffMs = Math.min(this.backoffMs * 2, MAX_RETRY_BACKOFF_MS);
    }
}

function join(earlier: readonly StoredListener[], later: readonly StoredListener[]): StoredListener[] {
    return [...new Set([...earlier, ...later])];
}
