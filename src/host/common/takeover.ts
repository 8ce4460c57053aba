import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Disposable } from "../../base/common/disposable";
import { EffectSink } from "../../base/common/effectSink";
import { Emitter } from "../../base/common/emitter";
import { Machine } from "../../base/common/machine";
import { InterferenceRow } from "../../dispatch/common/placement/latencyModel";
import { decodeLatencyModel, LATENCY_MODEL_KEY } from "../../dispatch/common/placement/latencyModelRecord";
import { Scheduler } from "../../dispatch/common/scheduler/scheduler";
import { Warmup } from "../../handover/common/warmup";
import { ProgressTable } from "../../jobs/common/progressTable";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { LoadReceiver, RecordLoader } from "../../records/common/recordLoader";
import { RecordEvent, RecordWriterEffect } from "../../records/common/recordEvents";
import { RecordWriter } from "../../records/common/recordWriter";
import { ProgressStream } from "../../records/common/recordStore";
import { leaderProducer, progressStream } from "../../records/common/shardNames";
import chartText from "./takeover.chart.yaml";

type TakeoverState = "fencing" | "loading" | "catching-up" | "restoring" | "leading";
type TakeoverEvent = "fenced" | "loaded" | "turn" | "restored";
type TakeoverGuard = "isCaughtUp";
type TakeoverAction = "load" | "reportLoaded" | "prepare" | "restoreSlice" | "begin";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<TakeoverState, TakeoverEvent, TakeoverGuard, TakeoverAction>(chartText, "takeover.chart.yaml", {
        states: ["fencing", "loading", "catching-up", "restoring", "leading"],
        events: ["fenced", "loaded", "turn", "restored"],
        guards: ["isCaughtUp"],
        actions: ["load", "reportLoaded", "prepare", "restoreSlice", "begin"],
    }),
);

/** Key of the record that fences the former leader. */
const EPOCH_KEY = "epoch";

/** Tasks that are restored in one turn of the loop: 60 to 120 ms of an instance with a quarter of a core. */
const MAX_TASKS_PER_SLICE = 200;

/** Schedules once its jobs are restored; see `Scheduler`. */
export type RestoredScheduler = Pick<Scheduler, "isRestored" | "restore" | "dispose">;

/** The progress that an instance has followed before it took over. */
export type FollowedProgress = Pick<Warmup, "hasRead" | "records" | "review">;

/** What a takeover begins with. */
export interface TakeoverStart {
    /** Progress that was followed while the former leader led; it is loaded if undefined. */
    readonly followed?: FollowedProgress;
    /** Number above which reads of the progress are counted. */
    readonly latestRead?: number;
}

/** Host of a takeover. */
export abstract class TakeoverHost {
    /** Whether every record before the claim is read. */
    abstract get isCaughtUp(): boolean;

    /** @returns The scheduler of the new epoch, without jobs. */
    abstract prepare(takeover: Takeover): RestoredScheduler;

    /** Called when the jobs are restored. @param tookMs Time since this instance read its claim, in ms. */
    abstract begin(tookMs: number): void;
}

/**
 * Takes over from former leaders: fences them, loads the progress of all jobs and restores the jobs. Its first append fences
 * the former leader, so the progress no longer changes while it is read.
 */
export class Takeover implements Disposable {
    private readonly machine: Machine<number, TakeoverState, TakeoverEvent, TakeoverGuard, TakeoverAction>;
    /** Stream of the progress. */
    readonly stream: ProgressStream;
    /** Writes progress for the new leader. */
    readonly writer: RecordWriter;
    readonly progress = ProgressTable.create();
    /** Interference that the former leader estimated, for pairs of images. */
    learnedInterference: readonly InterferenceRow[] = [];

    private loader: RecordLoader | undefined;
    /** Offset of the record that fences the former leader, once it is stored. */
    private fenceOffset: RecordOffset | undefined;
    private scheduler: RestoredScheduler | undefined;
    private readonly startedAt: number;
    private readonly didLoad = Emitter.create<Takeover>();
    /** Fires once, when the progress has been loaded. */
    readonly onDidLoad = this.didLoad.event;

