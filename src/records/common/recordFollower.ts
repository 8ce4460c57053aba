import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { ReadSlots } from "./readSlots";
import { RecordOffset, StoredRecord } from "./record";
import chartText from "./recordFollower.chart.yaml";
import { KEY_AFTER_ALL, PageTransfer, StreamName } from "./recordStore";
import { RecordEffect, RecordEvent } from "./recordEvents";

type FollowerState = "loading" | "following" | "pausing" | "checking" | "skipping";
type FollowerEvent =
    "page" | "last-page" | "records" | "truncated" | "failed" | "late" | "hasten" | "late-records" | "late-end";
type FollowerGuard = "isLarge" | "isFarBehind" | "hasLargeRecords" | "waitsForSlot" | "canSkip" | "isGap";
type FollowerAction =
    | "applyPage"
    | "applyRecords"
    | "finishLoad"
    | "markKnown"
    | "readNextPage"
    | "readMore"
    | "readEnd"
    | "checkEnd"
    | "checkEndNow"
    | "readNow"
    | "supersedeCheck"
    | "takeSlot"
    | "readOthers"
    | "readOthersNow"
    | "readMoreOthers"
    | "applyOthers"
    | "skipToLast"
    | "restart";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<FollowerState, FollowerEvent, FollowerGuard, FollowerAction>(
        chartText,
        "recordFollower.chart.yaml",
        {
            states: ["loading", "following", "pausing", "checking", "skipping"],
            events: [
                "page",
                "last-page",
                "records",
                "truncated",
                "failed",
                "late",
                "hasten",
                "late-records",
                "late-end",
            ],
            guards: ["isLarge", "isFarBehind", "hasLargeRecords", "waitsForSlot", "canSkip", "isGap"],
            actions: [
                "applyPage",
                "applyRecords",
                "finishLoad",
                "markKnown",
                "readNextPage",
                "readMore",
                "readEnd",
                "checkEnd",
                "checkEndNow",
                "readNow",
                "supersedeCheck",
                "takeSlot",
                "readOthers",
                "readOthersNow",
                "readMoreOthers",
                "applyOthers",
                "skipToLast",
                "restart",
            ],
        },
    ),
);

/** Delay before a failed read is retried. */
const RETRY_BACKOFF_MS = 150;

/**
 * Time after which a check of the end of the stream without an answer is repeated, in ms. Its answer is small, so it is repeated
 * sooner than a read.
 */
const CHECK_INTERVAL_MS = 600;

/** Limit of the earlier reads that are awaited beside the latest one: their pages use the link, too. */
const MAX_LATE_READS = 3;

/** Limit of the ends of a stream that are kept to tell the age of records. */
const MAX_MARKS = 4;

/** Receives the records of a stream. */
export abstract class RecordReceiver {
    /**
     * Applies one record. The same record may be applied more than once.
     * @param record The record.
     * @param writtenAfter Time (ms) after which it was certainly written, or `undefined` if it may be of any age.
     */
    abstract apply(record: StoredRecord, writtenAfter: number | undefined): void;

    /** Called after a complete load with the existing keys. All others have been deleted. */
    abstract retainKeys(keys: ReadonlySet<string>): void;

    /**
     * @returns Whether a record is complete, so that earlier ones of its key need not be read. All keys of its stream that matter
     * beside its own come after it in key order.
     */
    replacesAll(_record: StoredRecord): boolean {
        return false;
    }
}

/** Timing of a follower's reads. */
export interface ReadTiming {
    /** How long the store holds a read until there is a record, in ms. */
    readonly waitMs: number;
    /** Pause between two reads, in ms, so that one read returns several records. */
    readonly pauseMs: number;
    /**
     * Pause after a page of large records, in ms. Records that are replaced in this time are not read. Without it, every
     * record is read.
     */
    readonly largePauseMs?: number;
    /**
     * Times at which large records are read, instead of a pause of fixed length. In between, and until a page is small again, only
     * the end of the stream is asked for, at the interval of the wait. Without them, all readers read a large record at once.
     */
    readonly slots?: ReadSlots;
    /**
     * Time after which a read without an answer is sent again over another connection, in ms, beside its pause after a page of
     * large records. The first is still awaited, and at most three are. Without it, a response that stalls delays all later
     * records until it is given up. Of a stream with large records, only the end is asked for, again and again.
     */
    readonly repeatAfterMs?: number;
}

