import { EffectSink } from "../../base/common/effectSink";
import { RecordOffset } from "../../records/common/record";
import { KEY_AFTER_ALL, ProgressStream } from "../../records/common/recordStore";
import { RecordEffect, RecordEvent } from "../../records/common/recordEvents";

type NewestAnswer = RecordEvent & { readonly kind: "newest-answer" };

/** Time without a renewal of the leader after which its progress is looked at, in ms: longer than between two renewals on standby. */
const DOUBT_MS = 500;

/** Interval between two looks, in ms. */
const LOOK_INTERVAL_MS = 300;

/** Time after which a look without an answer is given up, in ms. */
const LOOK_TIMEOUT_MS = 1_000;

/** Time without an append after which a leader counts as gone, in ms. One whose appends time out and are repeated makes one a second. */
const MIN_STILL_MS = 1_200;

/**
 * Longest time without a renewal for which the progress counts in its place, in ms. By then the leases end that the leader has extended
 * without raising its fence.
 */
const MAX_UNRENEWED_MS = 6_000;

interface Stillness {
    readonly end: RecordOffset;
    /** Time (ms) at which the first and the latest look were sent that found this end. */
    readonly from: number;
    readonly to: number;
}

/**
 * Tells a leader whose renewals are late from one that is gone. Load pattern: the store is slow, and all submissions of a burst are appended to
 * the stream that has the renewals, so that these wait behind them for seconds. The leader still appends to the progress of its shard,
 * which nobody else does, and starts tasks; to replace it would stop them.
 */
export class LeaderWatch {
    private epoch = 0;
    private lookedAt = Number.NEGATIVE_INFINITY;
    /** Number of the latest look. */
    private number = 0;
    private isLooking = false;
    private stillness: Stillness | undefined;

    private constructor(
        private readonly stream: ProgressStream,
        private readonly effects: EffectSink<RecordEffect>,
        private readonly nextRead: () => number,
    ) {}

    /**
     * @param stream Progress of the shard.
     * @param effects Receives the reads.
     * @param nextRead Returns a number that no other read of the stream has.
     * @returns A watch that has looked at nothing.
     */
    static create(stream: ProgressStream, effects: EffectSink<RecordEffect>, nextRead: () => number): LeaderWatch {
        return new LeaderWatch(stream, effects, nextRead);
    }

    /**
     * Looks at the progress while renewals are late.
     * @param epoch Epoch of the leader.
     * @param silentMs Time without a renewal, in ms.
     * @param now Time in ms.
     */
    review(epoch: number, silentMs: number, now: number): void {
        if (epoch !== this.epoch || silentMs < DOUBT_MS) {
            this.epoch = epoch;
            this.stillness = undefined;
        } else if (silentMs < MAX_UNRENEWED_MS && this.isLookDue(now)) {
            this.lookedAt = now;
            this.isLooking = true;
            this.number = this.nextRead();
            const { stream, number } = this;
            this.effects.emit({ kind: "read-newest", stream, number, after: KEY_AFTER_ALL, delayMs: 0 });
        }
    }

    /** Handles an answer to a read of the progress, if it is one to a look. */
    handleAnswer({ number, sentAt, result }: NewestAnswer): void {
        if (number !== this.number) {
            return;
        }
        this.isLooking = false;
        if (!result.ok) {
            return;
        }
        const { end } = result.val;
        const from = this.stillness?.end === end ? this.stillness.from : sentAt;
        this.stillness = { end, from, to: sentAt };
    }

    /** A slow store answers after the interval, and only the answer to the latest look counts. */
    private isLookDue(now: number): boolean {
        return now - this.lookedAt >= (this.isLooking ? LOOK_TIMEOUT_MS : LOOK_INTERVAL_MS);
    }

    /** @param silentMs Time without a renewal, in ms. @returns Whether the leader appends nothing, or has renewed nothing for too long. */
    isGone(silentMs: number): boolean {
        const { from = 0, to = 0 } = this.stillness ?? {};
        return to - from >= MIN_STILL_MS || silentMs >= MAX_UNRENEWED_MS;
    }
}
