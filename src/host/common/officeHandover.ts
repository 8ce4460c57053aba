import { EffectSink } from "../../base/common/effectSink";
import { Handover, HandoverDecision, HandoverHost, HandoverReason } from "../../handover/common/handover";
import { chooseSuccessor, SuccessorChoice } from "../../handover/common/successorChoice";
import { LeaderWatch } from "../../handover/common/leaderWatch";
import { MAX_READS_PER_READER, Warmup } from "../../handover/common/warmup";
import { HostProfile } from "../../records/common/hostTable";
import { Leadership } from "../../records/common/leadership";
import { RecordEvent } from "../../records/common/recordEvents";
import { progressStream } from "../../records/common/shardNames";
import { JobInstanceEffect } from "./jobInstanceEvents";
import { TakeoverStart } from "./takeover";

type StoreAnswer = RecordEvent & { readonly kind: "read-answer" | "newest-answer" };

/** Cores of an instance that replaces a leader that goes on, as a multiple of the leader's. */
const MIN_OUTCLASSING_RATIO = 2;

/** Time for which a leader has led before a stronger instance replaces it, in ms. */
const MIN_LEADING_MS = 2_000;

/** What the handover of an office depends on. */
export interface HandoverContext {
    readonly shard: number;
    readonly instance: string;
    /** Time from the request to stop the process to its forced end, in ms; there are no handovers if undefined. */
    readonly graceMs: number | undefined;
    readonly leadership: Leadership;
    readonly effects: EffectSink<JobInstanceEffect>;
    /** CPU of the instance for this office, in cores. */
    readonly cores: () => number;
    /** Instances that state what they are. */
    readonly profiles: () => readonly HostProfile[];
    /** Instances that lead another shard, or are named as its successor. */
    readonly engaged: () => ReadonlySet<string>;
    /** Whether this instance hands over another shard. */
    readonly isHandingOverElsewhere: () => boolean;
    /** Called when a warmup starts: what a leader decides by is to be read at once. */
    readonly onDidStartWarmup: () => void;
}

/** The part of an office in handovers: as the leader that hands over, and as the successor that is named. */
export class OfficeHandover {
    private handover: Handover | undefined;
    private warmup: Warmup | undefined;
    private readerCount = 0;
    /** Time (ms) at which the workers with inherited runs had answered, if this instance leads. */
    private settledAt: number | undefined;
    private isStopping = false;

    private readonly watch: LeaderWatch;

    private constructor(private readonly context: HandoverContext) {
        const { shard, effects } = context;
        this.watch = LeaderWatch.create(progressStream(shard), effects, () => this.nextReads());
    }

    /** @param context What it depends on. @returns An office without a handover. */
    static create(context: HandoverContext): OfficeHandover {
        return new OfficeHandover(context);
    }

    /** Whether the instance gets ready for the shard. */
    get isWarming(): boolean {
        return this.warmup !== undefined;
    }

    /** Whether it is ready. */
    get isWarm(): boolean {
        return this.warmup?.isWarm === true;
    }

    /** Whether the leader awaits its successor. */
    get isAwaiting(): boolean {
        return this.handover?.isAwaiting === true;
    }

    /** Called when this instance begins to schedule. */
    begin(): void {
        const { graceMs } = this.context;
        this.warmup = undefined;
        this.handover =
            graceMs === undefined ? undefined : Handover.create(graceMs, new OfficeHandoverHost(this.context));
    }

    /** Called when the takeover is over. @param now Time in ms. */
    settle(now: number): void {
        this.settledAt = now;
    }

    /** Called when this instance leads no more. @param leader The leader, if it is known. @param now Time in ms. */
    stepDown(leader: string | undefined, now: number): void {
        this.handover?.end(leader === this.context.instance ? undefined : leader, now);
        this.handover = undefined;
        this.warmup = undefined;
        this.settledAt = undefined;
        if (this.isStopping) {
            this.context.leadership.withdraw(now);
        }
    }