/** Size of a page, or of all pages of a load, in characters, from which it is large: reading it takes 10 ms at 50 Mbit/s. */
const LARGE_PAGE_LENGTH = 64_000;

type StoreAnswer = RecordEvent & { readonly kind: "read-answer" | "newest-answer" };

/** Loads the newest record of each key of one stream, then reads every record appended to it. */
export class RecordFollower {
    private readonly machine: Machine<
        StoreAnswer | undefined,
        FollowerState,
        FollowerEvent,
        FollowerGuard,
        FollowerAction
    >;
    /** End of the stream when its load began; the records appended since are read from here. */
    private followFrom: RecordOffset | undefined;
    /** Errors with which records of the answer that is being handled could not be applied. */
    private readonly errors: unknown[] = [];
    private loadedKeys = new Set<string>();
    /** Size of the pages of the load so far, in characters. */
    private loadedLength = 0;
    private lastKey: string | undefined;
    private nextPauseMs = 0;
    /** Time (ms) of the latest suspension. */
    private suspendedAt = Number.NEGATIVE_INFINITY;
    /** End of the stream at the time of a read that did not reach it, and when that read was sent. */
    private unreachedEnd: { readonly end: RecordOffset; readonly sentAt: number } | undefined;
    /** Time (ms) at which `tick` first saw the read in flight. */
    private waitingSince: number | undefined;
    /** Time after which the latest read is sent, in ms, if it asks for the end of the stream. */
    private endReadDelayMs = 0;
    /** Number of earlier reads that are not answered. */
    private lateReadCount = 0;
    /** Time (ms) at which the first page of the load was requested. */
    private loadSentAt: number | undefined;
    /** Time (ms) from which large records may be read next; `undefined` while the records are small. */
    private slotAt: number | undefined;
    /** Key of the latest records that were read, if they make all earlier ones of it needless. */
    private replacingKey: string | undefined;
    /** Offset from which the stream is read although earlier records were not. */
    private skippedTo: RecordOffset | undefined;
    /** Ends of the stream, and when they were asked for, oldest first. Records from there on were written later. */
    private marks: { readonly end: RecordOffset; readonly sentAt: number }[] = [];
    /** Time (ms) of the answer that is being handled. */
    private now = 0;

    /** Offset of the next record to be read. */
    nextOffset: RecordOffset = 0;
    /**
     * Time (ms) up to which all records are known: when the latest read was sent that reached the end of the stream. `undefined`
     * before the stream is loaded, and after a suspension until a later read is answered.
     */
    knownUntil: number | undefined;

    /** Time (ms) at which the latest read was sent that the store answered, whether it reached the end of the stream or not. */
    answeredSince = Number.NEGATIVE_INFINITY;

    /** How the latest page with records travelled, if it was measured. */
    transfer: PageTransfer | undefined;

    /** Whether the stream has been loaded once. */
    hasLoaded = false;

    /** Whether the latest read failed. */
    isFailing = false;

