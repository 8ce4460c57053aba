import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { DelayReport, LoopDelay } from "../../base/common/loopDelay";
import { Machine } from "../../base/common/machine";
import { Outbox } from "../../base/common/outbox";
import { DispatchLimits } from "../../dispatch/common/scheduler/dispatchLimits";
import { EvacuationTable } from "../../dispatch/common/workers/evacuationTable";
import { parseLeaseKey } from "../../dispatch/common/workers/leaseRecord";
import { RoomTransferPolicy } from "../../dispatch/common/shards/roomTransferPolicy";
import { parseLoadKey } from "../../dispatch/common/shards/shardLoad";
import { ShardLoadTable } from "../../dispatch/common/shards/shardLoadTable";
import { addLoads, StartLoad } from "../../dispatch/common/runs/startWindow";
import { TransferPolicy } from "../../dispatch/common/shards/transferPolicy";
import { ConfigurationView } from "../../jobs/common/configurationView";
import { JobCallHandler } from "../../jobs/common/jobCallHandler";
import { JobState } from "../../jobs/common/jobSpec";
import { JobTable, visibleStateOf } from "../../jobs/common/jobTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { FIRST_SHARD, ShardPlan } from "../../jobs/common/shardPlan";
import { ShardTable } from "../../jobs/common/shardTable";
import { encodeHost, hostKey, HostRecord, parseHostKey } from "../../records/common/hostRecord";
import { HostTable } from "../../records/common/hostTable";
import { StoredRecord } from "../../records/common/record";
import { RecordFollower } from "../../records/common/recordFollower";
import { RecordEvent } from "../../records/common/recordEvents";
import { StreamName } from "../../records/common/recordStore";
import { RecordWriter } from "../../records/common/recordWriter";
import { parseRenewalKey } from "../../records/common/renewalRecord";
import { parseLeaderKey } from "../../records/common/shardNames";
import { EntryDecoder } from "./entryDecoder";
import chartText from "./jobInstance.chart.yaml";
import { JobInstanceEffect, JobInstanceEvent } from "./jobInstanceEvents";
import { JobInstanceIdentity } from "./jobInstanceIdentity";
import { JobsReceiver } from "./jobsReceiver";
import { LoadSequence } from "./loadSequence";
import { MalformedKeys } from "./malformedKeys";
import { OperatorReceiver } from "./operatorReceiver";
import { createReadTimings } from "./readTimings";
import { LifecycleState, Readiness } from "./readiness";
import { OfficeContext, ShardOffice } from "./shardOffice";
import { WorkersReceiver } from "./workersReceiver";
import { WorkerTable } from "./workerTable";

type LifecycleEvent = "loaded" | "divided" | "stop" | "drained" | "out-of-time";
type LifecycleAction = "writeHost" | "writeProfile" | "stopLeading" | "answerOpenCalls" | "reportStopped";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LifecycleState, LifecycleEvent, never, LifecycleAction>(chartText, "jobInstance.chart.yaml", {
        states: ["loading", "serving", "stopping", "stopped"],
        events: ["loaded", "divided", "stop", "drained", "out-of-time"],
        guards: [],
        actions: ["writeHost", "writeProfile", "stopLeading", "answerOpenCalls", "reportStopped"],
    }),
);

/** Drift between the monotonic clock and the time of day that counts as a suspension of the process. */
const SUSPENSION_THRESHOLD_MS = 200;

/** Time that a stopping instance keeps answering, so that the platform notices that it is not ready. */
const SHUTDOWN_GRACE_PERIOD_MS = 2_200;

/**
 * Time before the end of the grace period at which an instance stops in any case, in ms: its last answers and log lines are sent, also
 * by a machine that is slow.
 */
const SHUTDOWN_MARGIN_MS = 1_000;

/** Limit of a request body before the first configuration. Such requests are rejected, since no queue is known. */
const UNCONFIGURED_MAX_BODY_BYTES = 262_144;