    /** Hands over, or resigns if nothing else can be done, since the process is told to stop. @param now Time in ms. */
    stop(now: number): void {
        const { leadership, graceMs } = this.context;
        if (this.handover !== undefined) {
            this.handover.stop(now);
        } else {
            leadership.resign(now);
        }
        if (graceMs !== undefined) {
            this.isStopping = true;
            leadership.withdraw(now);
        }
        this.warmup = undefined;
    }

    /** Handles what is due. @param now Time in ms. */
    tick(now: number): void {
        this.handover?.tick(now);
        const isSettled = this.settledAt !== undefined && now - this.settledAt >= MIN_LEADING_MS;
        if (isSettled && !this.context.isHandingOverElsewhere()) {
            this.handover?.reviewStrength(now);
        }
    }

    /** @param silentMs Time without a renewal, in ms. @returns Whether the leader is gone, as far as its progress shows. */
    isLeaderGone(silentMs: number): boolean {
        return this.context.graceMs === undefined || this.watch.isGone(silentMs);
    }

    /** Gets ready while the leader names this instance, and claims once it is. @param now Time in ms. */
    advance(now: number): void {
        const { leadership, graceMs } = this.context;
        this.warmup?.review(now);
        if (graceMs !== undefined) {
            this.watch.review(leadership.epoch, leadership.silentMs ?? 0, now);
        }
        if (leadership.isLeading || leadership.isCandidate) {
            return;
        }
        const isOther = this.warmup !== undefined && this.warmup.epoch !== leadership.epoch;
        if (!leadership.isNamed || isOther) {
            this.warmup = undefined;
        }
        if (leadership.isNamed && graceMs !== undefined && leadership.canBecomeLeader) {
            this.warmup ??= this.startWarmup(now);
        }
        if (this.isWarm) {
            leadership.tick(now);
        }
    }

    /** @returns What the takeover of this instance begins with. */
    startTakeover(): TakeoverStart {
        return { followed: this.isWarm ? this.warmup : undefined, latestRead: this.nextReads() };
    }

    /** Handles the answer to a read of the progress. @param now Time in ms. */
    handleStoreAnswer(event: StoreAnswer, now: number): void {
        if (event.stream !== progressStream(this.context.shard)) {
            return;
        }
        this.warmup?.handleAnswer(event, now);
        if (event.kind === "newest-answer") {
            this.watch.handleAnswer(event);
        }
    }

    private startWarmup(now: number): Warmup {
        const { shard, leadership, effects, onDidStartWarmup } = this.context;
        const { epoch } = leadership;
        const target = { stream: progressStream(shard), epoch, latestRead: this.nextReads() };
        const warmup = Warmup.start(target, now, effects, ({ ...data }) =>
            effects.emit({ kind: "decision", name: "successor-warm", data }),
        );
        onDidStartWarmup();
        return warmup;
    }

    private nextReads(): number {
        this.readerCount += 1;
        return this.readerCount * MAX_READS_PER_READER;
    }
}

class OfficeHandoverHost extends HandoverHost {
    constructor(private readonly context: HandoverContext) {
        super();
    }

    override choose(reason: HandoverReason, refused: ReadonlySet<string>): SuccessorChoice | undefined {
        const { instance: leader, profiles, engaged, cores } = this.context;
        const minCores = reason === "outclassed" ? cores() * MIN_OUTCLASSING_RATIO : undefined;
        return chooseSuccessor(profiles(), { leader, engaged: engaged(), refused, minCores });
    }

    override name(successor: string | undefined): void {
        this.context.leadership.nameSuccessor(successor);
    }

    override resign(now: number): void {
        this.context.leadership.nameSuccessor(undefined);
        this.context.leadership.resign(now);
    }

    override log(name: HandoverDecision, data: Readonly<Record<string, string | number | boolean | undefined>>): void {
        this.context.effects.emit({ kind: "decision", name, data });
    }
}
