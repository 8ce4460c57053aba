import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

/** Bounds of the time by which a page arrives late over a full link, in ms. */
const MIN_SLOW_PAGE_MS = 300;
const MAX_SLOW_PAGE_MS = 3_000;

/** Bounds of the time after which a response that stalls is given up, in ms. */
const MIN_STALL_MS = 1_900;
const MAX_STALL_MS = 3_900;

/** A stream whose reads can be delayed. */
export type DelayedStream = "jobs" | "workers" | "operator";

/** Distinguishes the random sequence of the delays of a stream from that of the trial with the same seed. */
const SEED_OFFSETS: Readonly<Record<DelayedStream, number>> = {
    jobs: 104_729,
    workers: 1_299_709,
    operator: 179_424_673,
};

/** Delays of the reads of one stream. It draws from its own sequence, as the cancellations do. */
export class TrialReads {
    private readonly random: Random;
    /** Time (ms) until which the pages of an instance arrive late, by its number. */
    private readonly slowUntil = new Map<number, number>();
    /** Instances of which the next response stalls. */
    private readonly stalling = new Set<number>();

    private constructor(
        seed: number,
        stream: DelayedStream,
        private readonly schedule: TrialSchedule,
    ) {
        this.random = Random.create(seed + SEED_OFFSETS[stream]);
    }

    /**
     * @param seed Seed of the trial.
     * @param stream The stream.
     * @param schedule Clock of the trial.
     * @returns Reads without delays.
     */
    static create(seed: number, stream: DelayedStream, schedule: TrialSchedule): TrialReads {
        return new TrialReads(seed, stream, schedule);
    }

    /** Lets the pages of an instance arrive late. @param index Its number. @param durationMs For how long, in ms. */
    slowDown(index: number, durationMs: number): void {
        this.slowUntil.set(index, this.schedule.now + durationMs);
    }

    /** Lets the next response to an instance stall. @param index Its number. */
    stallNext(index: number): void {
        this.stalling.add(index);
    }

    /** @param index Number of an instance. @returns Time (ms) after which its read fails, or `undefined`. */
    takeStallMs(index: number): number | undefined {
        return this.stalling.delete(index) ? this.random.between(MIN_STALL_MS, MAX_STALL_MS) : undefined;
    }

    /** @param index Number of an instance. @returns Time (ms) by which a page to it arrives late. */
    lateMs(index: number): number {
        const isSlow = this.schedule.now < (this.slowUntil.get(index) ?? 0);
        return isSlow ? this.random.between(MIN_SLOW_PAGE_MS, MAX_SLOW_PAGE_MS) : 0;
    }
}
