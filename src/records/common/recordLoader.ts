import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { StoredRecord } from "./record";
import chartText from "./recordLoader.chart.yaml";
import { StreamName } from "./recordStore";
import { RecordEffect, RecordEvent } from "./recordEvents";

type LoaderState = "loading" | "loaded";
type LoaderEvent = "page" | "last-page" | "failed";
type LoaderAction = "applyPage" | "readPage" | "retryPage" | "finish";
type NewestAnswer = RecordEvent & { readonly kind: "newest-answer" };

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LoaderState, LoaderEvent, never, LoaderAction>(chartText, "recordLoader.chart.yaml", {
        states: ["loading", "loaded"],
        events: ["page", "last-page", "failed"],
        guards: [],
        actions: ["applyPage", "readPage", "retryPage", "finish"],
    }),
);

/** Delay before a failed read of a page is retried. */
const RETRY_BACKOFF_MS = 100;

/** Receives the records that a loader reads. */
export abstract class LoadReceiver {
    /** Applies the newest record of a key. */
    abstract apply(record: StoredRecord): void;

    /** Called once, when all keys have been read. */
    abstract onLoaded(): void;
}

/** Reads the newest record of each key once. Other producers must not write to the stream during the load. */
export class RecordLoader {
    private readonly machine: Machine<NewestAnswer, LoaderState, LoaderEvent, never, LoaderAction>;
    private lastKey: string | undefined;

    private constructor(
        private readonly stream: StreamName,
        private readonly startedAt: number,
        private readonly receiver: LoadReceiver,
        private readonly effects: EffectSink<RecordEffect>,
        /** Number of the latest read. */
        private latestRead: number,
    ) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                applyPage: answer => this.applyPage(answer),
                readPage: () => this.readPage(0),
                retryPage: () => this.readPage(RETRY_BACKOFF_MS),
                finish: () => this.receiver.onLoaded(),
            },
        });
    }

    /**
     * Starts a load.
     * @param stream The stream.
     * @param now Time in ms. Answers to reads sent earlier are ignored.
     * @param receiver Applies the records.
     * @param effects Receives the reads.
     * @param latestRead Number above which its reads are counted: answers to earlier reads of the stream may still arrive.
     * @returns The loader.
     */
    static start(
        stream: StreamName,
        now: number,
        receiver: LoadReceiver,
        effects: EffectSink<RecordEffect>,
        latestRead = 0,
    ): RecordLoader {
        const loader = new RecordLoader(stream, now, receiver, effects, latestRead);
        loader.readPage(0);
        return loader;
    }

    /** Handles the answer to a read of the stream. */
    handleAnswer(answer: NewestAnswer): void {
        if (answer.sentAt < this.startedAt || answer.number !== this.latestRead) {
            return;
        }
        if (!answer.result.ok) {
            this.machine.fire("failed", answer);
        } else {
            this.machine.fire(answer.result.val.hasMore ? "page" : "last-page", answer);
        }
    }

    private applyPage(answer: NewestAnswer): void {
        for (const record of answer.result.unwrap().records) {
            this.lastKey = record.key;
            this.receiver.apply(record);
        }
    }

    private readPage(delayMs: number): void {
        this.latestRead += 1;
        const { stream, latestRead: number, lastKey: after } = this;
        this.effects.emit({ kind: "read-newest", stream, number, after, delayMs });
    }
}
