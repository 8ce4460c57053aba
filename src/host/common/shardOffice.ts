import { LoopDelay } from "../../base/common/loopDelay";
import { EffectSink } from "../../base/common/effectSink";
import { CapacityShardPlanner } from "../../dispatch/common/shards/capacityShardPlanner";
import { DispatchLimits } from "../../dispatch/common/scheduler/dispatchLimits";
import { LeaseTable } from "../../dispatch/common/workers/leaseTable";
import { Scheduler } from "../../dispatch/common/scheduler/scheduler";
import { ShardFleet } from "../../dispatch/common/shards/shardFleet";
import { ShardLoadTable } from "../../dispatch/common/shards/shardLoadTable";
import { StartLoad } from "../../dispatch/common/runs/startWindow";
import { TransferPolicy } from "../../dispatch/common/shards/transferPolicy";
import { EvacuationTable } from "../../dispatch/common/workers/evacuationTable";
import { EntryReading } from "../../dispatch/common/workers/workerEntry";
import { WorkerEvent } from "../../dispatch/common/workers/workerMessages";
import { JobTable } from "../../jobs/common/jobTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { ShardJobs } from "../../jobs/common/shardJobs";
import { FIRST_SHARD } from "../../jobs/common/shardPlan";
import { ShardTable } from "../../jobs/common/shardTable";
import { Leadership } from "../../records/common/leadership";
import { HostTable } from "../../records/common/hostTable";
import { WitnessClocks } from "../../records/common/witnessClocks";
import { RecordEvent } from "../../records/common/recordEvents";
import { RecordFollower } from "../../records/common/recordFollower";
import { RecordWriter } from "../../records/common/recordWriter";
import { FleetDivision } from "./fleetDivision";
import { JobInstanceEffect } from "./jobInstanceEvents";
import { JobInstanceIdentity } from "./jobInstanceIdentity";
import { OfficeHandover } from "./officeHandover";
import { Takeover, TakeoverHost } from "./takeover";
import { WorkerTable } from "./workerTable";

type AppendAnswer = RecordEvent & { readonly kind: "append-answer" };
type ProgressAnswer = RecordEvent & { readonly kind: "read-answer" | "newest-answer" };

/** Time after its beginning for which an epoch counts as a takeover at most, in ms: the shortest lease of workers. */
const MAX_CONTACT_MS = 6_000;

/** Age of the latest confirmed renewal from which a leader shows in its progress that it goes on, and the interval of that, in ms. */
const MAX_RENEWAL_AGE_MS = 900;
const RESTATE_INTERVAL_MS = 300;

/** What the offices of one instance share. */
export interface OfficeContext {
    readonly identity: JobInstanceIdentity;
    readonly limits: DispatchLimits;
    readonly jobs: JobTable;
    readonly queues: QueueTable;
    readonly evacuations: EvacuationTable;
    readonly shards: ShardTable;
    readonly loads: ShardLoadTable;
    readonly hosts: HostTable;
    readonly transferPolicy: TransferPolicy;
    readonly workers: WorkerTable;
    readonly jobsFollower: RecordFollower;
    readonly operatorFollower: RecordFollower;
    readonly workersFollower: RecordFollower;
    readonly loopDelay: LoopDelay;
    readonly effects: EffectSink<JobInstanceEffect>;
    /** @param shard A shard. @returns Number of the other shards that this instance leads, or may soon. */
    readonly countOtherOffices: (shard: number) => number;
    /** @param shard A shard. @returns Offices of the other shards. */
    readonly otherOffices: (shard: number) => readonly ShardOffice[];
    /** Whether leaders hand their shards over. */
    readonly handsOver: () => boolean;
}

/** Spreads the claims of one instance over its offices, in ms, so that usually a different instance claims each shard first. */
const CLAIM_SPREAD_MS = 83;

/** The part of one instance in the leadership of one shard: takes part in its election, and schedules its jobs while it leads. */
export class ShardOffice {
    readonly leases: LeaseTable;
    /** Clocks of the workers of the shard. */
    private readonly clocks = WitnessClocks.create();
    private readonly leadership: Leadership;
    private readonly handover: OfficeHandover;
    private readonly jobs: ShardJobs;
    private readonly fleet: ShardFleet;
    private readonly effects: EffectSink<JobInstanceEffect>;
    private scheduler: Scheduler | undefined;
    private takeover: Takeover | undefined;
    private division: FleetDivision | undefined;
    private now = 0;
    /** Time (ms) at which the epoch began, while it counts as a takeover. */
    private beganAt: number | undefined;
    /** Time (ms) from which the progress may show again that this leader goes on. */
    private restateAt = 0;