    private constructor(
        readonly stream: StreamName,
        private readonly receiver: RecordReceiver,
        private readonly readTiming: () => ReadTiming,
        private readonly effects: EffectSink<RecordEffect>,
        /** Number of the latest read. Its answer leads to the next read; answers to earlier reads do not. */
        private latestRead: number,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isLarge: answer => this.isLarge(answer!),
                isFarBehind: answer => answer!.result.unwrap().end > this.nextOffset + 1,
                hasLargeRecords: () => this.hasLargeRecords,
                waitsForSlot: answer => this.waitsForSlot(answer!),
                canSkip: answer => this.replacingKey !== undefined && answer!.result.unwrap().end > this.nextOffset + 1,
                isGap: answer => this.isGap(answer!),
            },
            actions: {
                applyPage: answer => this.applyPage(answer!),
                applyRecords: answer => this.applyRecords(answer!),
                finishLoad: () => this.finishLoad(),
                markKnown: answer => this.markKnown(answer!),
                readNextPage: () => this.emitPageRead(),
                readEnd: answer => this.emitEndRead(this.pauseMsAfter(answer!)),
                checkEnd: () => this.emitEndRead(RETRY_BACKOFF_MS),
                checkEndNow: () => this.emitEndReadNow(),
                readMore: () => this.emitRead(),
                readNow: () => this.emitReadNow(),
                supersedeCheck: () => this.supersedeCheck(),
                takeSlot: () => this.takeSlot(),
                readOthers: () => this.startReadOfOthers(),
                readOthersNow: () => this.readOthersNow(),
                readMoreOthers: () => this.emitPageRead(),
                applyOthers: answer => this.collectPage(answer!),
                skipToLast: () => this.skipToLast(),
                restart: () => this.start(),
            },
        });
    }

    /**
     * @param stream The stream.
     * @param receiver Applies the records.
     * @param readTiming Returns the timing of the next read.
     * @param effects Receives the reads.
     * @param latestRead Number of the latest read by an earlier follower of the stream, whose answers may still arrive.
     * @returns A follower that has not started to read.
     */
    static create(
        stream: StreamName,
        receiver: RecordReceiver,
        readTiming: () => ReadTiming,
        effects: EffectSink<RecordEffect>,
        latestRead = 0,
    ): RecordFollower {
        return new RecordFollower(stream, receiver, readTiming, effects, latestRead);
    }

    /** Whether the stream has been loaded. */
    get isLoaded(): boolean {
        return this.machine.state !== "loading";
    }

    /** Starts to load the stream. */
    start(): void {
        this.followFrom = undefined;
        this.loadSentAt = undefined;
        this.loadedKeys = new Set();
        this.loadedLength = 0;
        this.lastKey = undefined;
        this.emitPageRead();
    }

    /**
     * Handles a suspension of the process, during which the clock stood still: what was read before is older than it seems,
     * and the time up to which the records are known is open until a later read is answered.
     * @param now Time in ms.
     */
    handleSuspension(now: number): void {
        this.suspendedAt = now;
        this.knownUntil = undefined;
        this.unreachedEnd = undefined;
        this.marks = [];
    }

    /** Repeats a read that is not answered in time. @param now Time in ms. */
    tick(now: number): void {
        this.waitingSince ??= now;
        const { repeatAfterMs } = this.readTiming();
        if (repeatAfterMs === undefined) {
            return;
        }
        const waitMs = this.machine.state === "checking" ? Math.min(CHECK_INTERVAL_MS, repeatAfterMs) : repeatAfterMs;
        const isLate = now - this.waitingSince > waitMs + this.endReadDelayMs;
        if (isLate && this.lateReadCount < MAX_LATE_READS) {
            this.machine.fire("late", undefined);
        }
    }

    /**
     * Reads at once instead of at the end of the pause. The read that is due then is still sent, but its answer leads to no
     * further read. Does nothing during a load, or while as many reads are awaited as may be.
     */
    hasten(): void {
        if (this.lateReadCount < MAX_LATE_READS) {
            this.machine.fire("hasten", undefined);
        }
    }

    /**
     * Handles the answer to a read of this stream.
     * @param answer The answer.
     * @param now Time in ms.
     * @throws The first error with which a record could not be applied, after all others were applied.
     */
    handleAnswer(answer: StoreAnswer, now: number): void {
        this.now = now;
        this.processAnswer(answer);
        const errors = this.errors.splice(0);
        if (errors.length > 0) {
            throw errors[0];
        }
    }

    private processAnswer(answer: StoreAnswer): void {
        if (answer.result.ok) {
            this.answeredSince = Math.max(this.answeredSince, answer.sentAt);
        }
        if (answer.number !== this.latestRead) {
            this.handleLateAnswer(answer);
            return;
        }
        this.waitingSince = undefined;
        this.recordOutcome(answer.result.ok);
        if (!answer.result.ok) {
            this.machine.fire(answer.result.val === "truncated" ? "truncated" : "failed", answer);
        } else if (answer.kind === "read-answer") {
            this.machine.fire("records", answer);
        } else {
            const { hasMore } = answer.result.val as { hasMore: boolean };
            this.machine.fire(hasMore ? "page" : "last-page", answer);
        }
    }

    private recordOutcome(isAnswered: boolean): void {
        this.isFailing = !isAnswered;
        this.nextPauseMs = isAnswered ? this.readTiming().pauseMs : RETRY_BACKOFF_MS;
    }

    /** An error must not keep the later records from being applied, or the next read from being sent. */
    private apply(record: StoredRecord, writtenAfter: number | undefined): void {
        try {
            this.receiver.apply(record, writtenAfter);
        } catch (error) {
            this.errors.push(error);
        }
    }

    private handleLateAnswer(answer: StoreAnswer): void {
        this.lateReadCount -= 1;
        if (answer.result.ok) {
            // Pages of a load are not repeated, so a late answer without records is that to a check of the end.
            this.machine.fire(answer.kind === "read-answer" ? "late-records" : "late-end", answer);
        }
    }

    /** An earlier check was answered, so the latest one is superseded. */
    private supersedeCheck(): void {
        this.supersedeRead();
        this.recordOutcome(true);
    }

    /** The latest read becomes one of the earlier reads. */
    private supersedeRead(): void {
        this.lateReadCount += 1;
        this.waitingSince = undefined;
    }

    private applyPage(answer: StoreAnswer): void {
        this.loadSentAt ??= answer.sentAt;
        this.collectPage(answer);
        this.updateSlot(answer);
        this.loadedLength += lengthOf(answer);
    }

    private collectPage(answer: StoreAnswer): void {
        const { records, end, transfer } = answer.result.unwrap();
        this.transfer = transfer;
        this.followFrom ??= end;
        for (const record of records) {
            this.loadedKeys.add(record.key);
            this.lastKey = record.key;
            this.apply(record, this.marks.findLast(mark => mark.end <= record.offset)?.sentAt);
        }
    }

    /** Reads the newest records of all keys but that of the large ones, of which only the last is read afterwards. */
    private startReadOfOthers(): void {
        this.followFrom = undefined;
        this.loadedKeys = new Set([this.replacingKey!]);
        this.lastKey = this.replacingKey;
        this.emitPageRead();
    }

    private readOthersNow(): void {
        this.supersedeRead();
        this.startReadOfOthers();
    }

    /** The other records are known as of the end of the stream then; the last one before it should replace all that were skipped. */
    private skipToLast(): void {
        this.receiver.retainKeys(this.loadedKeys);
        this.loadedKeys = new Set();
        this.skippedTo = this.followFrom! - 1;
        this.nextOffset = this.skippedTo;
    }

    private finishLoad(): void {
        this.receiver.retainKeys(this.loadedKeys);
        this.loadedKeys = new Set();
        this.hasLoaded = true;
        this.nextOffset = this.followFrom!;
        this.unreachedEnd = undefined;
        this.skippedTo = undefined;
        // Pages are no snapshot: a record of a key before the latest page may have been appended since the first one.
        this.updateKnownUntil(this.loadSentAt!);
    }

    private applyRecords(answer: StoreAnswer): void {
        const { records, end, transfer } = answer.result.unwrap();
        this.transfer = transfer;
        this.updateSlot(answer);
        for (const record of records) {
            if (record.offset >= this.nextOffset) {
                // All earlier records were known by then.
                this.apply(record, this.knownUntil);
                this.nextOffset = record.offset + 1;
                this.skippedTo = undefined;
            }
        }
        if (this.nextOffset >= end) {
            this.updateKnownUntil(answer.sentAt);
            this.unreachedEnd = undefined;
            return;
        }
        // The store limits the size of a page. The records after it may be older than the read.
        if (this.unreachedEnd !== undefined && this.nextOffset >= this.unreachedEnd.end) {
            this.updateKnownUntil(this.unreachedEnd.sentAt);
            this.unreachedEnd = undefined;
        }
        this.unreachedEnd ??= { end, sentAt: answer.sentAt };
    }

    /** Whether the next record may be large: a stream with slots only has large pages while its latest one was large. */
    private get hasLargeRecords(): boolean {
        return this.readTiming().largePauseMs !== undefined || this.slotAt !== undefined;
    }

    private isLarge(answer: StoreAnswer): boolean {
        const { largePauseMs, slots } = this.readTiming();
        const isPaced = largePauseMs !== undefined || slots !== undefined;
        const earlierLength = answer.kind === "newest-answer" ? this.loadedLength : 0;
        return isPaced && earlierLength + lengthOf(answer) >= LARGE_PAGE_LENGTH;
    }

    /**
     * Whether nothing is to be read after a check of the end: there is nothing new, or it is not yet time for it. After a suspension, the
     * records are read at once.
     */
    private waitsForSlot({ sentAt, result }: StoreAnswer): boolean {
        const { slotAt } = this;
        if (this.readTiming().slots === undefined || slotAt === undefined) {
            return false;
        }
        return result.unwrap().end <= this.nextOffset || (sentAt < slotAt && this.knownUntil !== undefined);
    }

    /** Whether the record that was read after others had been skipped does not replace them. */
    private isGap(answer: StoreAnswer): boolean {
        const record = answer.result.unwrap().records.find(({ offset }) => offset === this.skippedTo);
        return record !== undefined && !this.receiver.replacesAll(record);
    }

    /** The read that follows uses the present slot, however long it takes. */
    private takeSlot(): void {
        this.slotAt = this.slotAt === undefined ? undefined : this.readTiming().slots?.after(this.now);
    }

    /** After a large page, the next ones are read in slots. */
    private updateSlot(answer: StoreAnswer): void {
        const { records } = answer.result.unwrap();
        if (records.length === 0) {
            return;
        }
        const { slots } = this.readTiming();
        this.replacingKey = records.findLast(record => this.receiver.replacesAll(record))?.key;
        const isAhead = this.slotAt !== undefined && this.slotAt > this.now;
        this.slotAt = this.isLarge(answer) ? (isAhead ? this.slotAt : slots?.after(this.now)) : undefined;
    }

    /** @param answer The latest answer. @returns Time until the end of the stream is asked for, in ms. */
    private pauseMsAfter({ sentAt }: StoreAnswer): number {
        const { largePauseMs, slots, waitMs } = this.readTiming();
        if (slots === undefined || this.slotAt === undefined) {
            return largePauseMs ?? 0;
        }
        if (this.slotAt <= sentAt) {
            this.slotAt = slots.after(this.now);
        }
        return Math.max(0, Math.min(waitMs, this.slotAt - this.now));
    }

    /** All records are known if the page reached the end of the stream; the others are read next. */
    private markKnown(answer: StoreAnswer): void {
        const { end } = answer.result.unwrap();
        if (end <= this.nextOffset) {
            this.updateKnownUntil(answer.sentAt);
        }
        if (answer.sentAt > this.suspendedAt && this.readTiming().slots !== undefined) {
            this.marks = [...this.marks, { end, sentAt: answer.sentAt }].slice(-MAX_MARKS);
        }
    }

    /** A late answer may follow that to a later read. */
    private updateKnownUntil(sentAt: number): void {
        if (sentAt > this.suspendedAt) {
            this.knownUntil = Math.max(this.knownUntil ?? Number.NEGATIVE_INFINITY, sentAt);
        }
    }

    private emitEndRead(delayMs: number): void {
        const number = this.nextReadNumber();
        this.endReadDelayMs = delayMs;
        this.effects.emit({ kind: "read-newest", stream: this.stream, number, after: KEY_AFTER_ALL, delayMs });
    }

    private emitPageRead(): void {
        this.effects.emit({
            kind: "read-newest",
            stream: this.stream,
            number: this.nextReadNumber(),
            after: this.lastKey,
            delayMs: this.nextPauseMs === RETRY_BACKOFF_MS ? RETRY_BACKOFF_MS : 0,
        });
    }

    private emitEndReadNow(): void {
        this.supersedeRead();
        this.emitEndRead(0);
    }

    private emitReadNow(): void {
        this.supersedeRead();
        const number = this.nextReadNumber();
        this.effects.emit({ kind: "read", stream: this.stream, number, from: this.nextOffset, waitMs: 0, delayMs: 0 });
    }

    private nextReadNumber(): number {
        this.latestRead += 1;
        this.endReadDelayMs = 0;
        return this.latestRead;
    }

    private emitRead(): void {
        this.effects.emit({
            kind: "read",
            stream: this.stream,
            number: this.nextReadNumber(),
            from: this.nextOffset,
            waitMs: this.readTiming().waitMs,
            delayMs: this.nextPauseMs,
        });
    }
}

/** @returns Size of the records of a page, in characters. */
function lengthOf(answer: StoreAnswer): number {
    return answer.result.unwrap().records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}
