import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { RecordOffset, StoredRecord } from "./record";
import chartText from "./recordFollower.chart.yaml";
import { StreamName } from "./recordStore";
import { RecordEffect, RecordEvent } from "./recordTraffic";

type FollowerState = "loading" | "following";
type FollowerEvent = "page" | "last-page" | "records" | "truncated" | "failed";
type FollowerAction = "takeNewest" | "takeRecords" | "finishLoad" | "readNextPage" | "readOn" | "restart";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<FollowerState, FollowerEvent, never, FollowerAction>(chartText, "recordFollower.chart.yaml", {
        states: ["loading", "following"],
        events: ["page", "last-page", "records", "truncated", "failed"],
        guards: [],
        actions: ["takeNewest", "takeRecords", "finishLoad", "readNextPage", "readOn", "restart"],
    }),
);

/** Pause after a read that failed, in ms. */
const RETRY_PAUSE_MS = 150;

/** Receives the records of a stream. */
export abstract class RecordReceiver {
    /** Takes one record; the same one may come again. */
    abstract take(record: StoredRecord): void;

    /** Told after a complete load which keys exist; all others have been deleted. */
    abstract retain(keys: ReadonlySet<string>): void;
}

/** How a follower reads. */
export interface FollowPace {
    /** How long a read waits for a record, in ms. */
    readonly waitMs: number;
    /** Pause between two reads, in ms, over which records are collected. */
    readonly pauseMs: number;
}

type StoreAnswer = RecordEvent & { readonly kind: "read-answer" | "newest-answer" };

/** Follows one stream. */
export class RecordFollower {
    private readonly machine: Machine<StoreAnswer | undefined, FollowerState, FollowerEvent, never, FollowerAction>;
    private resumeAt: RecordOffset | undefined;
    private loadedKeys = new Set<string>();
    private lastKey: string | undefined;
    private pauseNext = 0;

    /** Offset of the next record to be read. */
    position: RecordOffset = 0;
    /** Time (ms) up to which all records are known: when the latest good read was sent. */
    knownUntil: number | undefined;

    /** Whether the latest read failed. */
    isFailing = false;

    private constructor(
        readonly stream: StreamName,
        private readonly receiver: RecordReceiver,
        private readonly pace: () => FollowPace,
        private readonly effects: EffectSink<RecordEffect>,
    ) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                takeNewest: answer => this.takeNewest(answer!),
                takeRecords: answer => this.takeRecords(answer!),
                finishLoad: answer => this.finishLoad(answer!),
                readNextPage: () => this.emitNewest(),
                readOn: () => this.emitRead(),
                restart: () => this.start(),
            },
        });
    }

    /**
     * @param stream The stream.
     * @param receiver Takes the records.
     * @param pace How to read, asked before each read.
     * @param effects Takes the reads.
     * @returns A follower that has read nothing yet.
     */
    static create(
        stream: StreamName,
        receiver: RecordReceiver,
        pace: () => FollowPace,
        effects: EffectSink<RecordEffect>,
    ): RecordFollower {
        return new RecordFollower(stream, receiver, pace, effects);
    }

    /** Whether the stream has been loaded. */
    get isLoaded(): boolean {
        return this.machine.state === "following";
    }

    /** Begins to load the stream. */
    start(): void {
        this.resumeAt = undefined;
        this.loadedKeys = new Set();
        this.lastKey = undefined;
        this.emitNewest();
    }

    /** Takes an answer to a read of this stream. */
    answer(answer: StoreAnswer): void {
        this.isFailing = !answer.result.ok;
        this.pauseNext = answer.result.ok ? this.pace().pauseMs : RETRY_PAUSE_MS;
        if (!answer.result.ok) {
            this.machine.fire(answer.result.val === "truncated" ? "truncated" : "failed", answer);
        } else if (answer.kind === "read-answer") {
            this.machine.fire("records", answer);
        } else {
            const { hasMore } = answer.result.val as { hasMore: boolean };
            this.machine.fire(hasMore ? "page" : "last-page", answer);
        }
    }

    private takeNewest(answer: StoreAnswer): void {
        const { records, end } = answer.result.unwrap();
        this.resumeAt ??= end;
        for (const record of records) {
            this.loadedKeys.add(record.key);
            this.lastKey = record.key;
            this.receiver.take(record);
        }
    }

    private finishLoad(answer: StoreAnswer): void {
        this.receiver.retain(this.loadedKeys);
        this.loadedKeys = new Set();
        this.position = this.resumeAt!;
        this.knownUntil = answer.sentAt;
    }

    private takeRecords(answer: StoreAnswer): void {
        const { records } = answer.result.unwrap();
        for (const record of records) {
            this.receiver.take(record);
            this.position = record.offset + 1;
        }
        this.knownUntil = answer.sentAt;
    }

    private emitNewest(): void {
        this.effects.emit({
            kind: "read-newest",
            stream: this.stream,
            after: this.lastKey,
            delayMs: this.pauseNext === RETRY_PAUSE_MS ? RETRY_PAUSE_MS : 0,
        });
    }

    private emitRead(): void {
        this.effects.emit({
            kind: "read",
            stream: this.stream,
            from: this.position,
            waitMs: this.pace().waitMs,
            delayMs: this.pauseNext,
        });
    }
}