    private constructor(
        private readonly epoch: number,
        nonce: number,
        private readonly clock: () => number,
        private readonly effects: EffectSink<RecordWriterEffect>,
        private readonly host: TakeoverHost,
        shard: number,
        private readonly start: TakeoverStart,
    ) {
        this.startedAt = clock();
        this.stream = progressStream(shard);
        this.machine = Machine.create(chart, {
            guards: { isCaughtUp: () => this.host.isCaughtUp },
            actions: {
                load: () => this.load(),
                reportLoaded: () => this.didLoad.fire(this),
                prepare: () => (this.scheduler = this.host.prepare(this)),
                restoreSlice: now => this.scheduler!.restore(now, MAX_TASKS_PER_SLICE),
                begin: now => this.host.begin(Math.round(now - this.startedAt)),
            },
        });
        const producer = { name: leaderProducer(shard), epoch };
        // The name contains the epoch, so that late answers to an earlier takeover of this instance are ignored.
        this.writer = RecordWriter.create(`${this.stream}-${epoch}`, this.stream, producer, effects, nonce);
        this.writer.write(
            EPOCH_KEY,
            () => String(epoch),
            () => this.machine.fire("fenced", this.clock()),
        );
    }

    /** Writes the epoch again, which shows others that its leader goes on. */
    restate(): void {
        const { epoch } = this;
        this.writer.write(EPOCH_KEY, () => String(epoch));
    }

    /**
     * @param epoch Epoch of the new leader.
     * @param nonce Number that differs between instances.
     * @param clock Returns the time in ms.
     * @param effects Receives the appends and the reads.
     * @param host Creates the scheduler and is told when it has its jobs.
     * @param shard Number of the shard.
     * @param start What it begins with.
     * @returns The takeover. Flushing its writer sends the first append.
     */
    static create(
        epoch: number,
        nonce: number,
        clock: () => number,
        effects: EffectSink<RecordWriterEffect>,
        host: TakeoverHost,
        shard = 0,
        start: TakeoverStart = {},
    ): Takeover {
        return new Takeover(epoch, nonce, clock, effects, host, shard, start);
    }

    /** Whether the progress was followed before. */
    get isPrepared(): boolean {
        return this.start.followed !== undefined;
    }

    /** Handles the answer to a read of the progress. */
    handleAnswer(event: RecordEvent & { readonly kind: "newest-answer" }): void {
        this.loader?.handleAnswer(event);
    }

    /** Handles the answer to an append of the writer. @param now Time in ms. */
    handleAppendAnswer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        if (event.result.ok) {
            this.fenceOffset ??= event.result.val;
        }
        this.writer.handleAnswer(event, now);
    }

    /** Continues in a turn of the loop. @param now Time in ms. */
    advance(now: number): void {
        this.reviewFollowed(now);
        this.machine.fire("turn", now);
        if (this.scheduler?.isRestored === true) {
            this.machine.fire("restored", now);
        }
    }

    /** Applies the newest record of a key. */
    apply(record: StoredRecord): void {
        if (record.key === LATENCY_MODEL_KEY) {
            this.learnedInterference = decodeLatencyModel(record.value ?? "");
        } else {
            this.progress.apply(record);
        }
    }

    /** Called when all records have been read. */
    finish(): void {
        this.machine.fire("loaded", this.clock());
    }

    /** Ends the takeover, or the epoch that it began. */
    dispose(): void {
        this.scheduler?.dispose();
    }

    private load(): void {
        if (!this.isPrepared) {
            const receiver = new TakeoverReceiver(this);
            const { latestRead } = this.start;
            this.loader = RecordLoader.start(this.stream, this.clock(), receiver, this.effects, latestRead);
        }
    }

    /** The progress that was followed is complete once the record is read after which the former leader stores nothing. */
    private reviewFollowed(now: number): void {
        const { followed } = this.start;
        if (followed === undefined || this.machine.state !== "loading") {
            return;
        }
        followed.review(now);
        if (this.fenceOffset !== undefined && followed.hasRead(this.fenceOffset)) {
            followed.records.forEach(record => this.apply(record));
            this.finish();
        }
    }
}

class TakeoverReceiver extends LoadReceiver {
    constructor(private readonly takeover: Takeover) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.takeover.apply(record);
    }

    override onLoaded(): void {
        this.takeover.finish();
    }
}
