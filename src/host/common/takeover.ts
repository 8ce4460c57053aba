import { EffectSink } from "../../base/common/effectSink";
import { Emitter } from "../../base/common/emitter";
import { PairRow } from "../../dispatch/common/latencyModel";
import { decodeLearning, LEARNING_KEY } from "../../dispatch/common/learningRecord";
import { ProgressTable } from "../../jobs/common/progressTable";
import { LEADER_PRODUCER } from "../../records/common/leadership";
import { StoredRecord } from "../../records/common/record";
import { LoadReceiver, RecordLoader } from "../../records/common/recordLoader";
import { RecordEffect, RecordEvent } from "../../records/common/recordTraffic";
import { RecordWriter } from "../../records/common/recordWriter";

/** Key of the record by which a leader fences the former one. */
const EPOCH_KEY = "epoch";

/**
 * A new leader's way to the progress of the jobs: its first append fences the former leader, after which the progress
 * does not change any more and is read.
 */
export class Takeover {
    /** Writes the leader's progress. */
    readonly writer: RecordWriter;
    readonly progress = ProgressTable.create();
    /** What the former leader learnt. */
    learnt: readonly PairRow[] = [];

    private loader: RecordLoader | undefined;
    private readonly loads = Emitter.create<Takeover>();
    /** Fires once when the progress has been read. */
    readonly onDidLoad = this.loads.event;

    private constructor(
        epoch: number,
        nonce: number,
        private readonly time: () => number,
        private readonly effects: EffectSink<RecordEffect>,
    ) {
        const producer = { name: LEADER_PRODUCER, epoch };
        // Answers to the appends of an earlier takeover by this instance are not taken for answers to these.
        this.writer = RecordWriter.create(`progress-${epoch}`, "progress", producer, effects, nonce);
        this.writer.write(
            EPOCH_KEY,
            () => String(epoch),
            () => this.load(),
        );
    }

    /**
     * @param epoch Epoch of the new leader.
     * @param nonce Number that differs between instances.
     * @param time Gives the time in ms.
     * @param effects Takes the append and the reads.
     * @returns The takeover; it goes on when its writer is flushed.
     */
    static create(epoch: number, nonce: number, time: () => number, effects: EffectSink<RecordEffect>): Takeover {
        return new Takeover(epoch, nonce, time, effects);
    }

    /** Takes an answer to a read of the progress. */
    answer(event: RecordEvent & { readonly kind: "newest-answer" }): void {
        this.loader?.handleAnswer(event);
    }

    /** Takes the newest record of a key. */
    take(record: StoredRecord): void {
        if (record.key === LEARNING_KEY) {
            this.learnt = decodeLearning(record.value ?? "");
        } else {
            this.progress.take(record);
        }
    }

    /** Notes that all has been read. */
    finish(): void {
        this.loads.fire(this);
    }

    private load(): void {
        this.loader = RecordLoader.start("progress", this.time(), new TakeoverReceiver(this), this.effects);
    }
}

class TakeoverReceiver extends LoadReceiver {
    constructor(private readonly takeover: Takeover) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.takeover.take(record);
    }

    override onLoaded(): void {
        this.takeover.finish();
    }
}