/** Decision logic of one instance: handles calls, takes part in leader election, and schedules while it leads. */
export class JobInstance {
    /** How late the events of this instance are handled. */
    readonly loopDelay = LoopDelay.create();
    private readonly outbox = Outbox.create<JobInstanceEffect>();
    private readonly lifecycle: Machine<number, LifecycleState, LifecycleEvent, never, LifecycleAction>;
    private readonly jobs = JobTable.create();
    private readonly queues = QueueTable.create();
    private readonly evacuations = EvacuationTable.create();
    private readonly shards = ShardTable.create();
    private readonly loads = ShardLoadTable.create();
    private readonly hosts = HostTable.create();
    private readonly workers = WorkerTable.create(this.shards);
    private readonly jobsFollower: RecordFollower;
    private readonly operatorFollower: RecordFollower;
    private readonly workersFollower: RecordFollower;
    private startupLoads: LoadSequence | undefined;
    private readonly submissionWriter: RecordWriter;
    /** The offices of this instance, by shard. */
    private readonly offices: ShardOffice[] = [];
    private readonly configurationView: ConfigurationView;
    private readonly callHandler: JobCallHandler;
    private readonly malformedWorkers = MalformedKeys.create();
    private readonly readiness: Readiness;
    private clockOffset: number | undefined;
    private startedAt = 0;
    private stoppingSince = 0;
    private now = 0;

    private constructor(
        private readonly identity: JobInstanceIdentity,
        private readonly limits: DispatchLimits,
        private readonly decoder: EntryDecoder,
        private readonly transferPolicy: TransferPolicy,
    ) {
        const { outbox } = this;
        const timings = createReadTimings(identity.nonce, limits.configurationMs, () => this.isActive);
        this.jobsFollower = RecordFollower.create("jobs", JobsReceiver.create(this), timings.jobs, outbox);
        this.operatorFollower = RecordFollower.create(
            "operator",
            this.createOperatorReceiver(),
            timings.operator,
            outbox,
        );
        this.workersFollower = RecordFollower.create("workers", WorkersReceiver.create(this), timings.workers, outbox);
        const producer = { name: identity.instance, epoch: 1 };
        this.submissionWriter = RecordWriter.create("submissions", "jobs", producer, outbox);
        this.ensureOffice(FIRST_SHARD);
        this.configurationView = ConfigurationView.create(this.operatorFollower, this.queues, limits.configurationMs);
        this.configurationView.onDidChange(({ state, ...data }) => {
            const name = state === "old" ? "config-old" : "config-recent";
            outbox.emit({ kind: "decision", name, data });
        });
        this.callHandler = JobCallHandler.create(
            this.jobs,
            this.queues,
            this.submissionWriter,
            { jobs: this.jobsFollower, configuration: this.configurationView },
            (call, answer) => outbox.emit({ kind: "answer", call, answer }),
            limits.maxJobBytes,
        );
        this.jobs.onDidIgnore(({ key, offset }) => this.logMalformed("jobs", key, offset));
        this.shards.onDidIgnore(({ key, offset }) => this.logMalformed("jobs", key, offset));
        this.shards.onDidDivide(plan => this.divide(plan));
        this.loopDelay.onDidChange(report => this.logDelay(report));
        this.lifecycle = this.createLifecycle();
        this.readiness = this.createReadiness();
    }

    /**
     * @param identity Identity and resources of the instance.
     * @param limits Limits of the deployment.
     * @param decoder Decodes the records of the operator and the workers.
     * @param transferPolicy Decides which jobs are transferred between the shards of a divided fleet.
     * @returns The instance. It has no effects before `start`.
     */
    static create(
        identity: JobInstanceIdentity,
        limits: DispatchLimits,
        decoder: EntryDecoder,
        transferPolicy: TransferPolicy = RoomTransferPolicy.create(),
    ): JobInstance {
        return new JobInstance(identity, limits, decoder, transferPolicy);
    }

    /** @param now Time in ms. @returns Whether the instance should receive new connections. */
    isReady(now: number): boolean {
        return this.readiness.isReady(now);
    }

    /** Limit of a request body, in bytes. */
    get maxBodyBytes(): number {
        return this.queues.maxBodyBytes ?? UNCONFIGURED_MAX_BODY_BYTES;
    }

    /** Number of calls that have not been answered. */
    get openCallCount(): number {
        return this.callHandler.openCallCount;
    }

    /** Version of the configuration in force, or `undefined` before the first. */
    get configVersion(): number | undefined {
        return this.queues.version;
    }

    /** Number of failure domains that are evacuated. */
    get evacuatedCount(): number {
        return this.evacuations.size;
    }

