import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Emitter } from "../../base/common/emitter";
import { Machine } from "../../base/common/machine";
import { claimDelayMs, isMuchStronger, leaderTimeoutMs, observationMs } from "./claimTiming";
import { FormerLeaseBasis, LeaseKnowledge } from "./formerLeaders";
import { LeaderLeases } from "./leaderLeases";
import { OutageState, WitnessAnswer } from "./outageRight";
import { RenewalRecord } from "./renewalRecord";
import { decodeLeader, LeaderRecord } from "./leaderRecord";
import { OfficeChange } from "./officeChange";
import chartText from "./leadership.chart.yaml";
import { StoredRecord } from "./record";
import { RecordFollower } from "./recordFollower";
import { RecordEffect, RecordEvent } from "./recordEvents";
import { RecordWriter } from "./recordWriter";
import { claimWriterName, leaderKey, leaderProducer, leaderWriterName } from "./shardNames";

type LeadershipState = "standby" | "claiming" | "withdrawing" | "leading" | "resigning" | "resigned";
type LeadershipEvent =
    "claim" | "claim-failed" | "own-claim-seen" | "other-leader-seen" | "fenced" | "resign" | "withdraw";
type LeadershipAction =
    "sendClaim" | "startLeading" | "reportLostClaim" | "reportDeposed" | "stepDown" | "writeResignation";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LeadershipState, LeadershipEvent, never, LeadershipAction>(chartText, "leadership.chart.yaml", {
        states: ["standby", "claiming", "withdrawing", "leading", "resigning", "resigned"],
        events: ["claim", "claim-failed", "own-claim-seen", "other-leader-seen", "fenced", "resign", "withdraw"],
        guards: [],
        actions: ["sendClaim", "startLeading", "reportLostClaim", "reportDeposed", "stepDown", "writeResignation"],
    }),
);

/** Interval at which the leader renews its record. Three renewals may be lost before another instance claims. */
const RENEWAL_INTERVAL_MS = 300;

/** Delay of a renewal from which the record states it, in ms: two ticks of the loop. */
const MIN_LATE_MS = 50;

/** Time after the jobs are restored for which a leader still counts as taking over, in ms: workers report all their ends. */
const TAKEOVER_SETTLING_MS = 600;

/**
 * Gap between two successful reads that counts as a store outage: three long polls. The leader could not renew during
 * the outage, so its timeout starts again.
 */
const STORE_OUTAGE_THRESHOLD_MS = 1_200;

/** Minimum interval between two claims of this instance. */
const MIN_CLAIM_INTERVAL_MS = 200;

/** An instance that may claim leadership. */
export interface LeadershipCandidate {
    readonly instance: string;
    /** Name of its host, on which one incarnation runs at a time; the instance is never known to have ended if undefined. */
    readonly host?: string;
    /** Number that differs between instances. It sets the claim jitter and the first sequence number of appends. */
    readonly nonce: number;
    /**
     * Round trip to the store in ms, or `undefined` before the first call. Instances closer to the store claim first.
     */
    readonly storeRoundTripMs: () => number | undefined;
    /** How much longer than the round trip the store takes to answer now, in ms. */
    readonly storeExcessMs: () => number;
    /** CPU that the instance has for this office, in cores; less than all of it if it holds others, too. */
    readonly cores: number;
    /** Epoch that the first claim follows, if the shard was part of another one until then. */
    readonly precedingEpoch?: number;
    /** Number of other shards that it leads; left out where leaders do not hand over. */
    readonly otherOffices?: number;
    /** Whether it hands its office over by itself. */
    readonly handsOver?: boolean;
    /** Whether it is ready for the office for which it was named. */
    readonly isWarm?: () => boolean;
    /** @param silentMs Time without a renewal, in ms. @returns Whether a leader that does not renew is gone, as far as is known. */
    readonly isLeaderGone?: (silentMs: number) => boolean;
}

