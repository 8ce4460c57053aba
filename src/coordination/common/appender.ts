import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { EffectSink } from "../../base/common/effectSink";
import { AppendResult, Batch, LogEffect } from "../../services/common/logEvents";
import chartText from "./append.chart.yaml";
import { MAX_BATCH_ENTRIES } from "./fold";

/** State of a writer's appends. */
export type AppendState = "idle" | "sending" | "waiting" | "unconfirmed" | "resending";
type AppendEvent = "flush" | "appended" | "refused" | "outcome-unknown" | "read-back" | "retry-due";
type AppendGuard = "hasPending";
type AppendAction = "send" | "confirm" | "requeue" | "backOff" | "resend";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<AppendState, AppendEvent, AppendGuard, AppendAction>(chartText, "append.chart.yaml", {
        states: ["idle", "sending", "waiting", "unconfirmed", "resending"],
        events: ["flush", "appended", "refused", "outcome-unknown", "read-back", "retry-due"],
        guards: ["hasPending"],
        actions: ["send", "confirm", "requeue", "backOff", "resend"],
    }),
);

/** Bounds of the exponential delay before an append is retried. */
const MIN_RETRY_BACKOFF_MS = 200;
const MAX_RETRY_BACKOFF_MS = 3_000;

/** Maximum number of entries queued for one stream; `append` refuses more. */
const MAX_PENDING_ENTRIES = 4_096;

/** Called when an entry is durable, with the time of the first attempt to append it (ms, the loop's clock). */
export type DurableListener = (firstSentAt: number) => void;

interface PendingEntry<Entry> {
    readonly entry: Entry;
    readonly onDurable: DurableListener | undefined;
}

/** Result of withdrawing an entry. */
export type Withdrawal = "withdrawn" | "may-be-durable";

/**
 * Appends entries to one stream in batches, each batch once. A batch whose reply was lost is sent again under the
 * same sequence number until it is acknowledged or read back.
 */
export class Appender<Entry> {
    private readonly machine: Machine<number, AppendState, AppendEvent, AppendGuard, AppendAction>;
    private pending: PendingEntry<Entry>[] = [];
    private inFlight: PendingEntry<Entry>[] = [];
    private sequence = 0;
    private firstSentAt = 0;
    private retryAt = 0;
    private failures = 0;

    private constructor(
        private readonly stream: string,
        private readonly writer: string,
        private readonly outbox: EffectSink<LogEffect<Entry>>,
    ) {
        this.machine = Machine.create(chart, {
            guards: { hasPending: () => this.pending.length > 0 },
            actions: {
                send: now => this.send(now),
                confirm: () => this.confirm(),
                requeue: () => this.requeue(),
                backOff: now => this.backOff(now),
                resend: () => this.sendInFlight(),
            },
        });
    }

    /**
     * @param stream Name of the stream.
     * @param writer Name of this incarnation of the process; no other incarnation may use it.
     * @param outbox Receives the effects.
     * @returns An appender with nothing queued.
     */
    static create<E>(stream: string, writer: string, outbox: EffectSink<LogEffect<E>>): Appender<E> {
        return new Appender(stream, writer, outbox);
    }

    /** State of the append in flight. */
    get state(): AppendState {
        return this.machine.state;
    }

    /** Whether the last append failed and none has succeeded since. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Number of entries that are not yet durable. */
    get backlog(): number {
        return this.pending.length + this.inFlight.length;
    }

    /**
     * Queues an entry.
     * @param entry The entry.
     * @param onDurable Called once the entry is durable.
     * @returns Whether the entry was queued; it is not when the queue is full.
     */
    append(entry: Entry, onDurable?: DurableListener): boolean {
        if (this.pending.length >= MAX_PENDING_ENTRIES) {
            return false;
        }
        this.pending.push({ entry, onDurable });
        return true;
    }

    /**
     * Withdraws a queued entry, if it has certainly not reached the log.
     * @param entry The entry that was queued.
     * @returns Whether it was withdrawn.
     */
    withdraw(entry: Entry): Withdrawal {
        const index = this.pending.findIndex(each => each.entry === entry);
        if (index < 0) {
            return "may-be-durable";
        }
        this.pending.splice(index, 1);
        return "withdrawn";
    }

    /** Sends queued entries, or retries the batch in flight when its retry is due. @param now Time in ms. */
    flush(now: number): void {
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
        this.machine.fire("flush", now);
    }

    /**
     * Handles the log's reply to an append. Replies to other writers are ignored.
     * @param event The reply.
     * @param now Time in ms.
     */
    handle(event: AppendResult, now: number): void {
        if (event.writer !== this.writer || event.stream !== this.stream) {
            return;
        }
        if (event.kind === "log-appended") {
            this.fire(event.sequence, "appended", now);
        } else {
            this.fire(event.sequence, event.certainty === "refused" ? "refused" : "outcome-unknown", now);
        }
    }

    /** Handles a batch that was read from the stream; if it is the one in flight, it is durable. */
    handleReadBack(batch: Batch<Entry>, now: number): void {
        if (batch.writer === this.writer) {
            this.fire(batch.sequence, "read-back", now);
        }
    }

    private fire(sequence: number, event: AppendEvent, now: number): void {
        if (sequence === this.sequence) {
            this.machine.fire(event, now);
        }
    }

    private send(now: number): void {
        this.inFlight = this.pending.splice(0, MAX_BATCH_ENTRIES);
        this.sequence += 1;
        this.firstSentAt = now;
        this.sendInFlight();
    }

    private sendInFlight(): void {
        const entries = this.inFlight.map(each => each.entry);
        const batch = { writer: this.writer, sequence: this.sequence, entries };
        this.outbox.emit({ kind: "log-append", stream: this.stream, batch });
    }

    private confirm(): void {
        const durable = this.inFlight;
        this.inFlight = [];
        this.failures = 0;
        durable.forEach(each => each.onDurable?.(this.firstSentAt));
    }

    private requeue(): void {
        this.pending.unshift(...this.inFlight);
        this.inFlight = [];
    }

    private backOff(now: number): void {
        this.failures += 1;
        this.retryAt = now + Math.min(MAX_RETRY_BACKOFF_MS, MIN_RETRY_BACKOFF_MS * 2 ** (this.failures - 1));
    }
}