    /** Estimated memory of the known jobs, in bytes. */
    get jobBytes(): number {
        return this.jobs.heldBytes;
    }

    /** Number of known jobs. */
    get jobCount(): number {
        return this.jobs.size;
    }

    /** Whether the instance leads a shard. */
    get isLeading(): boolean {
        return this.ledShardCount > 0;
    }

    /** Whether the instance leads a shard, or gets ready to. */
    private get isActive(): boolean {
        return this.offices.some(office => office.isLeading || office.isWarming);
    }

    /** Number of shards that the instance leads. */
    get ledShardCount(): number {
        return this.offices.filter(office => office.isLeading).length;
    }

    /** The starts in flight, if the instance schedules. */
    get startLoad(): StartLoad | undefined {
        return this.offices.flatMap(office => office.startLoad ?? []).reduce(addLoads, undefined);
    }

    /** @param id Identifier of a job. @returns Its state as known to this instance, or `undefined`. */
    stateOfJob(id: string): JobState | undefined {
        const entry = this.jobs.find(id);
        return entry === undefined ? undefined : visibleStateOf(entry);
    }

    /**
     * Starts to follow the streams.
     * @param now Time (ms) by which all former incarnations on the host have ended.
     * @returns The first effects.
     */
    start(now: number): JobInstanceEffect[] {
        this.startedAt = now;
        this.readiness.start(now);
        const followers = [this.jobsFollower, this.operatorFollower, this.workersFollower];
        this.startupLoads = LoadSequence.create(followers, this.identity.loadOrder ?? "together");
        this.startupLoads.advance();
        return this.outbox.drain();
    }

    /**
     * Handles one event.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     * @returns Its effects.
     */
    dispatch(event: JobInstanceEvent, now: number, wallNow: number): JobInstanceEffect[] {
        this.now = now;
        this.detectSuspension(now, wallNow);
        this.offices.forEach(office => office.renew(now));
        switch (event.kind) {
            case "call":
                this.callHandler.handle(event.call, now, wallNow);
                break;
            case "append-answer":
                this.handleAppendAnswer(event, now);
                break;
            case "read-answer":
            case "newest-answer":
                this.handleStoreAnswer(event, now);
                break;
            case "tick":
                this.loopDelay.record(event.dueAt ?? now, now);
                this.tick(now, wallNow);
                break;
            case "stop":
                this.stoppingSince = now;
                this.lifecycle.fire("stop", now);
                break;
            default:
                this.offices.forEach(office => office.handleWorkerAnswer(event, now));
        }
        this.callHandler.tick(now);
        this.offices.forEach(office => office.advance(now, wallNow));
        this.submissionWriter.flush(now);
        this.offices.forEach(office => office.flush(now));
        return this.outbox.drain();
    }

    /**
     * Applies a record of the stream of jobs.
     * @param record The record.
     * @param isFollowed Whether every record before it was read, too.
     */
    applyJobRecord(record: StoredRecord, isFollowed: boolean): void {
        const ledShard = parseLeaderKey(record.key);
        const leaseShard = parseLeaseKey(record.key)?.shard;
        const renewalShard = parseRenewalKey(record.key);
        if (ledShard !== undefined) {
            this.ensureOffice(ledShard).applyLeader(record, this.now, isFollowed);
        } else if (renewalShard !== undefined) {
            this.ensureOffice(renewalShard).applyRenewal(record, this.now);
        } else if (leaseShard !== undefined) {
            this.ensureOffice(leaseShard).leases.apply(record, this.now);
        } else if (parseHostKey(record.key) !== undefined) {
            this.hosts.apply(record, this.now);
        } else if (this.shards.isPlanKey(record.key)) {
            this.shards.apply(record);
        } else if (parseLoadKey(record.key) !== undefined) {
            this.applyLoad(record, isFollowed);
        } else {
            this.jobs.apply(record);
        }
    }

    /** One that is read while the stream is loaded may be of any age. */
    private applyLoad(record: StoredRecord, isFollowed: boolean): void {
        if (isFollowed && !this.loads.apply(record, this.now)) {
            this.logMalformed("jobs", record.key, record.offset);
        }
    }