/** Leader election by claims appended to the stream of a shard. */
export class Leadership {
    private readonly machine: Machine<number, LeadershipState, LeadershipEvent, never, LeadershipAction>;
    private readonly didBecomeLeader = Emitter.create<RecordWriter>();
    private readonly didStepDown = Emitter.create<number>();
    private readonly didChangeOffice = Emitter.create<OfficeChange>();
    /** Latest epoch of which a claim or its loss was reported; claims are repeated while the store does not answer. */
    private reportedClaim = 0;
    private reportedLoss = 0;
    /** State of the right to extend leases through an outage that was reported last. */
    private reportedOutage: OutageState = "renewing";
    private latestRecord: LeaderRecord | undefined;
    private leaderLastSeenAt: number | undefined;
    /** Time (ms) at which the current leader's first record was read. */
    private leaderFirstSeenAt: number | undefined;
    private lastReadAt: number | undefined;
    private claimedEpoch = 0;
    /** Whether the leader before the claimed epoch states its leases, or there was none. */
    private formerStatesLeases: boolean | undefined;
    /** Latest epoch in which this instance led. Once it has stepped down, it does not lead in that epoch again. */
    private ledEpoch = 0;
    /** Offset of the latest record of a leader that was read. */
    private latestOffset = 0;
    /** Offset of the first record of the latest leader that was read. */
    private firstOffset = 0;
    /** Offset of the claim with which this instance became the leader. */
    private claimOffset = 0;
    private nextClaimAt = 0;
    private nextRenewalAt = 0;
    /** Time (ms) at which the renewal was due that is not sent yet. */
    private unsentDueAt: number | undefined;
    /** Delay of the latest renewals, in ms. */
    private lateMs = 0;
    /** Time (ms) until which this leader counts as taking over. */
    private takingOverUntil = Infinity;
    private now = 0;
    private suspendedAt: number | undefined;
    private ownSuccessor: string | undefined;
    /** Time (ms) at which the first claim of the claimed epoch was sent. */
    private claimedAt = 0;
    private readonly leases: LeaderLeases;

    /**
     * Time (ms) at which the leader's latest confirmed renewal was sent, or the claim if there is none. A successor has read
     * it before it leads, and knows from then on how long leases may still be extended.
     */
    renewedAt: number | undefined;
    /** Epoch since which all leaders have kept to the records of leases, if this instance leads. */
    leasesSince = 0;

    /** Writer of the leader's records; `undefined` unless this instance leads. */
    writer: RecordWriter | undefined;

    /** Fires when this instance becomes the leader. */
    readonly onDidBecomeLeader = this.didBecomeLeader.event;
    /** Fires with the lost epoch when this instance is no longer the leader. */
    readonly onDidStepDown = this.didStepDown.event;
    /** Fires when this instance claims, loses a claim, or is deposed although it is alive; once for each epoch. */
    readonly onDidChangeOffice = this.didChangeOffice.event;