    private constructor(
        readonly shard: number,
        private readonly context: OfficeContext,
    ) {
        const { identity, jobs, shards, jobsFollower } = context;
        this.leases = LeaseTable.create(shard, this.clocks);
        this.jobs = ShardJobs.create(jobs, shards, shard);
        this.effects = shard === FIRST_SHARD ? context.effects : createNamingSink(context.effects, shard);
        this.fleet = {
            shard,
            loads: context.loads,
            policy: context.transferPolicy,
            workersOf: number => context.workers.entriesOf(number).filter(each => !context.evacuations.includes(each)),
            get count() {
                return shards.count;
            },
        };
        const candidate = {
            instance: identity.instance,
            host: identity.host,
            nonce: identity.nonce + shard * CLAIM_SPREAD_MS,
            storeRoundTripMs: identity.storeRoundTripMs,
            storeExcessMs: identity.storeExcessMs ?? (() => 0),
            get cores() {
                return identity.cores / (1 + context.countOtherOffices(shard));
            },
            get precedingEpoch() {
                return shards.plan?.epoch;
            },
            get otherOffices() {
                return context.handsOver() ? context.countOtherOffices(shard) : undefined;
            },
            get handsOver() {
                return context.handsOver();
            },
            isWarm: () => this.handover.isWarm,
            isLeaderGone: (silentMs: number) => this.handover.isLeaderGone(silentMs),
        };
        const { hosts, limits } = context;
        const knowledge = { hosts, clocks: this.clocks, longestLeaseMs: limits.longestLeaseMs };
        this.leadership = Leadership.create(candidate, jobsFollower, this.effects, shard, knowledge);
        this.handover = this.createHandover(() => candidate.cores);
        this.leadership.onDidBecomeLeader(writer => this.startTakeover(writer));
        this.leadership.onDidStepDown(() => this.stopScheduling());
        this.leadership.onDidChangeOffice(({ kind, ...data }) =>
            this.effects.emit({ kind: "decision", name: kind, data }),
        );
    }

    /** @param shard Number of the shard. @param context What the offices share. @returns An office on standby. */
    static create(shard: number, context: OfficeContext): ShardOffice {
        return new ShardOffice(shard, context);
    }

    /** Whether the instance leads the shard. */
    get isLeading(): boolean {
        return this.leadership.isLeading;
    }

    /** Whether the instance leads the shard, or may soon. */
    get isCandidate(): boolean {
        return this.leadership.isCandidate;
    }

    /** Whether the shard has had a leader. */
    get hasHadLeader(): boolean {
        return this.leadership.epoch > 0;
    }

    /** Whether no successor is awaited, and no resignation is waiting to be stored. */
    get isResignationStored(): boolean {
        return this.leadership.isResignationStored && !this.handover.isAwaiting;
    }

    /** Whether the leader of the shard awaits its successor, as its latest record or this office says. */
    get isHandingOver(): boolean {
        return this.handover.isAwaiting;
    }

    /** Whether the instance gets ready to lead the shard. */
    get isWarming(): boolean {
        return this.handover.isWarming;
    }

    /** The leader of the shard, and the successor that it has named. */
    get engagedInstances(): string[] {
        return [this.leadership.leader ?? [], this.leadership.successor ?? []].flat();
    }

    /** The starts in flight, if the instance schedules the shard. */
    get startLoad(): StartLoad | undefined {
        return this.scheduler?.startLoad;
    }

    /** Hands the shard over, or resigns, before a planned stop. @param now Time in ms. */
    stop(now: number): void {
        this.handover.stop(now);
    }

    /** Renews the record of the leader if that is due. @param now Time in ms. */
    renew(now: number): void {
        this.now = now;
        this.leadership.renew(now);
    }

    /** Handles what is due. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    tick(now: number, wallNow: number): void {
        if (this.shard < this.context.shards.count) {
            this.leadership.tick(now);
        }
        this.scheduler?.tick(now, wallNow);
        this.reviewTakeover(now);
        this.handover.tick(now);
        this.reviewRenewals(now);
    }

    /** While the store confirms no renewal, the progress shows the others that this leader goes on: they look at it then. */
    private reviewRenewals(now: number): void {
        const { renewedAt = now } = this.leadership;
        const isUnconfirmed = now - renewedAt > MAX_RENEWAL_AGE_MS && this.leadership.canSendOrders();
        if (this.context.handsOver() && isUnconfirmed && now >= this.restateAt) {
            this.restateAt = now + RESTATE_INTERVAL_MS;
            this.takeover?.restate();
        }
    }