    /** Applies a record of a worker. @param writtenAfter Time (ms) after which it was certainly written, if known. */
    applyWorkerRecord(record: StoredRecord, writtenAfter: number | undefined): void {
        const entry = this.decoder.decodeWorker(record);
        const isMalformed = entry === undefined && record.value !== undefined;
        if (this.malformedWorkers.update(record.key, isMalformed)) {
            this.logMalformed("workers", record.key, record.offset);
        }
        const reading = entry === undefined ? undefined : { entry, writtenAfter };
        if (reading === undefined) {
            this.workers.delete(record.key);
        } else {
            this.workers.set(record.key, reading);
        }
        this.offices.forEach(office => office.updateWorker(record.key, reading, this.now));
    }

    /** Removes what is known of the leases whose records are not among these keys. */
    retainLeases(keys: ReadonlySet<string>): void {
        this.offices.forEach(office => office.leases.retain(keys));
    }

    /** Removes all workers but these, which are still registered. */
    retainWorkers(ids: ReadonlySet<string>): void {
        this.workers.retain(ids);
        this.malformedWorkers.retain(ids);
        this.offices.forEach(office => office.retainWorkers(ids));
    }

    /**
     * Tells the other instances that a leader which was a former incarnation has ended, if there may have been one, and what this
     * instance is, where leaders hand over.
     */
    private writeHost(): void {
        if (!this.handsOver && !this.offices.some(office => office.hasHadLeader)) {
            return;
        }
        const { instance, host } = this.identity;
        const { startedAt, jobsFollower } = this;
        this.submissionWriter.write(hostKey(host), () => {
            const ageMs = Math.floor(this.now - startedAt);
            return encodeHost({ instance, readTo: jobsFollower.nextOffset, ageMs, ...this.profile });
        });
    }

    /** Tells leaders what this instance is, where they hand their shards over. */
    private writeProfile(): void {
        if (this.handsOver) {
            this.writeHost();
        }
    }

    private get profile(): Pick<HostRecord, "cores" | "storeMs" | "stopping"> {
        if (!this.handsOver) {
            return {};
        }
        const { cores, storeRoundTripMs } = this.identity;
        const roundTripMs = storeRoundTripMs();
        const storeMs = roundTripMs === undefined ? undefined : Math.round(roundTripMs);
        return { cores, storeMs, stopping: this.lifecycle.state === "stopping" ? true : undefined };
    }

    /** Whether leaders hand their shards over: in a divided fleet whose deployment states how long a stop may take. */
    private get handsOver(): boolean {
        return this.limits.handoverGraceMs !== undefined && this.shards.count > 1;
    }

    private logDelay({ state, afterMs, medianMs, mostMs }: DelayReport): void {
        if (this.isLeading) {
            const name = state === "late" ? "leader-late" : "leader-on-time";
            const data = { delayMs: Math.round(mostMs), medianMs: Math.round(medianMs), afterMs: Math.round(afterMs) };
            this.outbox.emit({ kind: "decision", name, data });
        }
    }

    private logMalformed(stream: string, key: string, offset: number): void {
        this.outbox.emit({ kind: "decision", name: "record-malformed", data: { stream, key, offset } });
    }

    /** @returns What follows a stream, or `undefined` for one that only a new leader reads. */
    private followerOf(stream: StreamName): RecordFollower | undefined {
        switch (stream) {
            case "jobs":
                return this.jobsFollower;
            case "operator":
                return this.operatorFollower;
            case "workers":
                return this.workersFollower;
            default:
                return undefined;
        }
    }

