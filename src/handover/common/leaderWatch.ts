import { EffectSink } from "../../base/common/effectSink";
import { RecordOffset } from "../../records/common/record";
import { KEY_AFTER_ALL, ProgressStream } from "../../records/common/recordStore";
import { RecordEffect, RecordEvent } from "../../records/common/recordEvents";

type NewestAnswer = RecordEvent & { readonly kind: "newest-answer" };

/** Time without a renewal of the leader after which its progress is looked at, in ms: two renewals, or a long read on standby. */
const DOUBT_MS = 600;

/** Interval between two looks, in ms. Two of them are answered before others claim. */
const LOOK_INTERVAL_MS = 350;

/**
 * Longest time without a renewal for which the progress counts in its place, in ms. By then the leases end that the leader has extended
 * without raising its fence.
 */
const MAX_UNRENEWED_MS = 6_000;

interface Look {
    readonly end: RecordOffset;
    readonly sentAt: number;
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
    private latest: Look | undefined;
    private appendedAt: number | undefined;

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
            this.latest = undefined;
            this.appendedAt = undefined;
        } else if (silentMs < MAX_UNRENEWED_MS && now - this.lookedAt >= LOOK_INTERVAL_MS) {
            this.lookedAt = now;
            this.number = this.nextRead();
            const { stream, number } = this;
            this.effects.emit({ kind: "read-newest", stream, number, after: KEY_AFTER_ALL, delayMs: 0 });
        }
    }

    /** Handles an answer to a read of the progress, if it is one to a look. */
    handleAnswer({ number, sentAt, result }: NewestAnswer): void {
        if (number !== this.number || !result.ok) {
            return;
        }
        const { latest } = this;
        const { end } = result.val;
        if (latest !== undefined && end > latest.end) {
            this.appendedAt = latest.sentAt;
        }
        this.latest = { end, sentAt };
    }

    /**
     * @param silentMs Time without a renewal, in ms.
     * @returns Time (ms) after which the leader has certainly appended to its progress, if it has and that still counts.
     */
    activeAt(silentMs: number): number | undefined {
        return silentMs < MAX_UNRENEWED_MS ? this.appendedAt : undefined;
    }
}
