import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { EffectSink } from "../../base/common/effectSink";
import { Offset } from "../../services/common/logService";
import { LogEffect, LogEvent, PlacedBatch } from "../../services/common/logEvents";
import { Emitter } from "../../base/common/emitter";
import { Appender, DurableListener, Withdrawal } from "./appender";
import { Fold } from "./fold";
import chartText from "./logSession.chart.yaml";
import { Replica, ReplicaImage } from "./replica";

/** State of a reader's connection. */
export type LogSessionState = "closed" | "reading" | "down";
type LogSessionEvent = "open" | "page-read" | "read-failed" | "retry-due" | "close";
type LogSessionAction = "readNext" | "backOff";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LogSessionState, LogSessionEvent, never, LogSessionAction>(chartText, "logSession.chart.yaml", {
        states: ["closed", "reading", "down"],
        events: ["open", "page-read", "read-failed", "retry-due", "close"],
        guards: [],
        actions: ["readNext", "backOff"],
    }),
);

/** Maximum time for which a read waits for the next record. */
export const READ_WAIT_MS = 1_000;

/** Delay before a failed read is retried. */
const READ_BACKOFF_MS = 300;

/** Time beyond a read's wait after which the read has timed out. */
const READ_TIMEOUT_MARGIN_MS = 2_000;

/** A batch that was passed to the fold, with whether the fold applied it; a repeated batch is not applied. */
export interface AppliedBatch<Entry> {
    readonly placed: PlacedBatch<Entry>;
    readonly isNew: boolean;
    readonly now: number;
}

/** Reads one stream into a fold and appends to it. */
export class LogSession<Entry extends { readonly kind: string }> {
    private readonly machine: Machine<number, LogSessionState, LogSessionEvent, never, LogSessionAction>;
    private readonly replica: Replica<Entry>;
    private readonly appender: Appender<Entry>;
    private readonly applied = Emitter.create<AppliedBatch<Entry>>();
    private now = 0;
    private readIssuedAt = 0;
    private readNumber = 0;
    private retryAt = 0;
    private readCompleteUntil = Number.NEGATIVE_INFINITY;

    /** Fires for each batch that was passed to the fold. */
    readonly onDidApply = this.applied.event;

    private constructor(
        readonly stream: string,
        writer: string,
        fold: Fold<Entry>,
        from: Offset,
        private readonly outbox: EffectSink<LogEffect<Entry>>,
    ) {
        this.appender = Appender.create(stream, writer, outbox);
        this.replica = Replica.create(fold, from, (placed, isNew) => this.handleBatch(placed, isNew));
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                readNext: now => this.readNext(now),
                backOff: now => (this.retryAt = now + READ_BACKOFF_MS),
            },
        });
    }

    /**
     * @param stream Name of the stream.
     * @param writer Name of this incarnation of the process.
     * @param fold Fold in its empty state.
     * @param from Offset of the first record to read.
     * @param outbox Receives the effects.
     * @returns A closed session.
     */
    static create<E extends { readonly kind: string }>(
        stream: string,
        writer: string,
        fold: Fold<E>,
        from: Offset,
        outbox: EffectSink<LogEffect<E>>,
    ): LogSession<E> {
        return new LogSession(stream, writer, fold, from, outbox);
    }

    /** State of the connection. */
    get state(): LogSessionState {
        return this.machine.state;
    }

    /** Whether the fold has a usable state, possibly behind the head of the stream. */
    get isReady(): boolean {
        return this.replica.state !== "bootstrapping";
    }

    /** Whether the latest page read reached the head of the stream. */
    get isCurrent(): boolean {
        return this.replica.state === "current";
    }

    /** Time (ms) up to which all appended records are known to have been read. */
    get coveredUntil(): number {
        return this.readCompleteUntil;
    }

    /** Offset of the next record to read. */
    get next(): Offset {
        return this.replica.next;
    }

    /** Offset after the last record that the newest snapshot includes; `undefined` if none was read. */
    get snapshotNext(): Offset | undefined {
        return this.replica.snapshotNext;
    }

    /** Whether the last append failed. */
    get isAppendFailing(): boolean {
        return this.appender.isFailing;
    }

    /** Number of entries that are not yet durable. */
    get backlog(): number {
        return this.appender.backlog;
    }

    /** Starts reading. @param now Time in ms. */
    open(now: number): void {
        this.now = now;
        this.machine.fire("open", now);
    }

    /** Stops reading. @param now Time in ms. */
    close(now: number): void {
        this.machine.fire("close", now);
    }

    /**
     * Queues an entry for the next flush.
     * @returns Whether the entry was queued; it is not when the queue is full.
     */
    append(entry: Entry, onDurable?: DurableListener): boolean {
        return this.appender.append(entry, onDurable);
    }

    /** Withdraws a queued entry if it has certainly not reached the log. */
    withdraw(entry: Entry): Withdrawal {
        return this.appender.withdraw(entry);
    }

    /** Sends queued entries. @param now Time in ms. */
    flush(now: number): void {
        this.appender.flush(now);
    }

    /** Retries a read that failed or timed out. @param now Time in ms. */
    tick(now: number): void {
        this.now = now;
        if (this.state === "reading" && now > this.readIssuedAt + READ_WAIT_MS + READ_TIMEOUT_MARGIN_MS) {
            this.machine.fire("read-failed", now);
        }
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
    }

    /** @returns The state, for another reader; `undefined` before there is one. */
    image(): ReplicaImage | undefined {
        return this.replica.image();
    }

    /** Installs the state of another reader, if it is ahead. */
    installIfAhead(image: ReplicaImage): void {
        this.replica.installIfAhead(image);
    }

    /** Handles an event of this stream. @param event The event. @param now Time in ms. */
    handle(event: LogEvent<Entry>, now: number): void {
        this.now = now;
        // A reply to an abandoned read is dropped; it covers less time than the current read will.
        if ("read" in event && event.read !== this.readNumber) {
            return;
        }
        switch (event.kind) {
            case "log-appended":
            case "log-append-failed":
                return this.appender.handle(event, now);
            case "log-read":
                if (event.next >= event.head) {
                    this.readCompleteUntil = this.readIssuedAt;
                }
                this.replica.handlePage(event.from, event);
                this.machine.fire("page-read", now);
                return;
            case "log-truncated":
                this.replica.handleTruncation(event.first);
                this.machine.fire("page-read", now);
                return;
            case "log-read-failed":
                this.machine.fire("read-failed", now);
        }
    }

    private readNext(now: number): void {
        this.readIssuedAt = now;
        this.readNumber += 1;
        this.outbox.emit({
            kind: "log-read-next",
            stream: this.stream,
            read: this.readNumber,
            from: this.replica.next,
            waitMs: READ_WAIT_MS,
        });
    }

    private handleBatch(placed: PlacedBatch<Entry>, isNew: boolean): void {
        this.appender.handleReadBack(placed.batch, this.now);
        this.applied.fire({ placed, isNew, now: this.now });
    }
}
