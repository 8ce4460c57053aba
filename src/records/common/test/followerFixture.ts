import { Err, Ok, Result } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordOffset, StoredRecord } from "../record";
import { NewestPage, ReadError, RecordPage } from "../recordStore";
import { RecordEffect } from "../recordEvents";
import { ReadTiming, RecordFollower, RecordReceiver } from "../recordFollower";

export const LARGE_VALUE = "x".repeat(200_000);
export const LARGE_PAUSE_MS = 800;

/** Timing of a stream with large records whose late reads are repeated. */
export const LARGE_TIMING: ReadTiming = { waitMs: 400, pauseMs: 0, largePauseMs: LARGE_PAUSE_MS, repeatAfterMs: 600 };

/** @returns The reads as text: whether they ask for records or for the end, and their delays in ms. */
export function describe(reads: readonly SentRead[]): string[] {
    return reads.map(({ effect }) => (effect.kind === "append" ? effect.kind : `${effect.kind} ${effect.delayMs}`));
}

/** Collects the records of a stream. */
export class Collector extends RecordReceiver {
    readonly values: (string | undefined)[] = [];
    /** Times (ms) after which they were written. */
    readonly writtenAfter: (number | undefined)[] = [];
    /** Value of the records that cannot be applied. */
    rejected: string | undefined;

    override apply(record: StoredRecord, writtenAfter: number | undefined): void {
        if (record.value !== undefined && record.value === this.rejected) {
            throw new Error(record.value);
        }
        this.values.push(record.value);
        this.writtenAfter.push(writtenAfter);
    }

    /** Keys that existed at the latest load. */
    retained: ReadonlySet<string> = new Set();

    override retainKeys(keys: ReadonlySet<string>): void {
        this.retained = keys;
    }

    /** Key of the records that make all earlier ones needless. */
    replacingKey: string | undefined;

    override replacesAll({ key }: StoredRecord): boolean {
        return key === this.replacingKey;
    }
}

/** A read, and the time (ms) at which it was sent. */
export interface SentRead {
    readonly effect: RecordEffect;
    readonly sentAt: number;
}

/** @returns Number of a read. */
export function numberOf(read: RecordEffect): number {
    return read.kind === "append" ? 0 : read.number;
}

/** The stream of a store in memory. */
export interface FollowedLog {
    readonly end: RecordOffset;
    store(key: string, value: string | undefined): void;
    read(from: RecordOffset): Result<RecordPage, ReadError>;
    newest(after: string | undefined): Result<NewestPage, ReadError>;
}

/** Follows a stream; each step answers the follower's read. */
export class FollowerFixture<Log extends FollowedLog> {
    readonly collector = new Collector();
    readonly follower: RecordFollower;
    private readonly outbox = Outbox.create<RecordEffect>();
    private now = 0;
    /** Largest number of records in the answer to a read. */
    maxPageRecords = Number.POSITIVE_INFINITY;

    constructor(
        readonly log: Log,
        timing: ReadTiming | (() => ReadTiming),
    ) {
        log.store("config", "first");
        const readTiming = typeof timing === "function" ? timing : () => timing;
        this.follower = RecordFollower.create("operator", this.collector, readTiming, this.outbox);
        this.follower.start();
    }

    /** @returns The reads that were sent since the latest call. */
    take(): SentRead[] {
        const effects = this.outbox.drain();
        this.now += 10;
        return effects.map(effect => ({ effect, sentAt: this.now }));
    }

    /** Answers a read with the records that there are now. */
    answer({ effect, sentAt }: SentRead): void {
        const result = this.log.read(effect.kind === "read" ? effect.from : 0);
        const number = numberOf(effect);
        this.follower.handleAnswer({ kind: "read-answer", stream: "operator", number, sentAt, result }, this.now);
    }

    /** Answers a read of the end of the stream with the end that there is now. */
    answerEnd({ effect, sentAt }: SentRead): void {
        const result = this.log.newest(effect.kind === "read-newest" ? effect.after : undefined);
        const number = numberOf(effect);
        this.follower.handleAnswer({ kind: "newest-answer", stream: "operator", number, sentAt, result }, this.now);
    }

    /** Lets a read fail. */
    fail({ effect, sentAt }: SentRead): void {
        const kind = effect.kind === "read" ? "read-answer" : "newest-answer";
        const result = Err("unavailable" as const);
        this.follower.handleAnswer({ kind, stream: "operator", number: numberOf(effect), sentAt, result }, this.now);
    }

    /** Advances the time. @param ms By how much, in ms. */
    tickFor(ms: number): void {
        for (const until = this.now + ms; this.now < until; this.now += 25) {
            this.follower.tick(this.now);
        }
    }

    /** Time (ms) at which the latest read was sent. */
    get sentAt(): number {
        return this.now;
    }

    /** Answers the read in flight with a page that is not the last one. @param count Number of its records. */
    stepPartially(count: number): void {
        const [effect] = this.outbox.drain();
        this.now += 10;
        const page = this.log.read(effect.kind === "read" ? effect.from : 0).unwrap();
        const result = Ok({ ...page, records: page.records.slice(0, count) });
        const number = numberOf(effect);
        this.follower.handleAnswer(
            { kind: "read-answer", stream: "operator", number, sentAt: this.now, result },
            this.now,
        );
    }

    /** Answers the read in flight. @param ageMs How long ago it was sent, in ms. @returns The read. */
    step(ageMs = 0): RecordEffect {
        const [effect] = this.outbox.drain();
        this.now += 10;
        const base = { stream: "operator" as const, number: numberOf(effect), sentAt: this.now - ageMs };
        if (effect.kind === "read") {
            const result = this.log.read(effect.from).map(({ records, end }) => ({
                records: records.slice(0, this.maxPageRecords),
                end,
            }));
            this.follower.handleAnswer({ kind: "read-answer", ...base, result }, this.now);
        } else if (effect.kind === "read-newest") {
            this.follower.handleAnswer(
                { kind: "newest-answer", ...base, result: this.log.newest(effect.after) },
                this.now,
            );
        }
        return effect;
    }

    suspend(): void {
        this.follower.handleSuspension(this.now);
    }
}
