import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { EffectSink } from "../../base/common/effectSink";
import { Offset } from "../../services/common/logService";
import { LogEffect, LogEvent, PlacedBatch } from "../../services/common/logTraffic";
import { Emitter } from "../../base/common/emitter";
import { Appender, SettledListener, Withdrawal } from "./appender";
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

/** How long a read waits for the next record. */
export const READ_WAIT_MS = 1_000;

/** Pause before a failed read is tried again. */
const READ_RETRY_MS = 300;

/** Slack between a read's wait and the time after which its answer is overdue. */
const READ_OVERDUE_MS = 2_000;

/** A batch that the session applied, with whether the fold counted it. */
export interface AppliedBatch<Entry> {
    readonly placed: PlacedBatch<Entry>;
    readonly counted: boolean;
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
    private covered = Number.NEGATIVE_INFINITY;

    /** Fires for each batch that is applied. */
    readonly onDidApply = this.applied.event;

    private constructor(
        readonly stream: string,
        writer: string,
        fold: Fold<Entry>,
        from: Offset,
        private readonly outbox: EffectSink<LogEffect<Entry>>,
    ) {
        this.appender = Appender.create(stream, writer, outbox);
        this.replica = Replica.create(fold, from, (placed, counted) => this.apply(placed, counted));
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                readNext: now => this.readNext(now),
                backOff: now => (this.retryAt = now + READ_RETRY_MS),
            },
        });
    }

    /**
     * @param stream Name of the stream.
     * @param writer Names this incarnation of the process.
     * @param fold Fold in its empty state.
     * @param from Offset to begin reading at.
     * @param outbox Takes the effects.
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

    /** Whether the fold has a state at all. */
    get isReady(): boolean {
        return this.replica.state !== "seeking";
    }

    /** Whether the latest answer reached the head of the stream. */
    get isCurrent(): boolean {
        return this.replica.state === "current";
    }

    /** Time (ms) up to which everything appended is known to have been read. */
    get coveredUntil(): number {
        return this.covered;
    }

    /** Offset of the next record to read. */
    get next(): Offset {
        return this.replica.next;
    }

    /** Offset up to which the newest snapshot goes, if one was read. */
    get snapshotNext(): Offset | undefined {
        return this.replica.snapshotNext;
    }

    /** Whether appends fail at present. */
    get isAppendFailing(): boolean {
        return this.appender.isFailing;
    }

    /** Number of entries that are not yet durable. */
    get backlog(): number {
        return this.appender.backlog;
    }

    /** Begins to read. @param now Time in ms. */
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
     * @returns Whether there was room.
     */
    append(entry: Entry, onSettled?: SettledListener): boolean {
        return this.appender.append(entry, onSettled);
    }

    /** Takes an entry back if it has certainly not reached the log. */
    withdraw(entry: Entry): Withdrawal {
        return this.appender.withdraw(entry);
    }

    /** Sends what is queued. @param now Time in ms. */
    flush(now: number): void {
        this.appender.flush(now);
    }

    /** Tries a failed or overdue read again. @param now Time in ms. */
    tick(now: number): void {
        this.now = now;
        if (this.state === "reading" && now > this.readIssuedAt + READ_WAIT_MS + READ_OVERDUE_MS) {
            this.machine.fire("read-failed", now);
        }
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
    }

    /** @returns The state to hand to another reader. */
    image(): ReplicaImage | undefined {
        return this.replica.image();
    }

    /** Takes the state of another reader, if it is ahead. */
    offer(image: ReplicaImage): void {
        this.replica.offer(image);
    }

    /** Takes in an event of this stream. @param event The event. @param now Time in ms. */
    handle(event: LogEvent<Entry>, now: number): void {
        this.now = now;
        // An answer to a read that was given up covers less time than the current one would.
        if ("read" in event && event.read !== this.readNumber) {
            return;
        }
        switch (event.kind) {
            case "log-appended":
            case "log-append-failed":
                return this.appender.handle(event, now);
            case "log-read":
                if (event.next >= event.head) {
                    this.covered = this.readIssuedAt;
                }
                this.replica.read(event.from, event);
                this.machine.fire("page-read", now);
                return;
            case "log-truncated":
                this.replica.truncate(event.first);
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

    private apply(placed: PlacedBatch<Entry>, counted: boolean): void {
        this.appender.readBack(placed.batch, this.now);
        this.applied.fire({ placed, counted, now: this.now });
    }
}