    private handleAppendAnswer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        if (event.writer === this.submissionWriter.name) {
            this.submissionWriter.handleAnswer(event, now);
        } else {
            this.offices.forEach(office => office.handleAppendAnswer(event, now));
        }
    }

    private handleStoreAnswer(
        event: RecordEvent & { readonly kind: "read-answer" | "newest-answer" },
        now: number,
    ): void {
        const follower = this.followerOf(event.stream);
        if (follower !== undefined) {
            follower.handleAnswer(event, now);
            this.startupLoads?.advance();
        } else {
            this.offices.forEach(office => office.handleProgressAnswer(event, now));
        }
    }

    private tick(now: number, wallNow: number): void {
        if (this.jobsFollower.isLoaded && this.queues.version !== undefined) {
            this.lifecycle.fire("loaded", now);
        }
        this.jobsFollower.tick(now);
        this.operatorFollower.tick(now);
        this.workersFollower.tick(now);
        this.configurationView.review(now);
        this.readiness.review(now);
        this.offices.forEach(office => office.tick(now, wallNow));
        const isResigned = this.offices.every(office => office.isResignationStored);
        const isIdle = this.callHandler.openCallCount === 0 && isResigned;
        if (isIdle && now - this.stoppingSince > SHUTDOWN_GRACE_PERIOD_MS) {
            this.lifecycle.fire("drained", now);
        }
        if (now - this.stoppingSince > this.limits.graceMs - SHUTDOWN_MARGIN_MS) {
            this.lifecycle.fire("out-of-time", now);
        }
    }

    /** The process would be killed while callers wait, who would not learn whether their jobs are stored. */
    private answerOpenCalls(): void {
        const isResignationStored = this.offices.every(office => office.isResignationStored);
        const data = { openCalls: this.callHandler.openCallCount, isResignationStored };
        this.outbox.emit({ kind: "decision", name: "stop-out-of-time", data });
        this.callHandler.expireAll();
    }

    /** The monotonic clock stops while the machine is suspended, the time of day does not. */
    private detectSuspension(now: number, wallNow: number): void {
        const offset = wallNow - now;
        if (this.clockOffset !== undefined && Math.abs(offset - this.clockOffset) > SUSPENSION_THRESHOLD_MS) {
            this.offices.forEach(office => office.handleSuspension(now));
            this.jobsFollower.handleSuspension(now);
            this.operatorFollower.handleSuspension(now);
            this.operatorFollower.hasten();
            this.workersFollower.handleSuspension(now);
            this.workers.forgetAges();
            this.outbox.emit({ kind: "decision", name: "suspended", data: { jumpMs: offset - this.clockOffset } });
        }
        this.clockOffset = offset;
    }

    /** Creates the offices up to that of a shard, whose records may be read before the plan. */
    private ensureOffice(shard: number): ShardOffice {
        while (this.offices.length <= shard) {
            this.offices.push(ShardOffice.create(this.offices.length, this.createOfficeContext()));
        }
        return this.offices[shard];
    }

    private createLifecycle(): Machine<number, LifecycleState, LifecycleEvent, never, LifecycleAction> {
        return Machine.create(chart, {
            guards: {},
            actions: {
                writeHost: () => this.writeHost(),
                writeProfile: () => this.writeProfile(),
                stopLeading: now => this.offices.forEach(office => office.stop(now)),
                answerOpenCalls: () => this.answerOpenCalls(),
                reportStopped: () => this.outbox.emit({ kind: "stopped" }),
            },
        });
    }

    private createReadiness(): Readiness {
        const { jobsFollower: jobs, operatorFollower, configurationView, callHandler, lifecycle } = this;
        const configuration = { stream: operatorFollower, view: configurationView };
        return Readiness.create({ lifecycle, jobs, configuration, submissions: callHandler }, this.outbox);
    }

    private createOperatorReceiver(): OperatorReceiver {
        const { decoder, queues, evacuations, outbox } = this;
        return OperatorReceiver.create(decoder, { queues, evacuations }, outbox, () => this.operatorFollower.transfer);
    }

    private createOfficeContext(): OfficeContext {
        const { identity, limits, jobs, queues, evacuations, shards, loads, hosts, workers, loopDelay } = this;
        const { outbox: effects } = this;
        const { jobsFollower, operatorFollower, workersFollower } = this;
        const followers = { jobsFollower, operatorFollower, workersFollower };
        const countOtherOffices = (own: number) =>
            this.offices.filter(office => office.shard !== own && office.isCandidate).length;
        const tables = { jobs, queues, evacuations, shards, loads, hosts, workers };
        const { transferPolicy } = this;
        const otherOffices = (own: number) => this.offices.filter(office => office.shard !== own);
        const others = { countOtherOffices, otherOffices, handsOver: () => this.handsOver };
        return { identity, limits, ...tables, ...followers, transferPolicy, loopDelay, effects, ...others };
    }

    private divide(plan: ShardPlan): void {
        this.ensureOffice(plan.count - 1);
        this.workers.divide();
        this.offices.forEach(office => office.divide());
        this.lifecycle.fire("divided", this.now);
        this.outbox.emit({ kind: "decision", name: "fleet-divided", data: { shards: plan.count, epoch: plan.epoch } });
    }
}