    /** Ends the takeover once the leases of all inherited runs are extended, or cannot be extended in time. */
    private reviewTakeover(now: number): void {
        const { beganAt } = this;
        if (beganAt !== undefined && (this.scheduler?.isAwaitingWorkers !== true || now - beganAt >= MAX_CONTACT_MS)) {
            this.beganAt = undefined;
            this.leadership.endTakeover(now);
            this.handover.settle(now);
        }
    }

    /**
     * Continues a takeover, divides the fleet, and assigns waiting tasks.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    advance(now: number, wallNow: number): void {
        this.handover.advance(now);
        this.takeover?.advance(now);
        // Before the first task is assigned.
        this.reviewDivision(now);
        if (this.division?.isStoring !== true) {
            this.scheduler?.schedule(now, wallNow);
        }
    }

    /** Sends the records that the leader has written. @param now Time in ms. */
    flush(now: number): void {
        this.leadership.writer?.flush(now);
        this.takeover?.writer.flush(now);
    }

    /** Handles the answer to an append, if this office has sent it. @param now Time in ms. */
    handleAppendAnswer(event: AppendAnswer, now: number): void {
        const { takeover } = this;
        if (event.writer !== takeover?.writer.name) {
            const wasCandidate = this.isCandidate && !this.isLeading;
            this.leadership.handleAppendAnswer(event, now);
            if (
                wasCandidate &&
                event.writer === this.leadership.claimWriter &&
                event.result.ok &&
                this.context.handsOver()
            ) {
                // The leader is known only when its claim is read.
                this.context.jobsFollower.hasten();
            }
            return;
        }
        takeover.handleAppendAnswer(event, now);
        if (takeover.writer.isRejected) {
            this.leadership.handleRejection(now);
        }
    }

    /** Handles the answer to a read of progress, if this office has sent it. @param now Time in ms. */
    handleProgressAnswer(event: ProgressAnswer, now: number): void {
        this.handover.handleStoreAnswer(event, now);
        if (event.kind === "newest-answer" && event.stream === this.takeover?.stream) {
            this.takeover.handleAnswer(event);
        }
    }

    /** Handles an answer of a worker, if it is one of this office. @param now Time in ms. */
    handleWorkerAnswer(event: WorkerEvent, now: number): void {
        this.scheduler?.handleWorkerAnswer(event, now);
    }

    /** Handles a suspension of the process. @param now Time in ms. */
    handleSuspension(now: number): void {
        this.leadership.handleSuspension(now);
        this.scheduler?.handleSuspension();
    }

    /**
     * Applies the record that names the leader of the shard.
     * @param now Time in ms.
     * @param isFollowed Whether every record before it was read, too.
     */
    applyLeader(record: Parameters<Leadership["apply"]>[0], now: number, isFollowed: boolean): void {
        this.leadership.apply(record, now, isFollowed);
    }

    /** Applies the latest renewal of the leader of the shard. @param now Time in ms. */
    applyRenewal(record: Parameters<Leadership["applyRenewal"]>[0], now: number): void {
        this.leadership.applyRenewal(record, now);
    }

    /** Updates a worker of the shard, or deregisters a worker. @param now Time in ms. */
    updateWorker(id: string, reading: EntryReading | undefined, now: number): void {
        if (reading === undefined || this.context.workers.shardOf(id) === this.shard) {
            this.scheduler?.updateWorker(id, reading, now);
        }
    }

    /** Deregisters all workers but these. */
    retainWorkers(ids: ReadonlySet<string>): void {
        this.scheduler?.retainWorkers(ids);
    }

    /** Leaves the jobs and the workers of other shards to their leaders. */
    divide(): void {
        this.division?.recordDivided();
        this.scheduler?.release(
            id => this.jobs.has(id),
            id => this.context.workers.shardOf(id) === this.shard,
        );
        if (this.scheduler !== undefined) {
            // The first leader began its epoch before there were shards to hand over.
            this.handover.begin();
        }
    }

    /** Whether all jobs are known of which a former leader may have stored progress. */
    get isCaughtUp(): boolean {
        return this.leadership.hasReadUpToClaim;
    }

