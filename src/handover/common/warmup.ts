import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { RecordOffset, StoredRecord } from "../../records/common/record";
import { ReadTiming, RecordFollower } from "../../records/common/recordFollower";
import { RecordEffect, RecordEvent } from "../../records/common/recordEvents";
import { ProgressStream } from "../../records/common/recordStore";
import { ProgressReplica } from "./progressReplica";
import chartText from "./warmup.chart.yaml";

type WarmupState = "loading" | "warm";
type WarmupEvent = "loaded";
type WarmupAction = "reportWarm";
type StoreAnswer = RecordEvent & { readonly kind: "read-answer" | "newest-answer" };

const chart = ChartRegistry.instance.register(
    ChartLoader.load<WarmupState, WarmupEvent, never, WarmupAction>(chartText, "warmup.chart.yaml", {
        states: ["loading", "warm"],
        events: ["loaded"],
        guards: [],
        actions: ["reportWarm"],
    }),
);

/** Reads of the progress while the former leader still writes it. */
const PROGRESS_TIMING: ReadTiming = { waitMs: 400, pauseMs: 20, repeatAfterMs: 900 };

/** Limit of the reads of one reader of the progress: its numbers are apart from those of the next. */
export const MAX_READS_PER_READER = 1_000_000;

/** What an instance warms up for. */
export interface WarmupTarget {
    readonly stream: ProgressStream;
    /** Epoch of the leader that has named it. */
    readonly epoch: number;
    /** Number above which its reads are counted: answers to earlier reads of the progress may still arrive. */
    readonly latestRead: number;
}

/** What a warmup has done. */
export interface WarmupReport {
    readonly epoch: number;
    /** Number of records of the progress. */
    readonly records: number;
    readonly tookMs: number;
}

/**
 * Gets an instance ready for a shard while another one leads it: follows the progress, so that only what was stored last is read after the
 * claim. It sends no worker anything, and has no right to anything, so nothing depends on how far it gets.
 */
export class Warmup {
    private readonly machine: Machine<number, WarmupState, WarmupEvent, never, WarmupAction>;
    private readonly replica = ProgressReplica.create();
    private readonly follower: RecordFollower;

    private constructor(
        private readonly target: WarmupTarget,
        private readonly startedAt: number,
        effects: EffectSink<RecordEffect>,
        private readonly onWarm: (report: WarmupReport) => void,
    ) {
        const { stream, latestRead } = target;
        this.follower = RecordFollower.create(stream, this.replica, () => PROGRESS_TIMING, effects, latestRead);
        this.machine = Machine.create(chart, { guards: {}, actions: { reportWarm: now => this.reportWarm(now) } });
    }

    /**
     * Starts to get ready.
     * @param target What for.
     * @param now Time in ms.
     * @param effects Receives the reads.
     * @param onWarm Called once, when it is ready.
     * @returns The warmup.
     */
    static start(
        target: WarmupTarget,
        now: number,
        effects: EffectSink<RecordEffect>,
        onWarm: (report: WarmupReport) => void,
    ): Warmup {
        const warmup = new Warmup(target, now, effects, onWarm);
        warmup.follower.start();
        return warmup;
    }

    /** Epoch of the leader that has named this instance. */
    get epoch(): number {
        return this.target.epoch;
    }

    /** Whether the instance is ready. */
    get isWarm(): boolean {
        return this.machine.state === "warm";
    }

    /** The newest record of each key of the progress. */
    get records(): readonly StoredRecord[] {
        return this.replica.records;
    }

    /** @returns Whether all records up to an offset are read. */
    hasRead(offset: RecordOffset): boolean {
        return this.follower.isLoaded && this.follower.nextOffset > offset;
    }

    /** Handles an answer to a read of the progress. @param now Time in ms. */
    handleAnswer(answer: StoreAnswer, now: number): void {
        const { latestRead } = this.target;
        if (answer.number > latestRead && answer.number < latestRead + MAX_READS_PER_READER) {
            this.follower.handleAnswer(answer, now);
        }
    }

    /** Handles what is due. @param now Time in ms. */
    review(now: number): void {
        this.follower.tick(now);
        if (this.follower.isLoaded) {
            this.machine.fire("loaded", now);
        }
    }

    private reportWarm(now: number): void {
        const { epoch } = this.target;
        this.onWarm({ epoch, records: this.replica.size, tookMs: Math.round(now - this.startedAt) });
    }
}
