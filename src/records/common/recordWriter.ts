import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { KeyedRecord } from "./record";
import { Append, Producer, StreamName } from "./recordStore";
import { RecordEffect, RecordEvent } from "./recordTraffic";
import chartText from "./recordWriter.chart.yaml";

type WriterState = "idle" | "sending" | "waiting" | "unsettled" | "resending" | "rejected";
type WriterEvent = "flush" | "stored" | "not-done" | "unknown" | "retry-due" | "reject";
type WriterGuard = "hasPending";
type WriterAction = "send" | "resend" | "settle" | "requeue" | "backOff";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<WriterState, WriterEvent, WriterGuard, WriterAction>(chartText, "recordWriter.chart.yaml", {
        states: ["idle", "sending", "waiting", "unsettled", "resending", "rejected"],
        events: ["flush", "stored", "not-done", "unknown", "retry-due", "reject"],
        guards: ["hasPending"],
        actions: ["send", "resend", "settle", "requeue", "backOff"],
    }),
);

/** First and longest pause before an append is repeated, in ms: a small store outage costs one short pause. */
const FIRST_PAUSE_MS = 40;
const LONGEST_PAUSE_MS = 400;

/** Bytes of records in one append; well below what the store takes in one call. */
const APPEND_BYTES = 500_000;

/** Told that a record is stored. `sentAt` is the time (ms) at which the append was sent first. */
export type StoredListener = (sentAt: number) => void;

interface PendingRecord {
    readonly key: string;
    /** Called when the append is made, so that the newest state is written. */
    readonly value: () => string | undefined;
    readonly onStored: StoredListener[];
}

/**
 * Appends the records of one producer in groups: while one append is on its way, later records wait for the next.
 * Records that wait under the same key are merged.
 */
export class RecordWriter {
    private readonly machine: Machine<number, WriterState, WriterEvent, WriterGuard, WriterAction>;
    private pending = new Map<string, PendingRecord>();
    private batch: PendingRecord[] = [];
    private append: Append | undefined;
    private sequence = 0;
    private pauseMs = FIRST_PAUSE_MS;
    private retryAt = 0;
    private batchSentAt = 0;

    /** Time (ms) at which the latest confirmed append was sent, or `undefined` before the first. */
    confirmedAt: number | undefined;
    /** Time (ms) of the first failure since the latest confirmed append. */
    failingSince: number | undefined;

    private constructor(
        readonly name: string,
        private readonly stream: StreamName,
        private readonly producer: Producer,
        private readonly effects: EffectSink<RecordEffect>,
    ) {
        this.machine = Machine.create(chart, {
            guards: { hasPending: () => this.pending.size > 0 },
            actions: {
                send: now => this.send(now),
                resend: () => this.emitAppend(),
                settle: now => this.settle(now),
                requeue: () => this.requeue(),
                backOff: now => this.backOff(now),
            },
        });
    }

    /**
     * @param name Name that answers are addressed to.
     * @param stream Stream to append to.
     * @param producer Producer that the store knows the writer by.
     * @param effects Takes the appends.
     * @param sequence Number of the producer's latest append, if it has made one.
     * @returns A writer with nothing to write.
     */
    static create(
        name: string,
        stream: StreamName,
        producer: Producer,
        effects: EffectSink<RecordEffect>,
        sequence = 0,
    ): RecordWriter {
        const writer = new RecordWriter(name, stream, producer, effects);
        writer.sequence = sequence;
        return writer;
    }

    /** Whether the store has rejected the producer's epoch. */
    get isRejected(): boolean {
        return this.machine.state === "rejected";
    }

    /** Whether all that was written is stored. */
    get isSettled(): boolean {
        return this.machine.state === "idle" && this.pending.size === 0;
    }

    /**
     * Queues a record; one that waits under the same key is replaced.
     * @param key Key of the record.
     * @param value Gives the value when the append is made; `undefined` deletes the key.
     * @param onStored Told when the record is stored.
     */
    write(key: string, value: () => string | undefined, onStored?: StoredListener): void {
        const waiting = this.pending.get(key)?.onStored ?? [];
        const listeners = onStored === undefined ? waiting : [...waiting, onStored];
        this.pending.set(key, { key, value, onStored: listeners });
    }

    /**
     * Takes back a record that has certainly not been sent.
     * @param key Key of the record.
     * @returns Whether it was still waiting.
     */
    withdraw(key: string): boolean {
        return this.pending.delete(key);
    }

    /** Sends what waits if nothing is on its way, and repeats what is due. @param now Time in ms. */
    flush(now: number): void {
        this.machine.fire("flush", now);
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
    }

    /** Takes the store's answer. @param event The answer. @param now Time in ms. */
    answer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
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

    private send(now: number): void {
        this.batch = [];
        const records: KeyedRecord[] = [];
        let bytes = 0;
        for (const each of this.pending.values()) {
            const value = each.value();
            bytes += each.key.length + (value?.length ?? 0);
            if (records.length > 0 && bytes > APPEND_BYTES) {
                break;
            }
            this.batch.push(each);
            records.push({ key: each.key, value });
        }
        this.batch.forEach(each => this.pending.delete(each.key));
        this.sequence += 1;
        this.batchSentAt = now;
        this.append = { producer: this.producer, sequence: this.sequence, records };
        this.emitAppend();
    }

    private emitAppend(): void {
        this.effects.emit({ kind: "append", writer: this.name, stream: this.stream, append: this.append! });
    }

    private settle(_now: number): void {
        const { batch } = this;
        this.batch = [];
        this.append = undefined;
        this.confirmedAt = this.batchSentAt;
        this.failingSince = undefined;
        this.pauseMs = FIRST_PAUSE_MS;
        batch.forEach(each => each.onStored.forEach(listener => listener(this.batchSentAt)));
    }

    private requeue(): void {
        this.sequence -= 1;
        const later = this.pending;
        this.pending = new Map(this.batch.map(each => [each.key, each]));
        this.batch = [];
        this.append = undefined;
        later.forEach(each => {
            const earlier = this.pending.get(each.key)?.onStored ?? [];
            this.pending.set(each.key, { ...each, onStored: [...earlier, ...each.onStored] });
        });
    }

    private backOff(now: number): void {
        this.failingSince ??= now;
        this.retryAt = now + this.pauseMs;
        this.pauseMs = Math.min(this.pauseMs * 2, LONGEST_PAUSE_MS);
    }
}