    private constructor(
        private readonly candidate: LeadershipCandidate,
        private readonly follower: RecordFollower,
        private readonly effects: EffectSink<RecordEffect>,
        private readonly shard: number,
        private readonly knowledge: LeaseKnowledge,
    ) {
        this.leases = LeaderLeases.create(knowledge, shard);
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                sendClaim: now => this.sendClaim(now),
                startLeading: now => this.startLeading(now),
                reportLostClaim: () => this.reportLostClaim(),
                reportDeposed: now => this.reportDeposed(now),
                stepDown: () => this.stepDown(),
                writeResignation: () => this.writeRecord(true),
            },
        });
    }

    /**
     * @param candidate This instance.
     * @param follower Follows the stream that holds the claims.
     * @param effects Receives claims and appends.
     * @param shard Number of the shard.
     * @param knowledge What is known of the leases of former leaders.
     * @returns An election in which this instance is on standby.
     */
    static create(
        candidate: LeadershipCandidate,
        follower: RecordFollower,
        effects: EffectSink<RecordEffect>,
        shard: number,
        knowledge: LeaseKnowledge,
    ): Leadership {
        return new Leadership(candidate, follower, effects, shard, knowledge);
    }

    /** Epoch of the latest known leader, or 0. */
    get epoch(): number {
        return this.latestRecord?.epoch ?? 0;
    }

    /** Name of the latest known leader, or `undefined`. */
    get leader(): string | undefined {
        return this.latestRecord?.instance;
    }

    /** Whether this instance leads, or may soon: its claim is in flight. */
    get isCandidate(): boolean {
        return this.isLeading || this.machine.state === "claiming";
    }

    /** Whether this instance leads. */
    get isLeading(): boolean {
        return this.writer !== undefined;
    }

    /**
     * Whether every record before the claim of this leader was read. While the stream is loaded, the claim may be read in a
     * page before records that were appended earlier.
     */
    get hasReadUpToClaim(): boolean {
        return this.follower.isLoaded && this.follower.nextOffset > this.claimOffset;
    }

    /**
     * Time (ms) by which all leases have ended that former leaders extended. It is earlier once that is known, and in the past if there is
     * none. `undefined` if the last one is of a version that extends leases after any append.
     */
    get formerLeasesEndBy(): number | undefined {
        return this.leases.formersEndBy(this.claimedEpoch);
    }

    /** Time (ms) up to which leases may be extended, or `undefined` if none may be extended now. */
    get leasesMayLastUntil(): number | undefined {
        return this.canExtendLeases() ? this.leases.mayLastUntil : undefined;
    }

    /** Fence of the orders of this leader. */
    get fence(): number {
        return this.leases.fence;
    }

    /** Latest renewal of a former leader, if there is one. */
    get formerRenewal(): RenewalRecord | undefined {
        return this.leases.formerRenewal;
    }

    /** @param worker A worker. @returns Whether its answer is awaited before leases are extended through an outage of the store. */
    isAwaited(worker: string): boolean {
        return this.leases.isAwaited(worker);
    }

    /** Records that a worker has accepted an order of this leader. */
    recordWorkerAnswer(answer: WitnessAnswer): void {
        this.leases.recordAnswer(answer);
        this.reportOutageRight();
    }

    /** Records that a former leader has not raised its fence since its latest renewal, and cannot. @param epoch Its epoch. */
    recordUnraised(epoch: number): void {
        this.leases.recordUnraised(epoch);
        // The next leader cannot find it out again: the witnesses have seen the fence of this one.
        this.nextRenewalAt = this.now;
        const formerLeasesMs = Math.round(Math.max(0, (this.formerLeasesEndBy ?? this.now) - this.now));
        this.didChangeOffice.fire({ kind: "former-unraised", epoch, formerLeasesMs });
    }

    /** What shows when the leases of former leaders end. */
    get formerBasis(): FormerLeaseBasis {
        return this.leases.formerBasis(this.claimedEpoch);
    }

    /** Whether no resignation is waiting to be stored. */
    get isResignationStored(): boolean {
        return this.machine.state !== "resigning" || this.writer?.isFlushed !== false;
    }

    /**
     * Whether orders may be sent. After a suspension of the process, the store must confirm the epoch again.
     * @returns Whether this instance leads, has not resigned, and was not suspended since its latest confirmed renewal.
     */
    canSendOrders(): boolean {
        return this.machine.state === "leading" && this.canExtendLeases();
    }

    /**
     * Whether leases may be extended. A leader that resigned may extend them until it sees another leader.
     * @returns Whether no other leader was seen and the process was not suspended since its latest confirmed renewal.
     */
    canExtendLeases(): boolean {
        return (
            this.writer !== undefined && (this.suspendedAt === undefined || (this.renewedAt ?? 0) > this.suspendedAt)
        );
    }

    /** Handles the end of a suspension of the process. @param now Time in ms. */
    handleSuspension(now: number): void {
        this.suspendedAt = now;
        this.nextRenewalAt = now;
        this.leases.handleSuspension(now);
    }

    /** Applies a record of the leader's renewals. @param now Time in ms. */
    applyRenewal(record: StoredRecord, now: number): void {
        this.leases.applyRenewal(record, now);
    }

    /**
     * Applies a record read under the leader's key.
     * @param record The record.
     * @param now Time in ms.
     * @param isFollowed Whether every record before it was read, too; not for a record that is read during a load.
     */
    apply(record: StoredRecord, now: number, isFollowed = false): void {
        const latest = record.value === undefined ? undefined : decodeLeader(record.value);
        if (latest === undefined || latest.epoch < this.epoch) {
            return;
        }
        if (latest.epoch > this.epoch) {
            if (!isFollowed && this.latestRecord !== undefined) {
                // A later record of the former leader may be unread.
                this.recordLeader(this.latestRecord, now);
            }
            this.firstOffset = record.offset;
        }
        this.recordLeader(latest, now);
        // A second change of leader would let leases end that this one has not extended yet. One that has just taken over another shard has
        // less for this one, and hands one of them over.
        const hasAsMuch = latest.cores >= (this.latestRecord?.cores ?? 0);
        const isObserved = latest.epoch === this.epoch && latest.takingOver !== true && hasAsMuch;
        this.leaderFirstSeenAt = isObserved ? this.leaderFirstSeenAt : now;
        this.latestRecord = latest;
        this.leaderLastSeenAt = now;
        this.latestOffset = record.offset;
        const isOwn = latest.instance === this.candidate.instance && latest.epoch === this.claimedEpoch;
        if (!isOwn) {
            this.machine.fire("other-leader-seen", now);
        } else if (latest.epoch > this.ledEpoch) {
            this.machine.fire("own-claim-seen", now);
        }
    }

    private recordLeader({ epoch, host, instance, statesLeases, leasesSince }: LeaderRecord, readAt: number): void {
        const isBoundByRenewals = leasesSince !== undefined;
        const { firstOffset: offset } = this;
        this.leases.recordLeader({
            epoch,
            host,
            instance,
            offset,
            readAt,
            statesLeases: statesLeases === true,
            isBoundByRenewals,
        });
    }

    /**
     * Handles the answer to a claim or to an append of the leader. Answers to those of an earlier epoch are ignored.
     * @param event The answer.
     * @param now Time in ms.
     */
    handleAppendAnswer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        if (event.writer === this.claimWriter) {
            if (!event.result.ok) {
                this.machine.fire("claim-failed", now);
            }
        } else if (event.writer === this.writer?.name) {
            this.writer.handleAnswer(event, now);
            if (this.writer.isRejected) {
                this.handleRejection(now);
            }
        }
    }

    /**
     * Steps down after the store rejected an append of this leader, or a worker that knows a later epoch rejected an
     * order.
     * @param now Time in ms.
     */
    handleRejection(now: number): void {
        this.machine.fire("fenced", now);
    }

    /** Gives up leadership before a planned stop. @param now Time in ms. */
    resign(now: number): void {
        this.machine.fire("resign", now);
    }

    /** Lets an instance that is told to stop claim nothing more. @param now Time in ms. */
    withdraw(now: number): void {
        this.machine.fire("withdraw", now);
    }

    /** Instance that the leader has named as its successor, if any. */
    get successor(): string | undefined {
        return this.isLeading ? this.ownSuccessor : this.latestRecord?.successor;
    }

    /** Writer name that answers to the latest claim carry. */
    get claimWriter(): string {
        return claimWriterName(this.shard, this.claimedEpoch);
    }

    /** Time since the latest renewal of another leader that goes on was read, in ms; `undefined` if there is none. */
    get silentMs(): number | undefined {
        const isGone = this.isLeading || this.latestRecord?.resigned === true;
        return isGone || this.leaderLastSeenAt === undefined ? undefined : this.now - this.leaderLastSeenAt;
    }

    /** Whether this instance may claim: it is not stopping. */
    get canBecomeLeader(): boolean {
        return this.machine.state === "standby";
    }

    /** Whether the leader is another instance and has named this one as its successor. */
    get isNamed(): boolean {
        return !this.isLeading && this.successor === this.candidate.instance;
    }

    /** Names the instance that this leader hands over to. @param successor Its name, or `undefined` to hand over no more. */
    nameSuccessor(successor: string | undefined): void {
        this.ownSuccessor = successor;
        if (this.machine.state === "leading") {
            this.nextRenewalAt = this.now + RENEWAL_INTERVAL_MS;
            this.writeRecord(false);
        }
    }

    /**
     * Renews the leader's record if that is due. It is called before each event is handled: while a turn of the loop has many
     * events to handle, timers wait.
     * @param now Time in ms.
     */
    renew(now: number): void {
        this.now = now;
        this.leases.review(now);
        this.reportOutageRight();
        const isDue = now >= this.nextRenewalAt || (this.hasReadUpToClaim && this.leases.isFirstRenewalDue(now));
        if (this.machine.state === "leading" && isDue) {
            this.unsentDueAt ??= Math.min(now, this.nextRenewalAt);
            this.nextRenewalAt = now + RENEWAL_INTERVAL_MS;
            this.writeRecord(false);
        }
    }

    /** Called when the jobs of former leaders are restored, and their workers reached. @param now Time in ms. */
    endTakeover(now: number): void {
        this.takingOverUntil = now + TAKEOVER_SETTLING_MS;
    }

    /** Renews the leader's record, or claims leadership when the leader has timed out. @param now Time in ms. */
    tick(now: number): void {
        this.renew(now);
        if (now >= this.nextClaimAt && this.canClaim()) {
            this.machine.fire("claim", now);
        }
    }

    private canClaim(): boolean {
        const { knownUntil } = this.follower;
        const roundTripMs = this.candidate.storeRoundTripMs();
        if (!this.follower.isLoaded || knownUntil === undefined || roundTripMs === undefined) {
            return false;
        }
        const { candidate, latestRecord } = this;
        const delayMs = claimDelayMs(candidate, latestRecord, { roundTripMs, excessMs: candidate.storeExcessMs() });
        this.recordRead(knownUntil);
        const timeoutMs = this.timeoutMs();
        const isGone = timeoutMs === 0 || candidate.isLeaderGone?.(this.silentMs ?? 0) !== false;
        const silentMs = knownUntil - this.leaderLastSeenAt!;
        return (
            (this.isNamed && candidate.isWarm?.() === true) ||
            (isGone && silentMs > timeoutMs + delayMs) ||
            this.mayReplace(knownUntil)
        );
    }

    private mayReplace(knownUntil: number): boolean {
        const { candidate, latestRecord } = this;
        return (
            latestRecord !== undefined &&
            isMuchStronger(candidate, latestRecord.cores) &&
            knownUntil - (this.leaderFirstSeenAt ?? knownUntil) > observationMs(candidate, latestRecord)
        );
    }

    private timeoutMs(): number {
        const hasEnded = this.latestRecord !== undefined && this.hasLeaderEnded;
        // Where leaders hand over, their progress tells one that is late from one that is gone.
        const excessMs = this.candidate.handsOver === true ? 0 : this.candidate.storeExcessMs();
        return leaderTimeoutMs(this.latestRecord, hasEnded, excessMs);
    }

    private get hasLeaderEnded(): boolean {
        const { host, instance } = this.latestRecord!;
        return this.knowledge.hosts.endOf({ host, instance, offset: this.firstOffset }) !== undefined;
    }

    private recordRead(knownUntil: number): void {
        const isOutageOver = this.lastReadAt !== undefined && knownUntil - this.lastReadAt > STORE_OUTAGE_THRESHOLD_MS;
        this.leaderLastSeenAt = isOutageOver ? knownUntil : (this.leaderLastSeenAt ?? knownUntil);
        this.lastReadAt = knownUntil;
    }

    private sendClaim(now: number): void {
        const nextEpoch = Math.max(this.epoch, this.candidate.precedingEpoch ?? 0) + 1;
        if (this.claimedEpoch !== nextEpoch) {
            this.claimedAt = now;
        }
        this.formerStatesLeases = this.latestRecord === undefined || this.latestRecord.statesLeases;
        this.claimedEpoch = nextEpoch;
        this.takingOverUntil = Infinity;
        this.unsentDueAt = undefined;
        this.lateMs = 0;
        this.ownSuccessor = undefined;
        this.leasesSince = this.latestRecord?.leasesSince ?? this.claimedEpoch;
        this.nextClaimAt = now + MIN_CLAIM_INTERVAL_MS;
        this.reportClaim();
        this.effects.emit({
            kind: "append",
            writer: claimWriterName(this.shard, this.claimedEpoch),
            stream: this.follower.stream,
            append: {
                producer: { name: leaderProducer(this.shard), epoch: this.claimedEpoch },
                sequence: this.candidate.nonce,
                // Of two claims of one epoch, the store rejects the second: its number does not follow the first's.
                records: [{ key: leaderKey(this.shard), value: this.encodeRecord(false) }],
            },
        });
    }

    private reportClaim(): void {
        const { epoch, leader, follower, leaderLastSeenAt, claimedEpoch } = this;
        if (this.reportedClaim === claimedEpoch) {
            return;
        }
        this.reportedClaim = claimedEpoch;
        const silentMs = epoch === 0 ? undefined : Math.round((follower.knownUntil ?? 0) - (leaderLastSeenAt ?? 0));
        const timeoutMs = Math.round(this.timeoutMs());
        this.didChangeOffice.fire({ kind: "leader-claimed", epoch: claimedEpoch, former: leader, silentMs, timeoutMs });
    }

    private reportOutageRight(): void {
        const { outageState: state, fence } = this.leases;
        if (state !== this.reportedOutage && this.isLeading) {
            this.reportedOutage = state;
            const renewalAgeMs = Math.round(this.now - (this.renewedAt ?? this.now));
            this.didChangeOffice.fire({ kind: "outage-right", state, fence, renewalAgeMs });
        }
    }

    private reportLostClaim(): void {
        const { claimedEpoch, epoch } = this;
        if (this.reportedLoss !== claimedEpoch) {
            this.reportedLoss = claimedEpoch;
            const leader = epoch >= claimedEpoch ? this.leader : undefined;
            this.didChangeOffice.fire({ kind: "claim-lost", epoch: claimedEpoch, leader });
        }
    }

    private reportDeposed(now: number): void {
        const { claimedEpoch, epoch } = this;
        const leader = epoch > claimedEpoch ? this.leader : undefined;
        if (this.ownSuccessor !== undefined && (leader === undefined || leader === this.ownSuccessor)) {
            return;
        }
        const renewalAgeMs = Math.round(now - (this.renewedAt ?? now));
        this.didChangeOffice.fire({ kind: "leader-deposed", epoch: claimedEpoch, leader, renewalAgeMs });
    }

    private startLeading(now: number): void {
        const producer = { name: leaderProducer(this.shard), epoch: this.claimedEpoch };
        const { stream } = this.follower;
        const name = leaderWriterName(this.shard, this.claimedEpoch);
        this.writer = RecordWriter.create(name, stream, producer, this.effects, this.candidate.nonce);
        this.ledEpoch = this.claimedEpoch;
        // The claim may be read late: a successor may count from the time at which it was stored.
        this.renewedAt = this.claimedAt;
        this.claimOffset = this.latestOffset;
        this.nextRenewalAt = now + RENEWAL_INTERVAL_MS;
        this.leases.begin(this.claimedEpoch, now);
        this.didBecomeLeader.fire(this.writer);
    }

    private stepDown(): void {
        this.writer = undefined;
        this.didStepDown.fire(this.claimedEpoch);
    }

    private writeRecord(resigned: boolean): void {
        const onStored = (sentAt: number) => (this.renewedAt = sentAt);
        this.writer!.write(leaderKey(this.shard), () => this.encodeRecord(resigned), onStored);
        if (this.hasReadUpToClaim) {
            this.leases.writeRenewal(this.writer!, () => this.now);
        }
    }

    /** A leader that was late may be again: the delay is forgotten by half with each renewal. */
    private takeLateMs(): number | undefined {
        const delayMs = this.now - (this.unsentDueAt ?? this.now);
        this.unsentDueAt = undefined;
        this.lateMs = Math.max(delayMs, this.lateMs / 2);
        return this.lateMs < MIN_LATE_MS ? undefined : Math.round(this.lateMs);
    }

    private encodeRecord(resigned: boolean): string {
        const { instance, host, cores } = this.candidate;
        const { leasesSince } = this;
        const takingOver = this.now < this.takingOverUntil ? true : undefined;
        // Until a renewal is stored, the leases of a leader of an earlier version are stated nowhere.
        const statesLeases = this.leases.hasStated || this.formerStatesLeases;
        const state = { takingOver, leasesSince, statesLeases, lateMs: this.takeLateMs() };
        const handsOver = this.candidate.handsOver === true ? true : undefined;
        const record: LeaderRecord = { epoch: this.claimedEpoch, instance, host, cores, ...state, handsOver };
        return JSON.stringify(resigned ? { ...record, resigned } : { ...record, successor: this.ownSuccessor });
    }
}
