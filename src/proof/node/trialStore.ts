import { Err } from "ts-results";
import { JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { RecordEffect } from "../../records/common/recordEvents";
import { StreamName } from "../../records/common/recordStore";
import { KeyedLog } from "../../standin/common/keyedLog";
import { TrialNode } from "./jobTrialNode";
import { CALL_TIMEOUTS_MS } from "./jobTrialPlan";
import { Random } from "./random";
import { DelayedStream, TrialReads } from "./trialReads";
import { TrialSchedule } from "./trialSchedule";
import { createStreams } from "./trialStreams";

/** Time that a read takes to the store, in ms. */
const LINK_DELAY_MS = 2;

/** Time that a slow append takes, and the longest wait of one for those before it, in ms. */
const SLOW_APPEND_MS = 360;
const MAX_APPEND_WAIT_MS = 2_000;

/** The in-memory store of a trial, and the calls to it. */
export class TrialStore {
    readonly streams: Readonly<Record<StreamName, KeyedLog>> = createStreams();
    private downUntil = 0;
    private lostAnswersUntil = 0;
    private slowJobsUntil = 0;
    /** Time (ms) from which the next append of jobs is stored. */
    private jobsFreeAt = 0;

    private constructor(
        private readonly random: Random,
        private readonly timeline: TrialSchedule,
        private readonly reads: Readonly<Record<DelayedStream, TrialReads>>,
    ) {}

    /**
     * @param random Source of randomness, shared with the rest of the trial.
     * @param timeline Clock of the trial.
     * @param reads Delays of the reads, by stream.
     * @returns A store without records.
     */
    static create(
        random: Random,
        timeline: TrialSchedule,
        reads: Readonly<Record<DelayedStream, TrialReads>>,
    ): TrialStore {
        return new TrialStore(random, timeline, reads);
    }

    private get now(): number {
        return this.timeline.now;
    }

    /** Makes the store unavailable. @param durationMs Duration in ms. */
    takeDown(durationMs: number): void {
        this.downUntil = this.now + durationMs;
    }

    /** Lets answers to some appends get lost. @param durationMs Duration in ms. */
    loseAnswers(durationMs: number): void {
        this.lostAnswersUntil = this.now + durationMs;
    }

    /** Lets the stream of jobs store one append after the other, and slowly. @param durationMs Duration in ms. */
    slowDownJobs(durationMs: number): void {
        this.slowJobsUntil = this.now + durationMs;
    }

    /** @returns Time in ms until an append of jobs is stored, or `undefined` if too many wait before it. */
    private takeJobsDelayMs(): number | undefined {
        const waitMs = Math.max(0, this.jobsFreeAt - this.now);
        if (waitMs > MAX_APPEND_WAIT_MS) {
            return undefined;
        }
        const delayMs = waitMs + (this.now < this.slowJobsUntil ? SLOW_APPEND_MS : LINK_DELAY_MS);
        this.jobsFreeAt = this.now + delayMs;
        return delayMs;
    }

    /** Removes what the store keeps for a limited time only. */
    expire(): void {
        Object.values(this.streams).forEach(log => log.expire());
    }

    /**
     * Sends a call to the store.
     * @param node The node that calls.
     * @param effect The call.
     * @param post Called once with the answer.
     */
    call(node: TrialNode, effect: RecordEffect, post: (event: JobInstanceEvent) => void): void {
        const emittedAt = this.now - node.frozenMs;
        const log = this.streams[effect.stream];
        const reads = effect.kind === "append" ? undefined : this.readsOf(effect.stream);
        const postAnswer = (event: JobInstanceEvent) =>
            this.schedule(this.random.between(1, 4) + (reads?.lateMs(node.index) ?? 0), () => post(event));
        const { stream } = effect;
        if (effect.kind === "append") {
            const reply = (result: ReturnType<KeyedLog["append"]>) =>
                postAnswer({ kind: "append-answer", writer: effect.writer, sequence: effect.append.sequence, result });
            if (!this.isReachable(node)) {
                this.schedule(CALL_TIMEOUTS_MS.store, () => reply(Err("unknown")));
            } else if (stream === "jobs" && this.now < Math.max(this.slowJobsUntil, this.jobsFreeAt)) {
                const delayMs = this.takeJobsDelayMs();
                if (delayMs === undefined) {
                    this.schedule(LINK_DELAY_MS, () => reply(Err("not-done")));
                    return;
                }
                const isLate = delayMs > CALL_TIMEOUTS_MS.store;
                this.schedule(delayMs, () => {
                    const result = log.append(effect.append);
                    return isLate ? undefined : reply(result);
                });
                if (isLate) {
                    this.schedule(CALL_TIMEOUTS_MS.store, () => reply(Err("unknown")));
                }
            } else if (this.now < this.lostAnswersUntil && this.random.chance(0.4)) {
                const delayMs = this.random.chance(0.5) ? 1 : this.random.between(1_000, 5_000);
                this.schedule(delayMs, () => log.append(effect.append));
                this.schedule(CALL_TIMEOUTS_MS.store, () => reply(Err("unknown")));
            } else {
                this.schedule(this.random.between(1, 4), () => reply(log.append(effect.append)));
            }
            return;
        }
        const { number } = effect;
        const read = (sentAt: number, deadline: number) => {
            const stallMs = reads?.takeStallMs(node.index);
            if (stallMs !== undefined || !this.isReachable(node)) {
                const unavailable = Err("unavailable" as const);
                const kind = effect.kind === "read" ? "read-answer" : "newest-answer";
                const timeoutMs = stallMs ?? CALL_TIMEOUTS_MS.store;
                this.schedule(timeoutMs, () => postAnswer({ kind, stream, number, sentAt, result: unavailable }));
            } else if (effect.kind === "read-newest") {
                postAnswer({ kind: "newest-answer", stream, number, sentAt, result: log.newest(effect.after) });
            } else if (log.end > effect.from || this.now >= deadline || !log.read(effect.from).ok) {
                postAnswer({ kind: "read-answer", stream, number, sentAt, result: log.read(effect.from) });
            } else {
                this.schedule(3, () => read(sentAt, deadline));
            }
        };
        this.schedule(effect.delayMs + LINK_DELAY_MS, () => {
            const sentAt = stream === "workers" ? this.sentAtOf(node, emittedAt) : emittedAt;
            read(sentAt, this.now + (effect.kind === "read" ? effect.waitMs : 0));
        });
    }

    /**
     * @param emittedAt Time (ms) at which a read was emitted, before its pause.
     * @returns Time (ms) at which it was sent. The clock of a frozen instance stands still.
     */
    private sentAtOf(node: TrialNode, emittedAt: number): number {
        return this.now < node.frozenUntil ? emittedAt : this.now - LINK_DELAY_MS - node.frozenMs;
    }

    private readsOf(stream: StreamName): TrialReads | undefined {
        return stream === "jobs" || stream === "workers" || stream === "operator" ? this.reads[stream] : undefined;
    }

    private isReachable(node: TrialNode): boolean {
        return this.now >= this.downUntil && this.now >= node.storeCutUntil;
    }

    private schedule(delayMs: number, perform: () => void): void {
        this.timeline.add(delayMs, perform);
    }
}