    /** @returns A scheduler for the epoch that a takeover begins. @param writer Writer of the leader's records. */
    createScheduler(takeover: Takeover, writer: RecordWriter): Scheduler {
        const {
            queues,
            evacuations,
            limits,
            jobsFollower,
            operatorFollower,
            workersFollower,
            loopDelay: loop,
        } = this.context;
        const { jobs, leadership, leases, clocks, effects } = this;
        const { progress, learnedInterference } = takeover;
        const views = { jobs: jobsFollower, configuration: operatorFollower, workers: workersFollower, loop };
        const tables = { jobs, progress, queues, evacuations, leases, clocks };
        const { work } = this.context.identity;
        const { fleet } = this;
        const context = { ...tables, leadership, views, limits, learnedInterference, effects, work, fleet };
        const writers = { jobs: writer, progress: takeover.writer };
        return Scheduler.create(context, leadership.epoch, writers, this.now);
    }

    /** Begins an epoch with the restored jobs. @param tookMs Time that the takeover took, in ms. */
    beginEpoch(scheduler: Scheduler, writer: RecordWriter, tookMs: number): void {
        this.scheduler = scheduler;
        this.context.workers.all.forEach((reading, id) => this.updateWorker(id, reading, this.now));
        scheduler.begin(this.now, tookMs, this.takeover?.isPrepared);
        this.handover.begin();
        this.beganAt = this.now;
        this.reviewTakeover(this.now);
        if (this.shard === FIRST_SHARD && this.context.shards.plan === undefined) {
            const leader = { epoch: this.leadership.epoch, cores: this.context.identity.cores, writer };
            this.division = FleetDivision.create(leader, CapacityShardPlanner.create(), this.now);
        }
    }

    private reviewDivision(now: number): void {
        const { division, scheduler, takeover } = this;
        if (division === undefined || division.isDecided || scheduler === undefined || takeover === undefined) {
            return;
        }
        const { workers } = this.context;
        const hasAssigned = scheduler.hasAssigned || !takeover.progress.isEmpty;
        division.review({ now, workers, hasJobs: scheduler.hasJobs, hasAssigned });
    }

    private startTakeover(writer: RecordWriter): void {
        const { workersFollower, operatorFollower, identity } = this.context;
        const { epoch } = this.leadership;
        workersFollower.hasten();
        operatorFollower.hasten();
        const host = new OfficeTakeoverHost(this, writer);
        const start = this.handover.startTakeover();
        this.takeover = Takeover.create(epoch, identity.nonce, () => this.now, this.effects, host, this.shard, start);
    }

    private createHandover(cores: () => number): OfficeHandover {
        const { shard, leadership, effects, context } = this;
        const { identity, hosts, jobsFollower, workersFollower, operatorFollower, handsOver, limits } = context;
        return OfficeHandover.create({
            shard,
            instance: identity.instance,
            get graceMs() {
                return handsOver() ? limits.handoverGraceMs : undefined;
            },
            leadership,
            effects,
            cores,
            profiles: () => hosts.profiles,
            engaged: () => new Set(context.otherOffices(shard).flatMap(office => office.engagedInstances)),
            isHandingOverElsewhere: () => context.otherOffices(shard).some(office => office.isHandingOver),
            onDidStartWarmup: () => [jobsFollower, workersFollower, operatorFollower].forEach(each => each.hasten()),
        });
    }

    private stopScheduling(): void {
        this.handover.stepDown(this.leadership.leader, this.now);
        this.takeover?.dispose();
        this.takeover = undefined;
        this.scheduler = undefined;
        this.beganAt = undefined;
        this.division = undefined;
    }
}

class OfficeTakeoverHost extends TakeoverHost {
    private scheduler: Scheduler | undefined;

    constructor(
        private readonly office: ShardOffice,
        private readonly writer: RecordWriter,
    ) {
        super();
    }

    override get isCaughtUp(): boolean {
        return this.office.isCaughtUp;
    }

    override prepare(takeover: Takeover): Scheduler {
        this.scheduler = this.office.createScheduler(takeover, this.writer);
        return this.scheduler;
    }

    override begin(tookMs: number): void {
        this.office.beginEpoch(this.scheduler!, this.writer, tookMs);
    }
}

/** @returns A sink that adds the shard to the lines of the decision log. */
function createNamingSink(effects: EffectSink<JobInstanceEffect>, shard: number): EffectSink<JobInstanceEffect> {
    return {
        emit: effect =>
            effects.emit(effect.kind === "decision" ? { ...effect, data: { ...effect.data, shard } } : effect),
    };
}
