import { EffectSink } from "../../base/common/effectSink";
import { Emitter } from "../../base/common/emitter";
import { InterferenceRow } from "../../dispatch/common/latencyModel";
import { decodeLatencyModel, LATENCY_MODEL_KEY } from "../../dispatch/common/latencyModelRecord";
import { ProgressTable } from "../../jobs/common/progressTable";
import { LEADER_PRODUCER } from "../../records/common/leadership";
import { StoredRecord } from "../../records/common/record";
import { LoadReceiver, RecordLoader } from "../../records/common/recordLoader";
import { RecordEffect, RecordEvent } from "../../records/common/recordEvents";
import { RecordWriter } from "../../records/common/recordWriter";

/** Key of the record that fences the former leader. */
const EPOCH_KEY = "epoch";

/**
 * Loads the progress of all jobs for a new leader. Its first append fences the former leader, so the progress no longer
 * changes while it is read.
 */
export class Takeover {
    /** Writes progress for the new leader. */
    readonly writer: RecordWriter;
    readonly progress = ProgressTable.create();
    /** Interference that the former leader estimated, for pairs of images. */
    learnedInterference: readonly InterferenceRow[] = [];

    private loader: RecordLoader | undefined;
    private readonly didLoad = Emitter.create<Takeover>();
    /** Fires once, when the progress has been loaded. */
    readonly onDidLoad = this.didLoad.event;

    private constructor(
        epoch: number,
        nonce: number,
        private readonly clock: () => number,
        private readonly effects: EffectSink<RecordEffect>,
    ) {
        const producer = { name: LEADER_PRODUCER, epoch };
        // The name contains the epoch, so that late answers to an earlier takeover of this instance are ignored.
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
     * @param clock Returns the time in ms.
     * @param effects Receives the appends and the reads.
     * @returns The takeover. Flushing its writer sends the first append.
     */
    static create(epoch: number, nonce: number, clock: () => number, effects: EffectSink<RecordEffect>): Takeover {
        return new Takeover(epoch, nonce, clock, effects);
    }

    /** Handles the answer to a read of the progress. */
    handleAnswer(event: RecordEvent & { readonly kind: "newest-answer" }): void {
        this.loader?.handleAnswer(event);
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
        this.didLoad.fire(this);
    }

    private load(): void {
        this.loader = RecordLoader.start("progress", this.clock(), new TakeoverReceiver(this), this.effects);
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
