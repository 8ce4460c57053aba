import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { DelayReport, LoopDelay } from "../../base/common/loopDelay";
import { Machine } from "../../base/common/machine";
import { Outbox } from "../../base/common/outbox";
import { WorkMeter } from "../../base/common/workMeter";
import { DispatchLimits } from "../../dispatch/common/dispatchLimits";
import { Scheduler } from "../../dispatch/common/scheduler";
import { StartLoad } from "../../dispatch/common/startWindow";
import { LeaseTable } from "../../dispatch/common/leaseTable";
import { EntryReading } from "../../dispatch/common/workerEntry";
import { ConfigurationView } from "../../jobs/common/configurationView";
import { JobCallHandler } from "../../jobs/common/jobCallHandler";
import { JobState } from "../../jobs/common/jobSpec";
import { JobTable, visibleStateOf } from "../../jobs/common/jobTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { LEADER_KEY } from "../../records/common/leaderRecord";
import { Leadership } from "../../records/common/leadership";
import { StoredRecord } from "../../records/common/record";
import { ReadTiming, RecordFollower, RecordReceiver } from "../../records/common/recordFollower";
import { RecordEvent } from "../../records/common/recordEvents";
import { RecordWriter } from "../../records/common/recordWriter";
import { EntryDecoder } from "./entryDecoder";
import chartText from "./jobInstance.chart.yaml";
import { JobInstanceEffect, JobInstanceEvent } from "./jobInstanceEvents";
import { MalformedKeys } from "./malformedKeys";
import { Takeover, TakeoverHost } from "./takeover";
import { WorkKind } from "./workKind";

type LifecycleState = "loading" | "serving" | "stopping" | "stopped";
type LifecycleEvent = "loaded" | "stop" | "drained";
type LifecycleAction = "resign" | "reportStopped";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LifecycleState, LifecycleEvent, never, LifecycleAction>(chartText, "jobInstance.chart.yaml", {
        states: ["loading", "serving", "stopping", "stopped"],
        events: ["loaded", "stop", "drained"],
        guards: [],
        actions: ["resign", "reportStopped"],
    }),
);

/** Drift between the monotonic clock and the time of day that counts as a suspension of the process. */
const SUSPENSION_THRESHOLD_MS = 200;

/**
 * An instance whose latest successful read was sent longer ago than this, two long reads, is not ready: new connections
 * should go to other instances.
 */
const MAX_READ_AGE_MS = 3_000;

/** Reads of the stream of jobs on standby. The long poll shows how long the leader has not renewed its record. */
const STANDBY_JOBS_TIMING: ReadTiming = { waitMs: 400, pauseMs: 120 };

/**
 * Reads of the stream of jobs on the leader, which needs new submissions with little delay. A response that stalls is given up
 * only after seconds, in which cancellations would not be known.
 */
const LEADER_JOBS_TIMING: ReadTiming = { waitMs: 400, pauseMs: 25, repeatAfterMs: 900 };

/**
 * Reads of the stream of workers on the leader. Entries are renewed continually, so one read collects several. The wait is
 * short, since a read that is not answered does not show that no worker has announced that it leaves.
 */
const LEADER_WORKERS_TIMING: ReadTiming = { waitMs: 200, pauseMs: 400, repeatAfterMs: 900 };

/** Reads of the stream of workers on standby. A new leader reads it at once. */
const STANDBY_WORKERS_TIMING: ReadTiming = { waitMs: 2_000, pauseMs: 3_000 };

/**
 * Reads of the configuration on standby. It changes rarely; the short wait of each read shows that the store is reachable. Two reads,
 * or a read and a check, take less than the time within which a configuration must be in force, also on an instance that is late.
 */
const STANDBY_OPERATOR_TIMING: ReadTiming = { waitMs: 700, pauseMs: 0, repeatAfterMs: 1_000 };

/** Reads of the configuration on the leader, whose orders to start end before an unknown configuration must be in force. */
const LEADER_OPERATOR_TIMING: ReadTiming = { waitMs: 400, pauseMs: 0, repeatAfterMs: 900 };

/**
 * Pause after a large configuration, as a ratio of the time within which the next one must be in force. All instances
 * read each configuration, so a quick succession of large ones would fill the links between regions.
 */
const LARGE_CONFIGURATION_PAUSE_RATIO = 0.3;

/** Time that a stopping instance keeps answering, so that the platform notices that it is not ready. */
const SHUTDOWN_GRACE_PERIOD_MS = 2_200;

/** Limit of a request body before the first configuration. Such requests are rejected, since no queue is known. */
const UNCONFIGURED_MAX_BODY_BYTES = 262_144;

/** Identity and resources of one instance. */
export interface JobInstanceIdentity {
    /** Name that is unique to each start. */
    readonly instance: string;
    /** Number that differs between instances. */
    readonly nonce: number;
    /** Round trip to the store in ms, or `undefined` before the first call. */
    readonly storeRoundTripMs: () => number | undefined;
    /** CPU available to the instance, in cores. */
    readonly cores: number;
    /** Measures the work of the instance; left out if it is not measured. */
    readonly work?: WorkMeter<WorkKind>;
}

/** Decision logic of one instance: handles calls, takes part in leader election, and schedules while it leads. */
export class JobInstance {
    /** How late the events of this instance are handled. */
    readonly loopDelay = LoopDelay.create();
    private readonly outbox = Outbox.create<JobInstanceEffect>();
    private readonly lifecycle: Machine<number, LifecycleState, LifecycleEvent, never, LifecycleAction>;
    private readonly jobs = JobTable.create();
    private readonly queues = QueueTable.create();
    private readonly leases = LeaseTable.create();
    private readonly jobsFollower: RecordFollower;
    private readonly operatorFollower: RecordFollower;
    private readonly workersFollower: RecordFollower;
    private readonly submissionWriter: RecordWriter;
    private readonly leadership: Leadership;
    private readonly configurationView: ConfigurationView;
    private readonly callHandler: JobCallHandler;
    private scheduler: Scheduler | undefined;
    private takeover: Takeover | undefined;
    private readonly workers = new Map<string, EntryReading>();
    private readonly malformedWorkers = MalformedKeys.create();
    private clockOffset: number | undefined;
    private stoppingSince = 0;
    private now = 0;

    private constructor(
        private readonly identity: JobInstanceIdentity,
        private readonly limits: DispatchLimits,
        private readonly decoder: EntryDecoder,
    ) {
        const { outbox } = this;
        const workersTiming = () => (this.leadership.isLeading ? LEADER_WORKERS_TIMING : STANDBY_WORKERS_TIMING);
        const largePauseMs = limits.configurationMs * LARGE_CONFIGURATION_PAUSE_RATIO;
        const operatorTiming = (): ReadTiming => ({
            ...(this.leadership.isLeading ? LEADER_OPERATOR_TIMING : STANDBY_OPERATOR_TIMING),
            largePauseMs,
        });
        const jobsTiming = () => (this.leadership.isLeading ? LEADER_JOBS_TIMING : STANDBY_JOBS_TIMING);
        this.jobsFollower = RecordFollower.create("jobs", new JobsReceiver(this), jobsTiming, outbox);
        this.operatorFollower = RecordFollower.create("operator", new OperatorReceiver(this), operatorTiming, outbox);
        this.workersFollower = RecordFollower.create("workers", new WorkersReceiver(this), workersTiming, outbox);
        this.submissionWriter = RecordWriter.create(
            "submissions",
            "jobs",
            { name: identity.instance, epoch: 1 },
            outbox,
        );
        this.leadership = Leadership.create(identity, this.jobsFollower, outbox);
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
        );
        this.jobs.onDidIgnore(({ key, offset }) => this.logMalformed("jobs", key, offset));
        this.leadership.onDidBecomeLeader(writer => this.startTakeover(writer));
        this.leadership.onDidStepDown(() => this.stopScheduling());
        this.loopDelay.onDidChange(report => this.logDelay(report));
        this.leadership.onDidChangeOffice(({ kind, ...data }) => outbox.emit({ kind: "decision", name: kind, data }));
        this.lifecycle = Machine.create(chart, {
            guards: {},
            actions: {
                resign: now => this.leadership.resign(now),
                reportStopped: () => outbox.emit({ kind: "stopped" }),
            },
        });
    }

    /**
     * @param identity Identity and resources of the instance.
     * @param limits Limits of the deployment.
     * @param decoder Decodes the records of the operator and the workers.
     * @returns The instance. It has no effects before `start`.
     */
    static create(identity: JobInstanceIdentity, limits: DispatchLimits, decoder: EntryDecoder): JobInstance {
        return new JobInstance(identity, limits, decoder);
    }

    /** @param now Time in ms. @returns Whether the instance should receive new connections. */
    isReady(now: number): boolean {
        const isFresh = (follower: RecordFollower) =>
            !follower.isFailing && now - (follower.knownUntil ?? -Infinity) < MAX_READ_AGE_MS;
        return (
            this.lifecycle.state === "serving" &&
            isFresh(this.jobsFollower) &&
            isFresh(this.operatorFollower) &&
            this.callHandler.isStoreWorking(now)
        );
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

    /** Number of known jobs. */
    get jobCount(): number {
        return this.jobs.size;
    }

    /** Whether the instance leads. */
    get isLeading(): boolean {
        return this.leadership.isLeading;
    }

    /** The starts in flight, if the instance schedules. */
    get startLoad(): StartLoad | undefined {
        return this.scheduler?.startLoad;
    }

    /** @param id Identifier of a job. @returns Its state as known to this instance, or `undefined`. */
    stateOfJob(id: string): JobState | undefined {
        const entry = this.jobs.find(id);
        return entry === undefined ? undefined : visibleStateOf(entry);
    }

    /** Starts to follow the streams. @returns The first effects. */
    start(): JobInstanceEffect[] {
        this.jobsFollower.start();
        this.operatorFollower.start();
        this.workersFollower.start();
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
        this.leadership.renew(now);
        switch (event.kind) {
            case "call":
                this.callHandler.handle(event.call, now, wallNow);
                break;
            case "append-answer":
                this.handleAppendAnswer(event, now);
                break;
            case "read-answer":
                this.followerOf(event.stream).handleAnswer(event);
                break;
            case "newest-answer":
                this.handleNewestAnswer(event);
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
                this.scheduler?.handleWorkerAnswer(event, now);
        }
        this.callHandler.tick(now);
        this.takeover?.advance(now);
        this.scheduler?.schedule(now, wallNow);
        this.submissionWriter.flush(now);
        this.leadership.writer?.flush(now);
        this.takeover?.writer.flush(now);
        return this.outbox.drain();
    }

    /**
     * Applies a record of the stream of jobs.
     * @param record The record.
     * @param isFollowed Whether every record before it was read, too.
     */
    applyJobRecord(record: StoredRecord, isFollowed: boolean): void {
        if (record.key === LEADER_KEY) {
            this.leadership.apply(record, this.now, isFollowed);
        } else if (this.leases.isLeaseKey(record.key)) {
            this.leases.apply(record, this.now);
        } else {
            this.jobs.apply(record);
        }
    }

    /** Applies a record of the operator. */
    applyOperatorRecord(record: StoredRecord): void {
        const configuration = this.decoder.decodeConfiguration(record);
        if (configuration === undefined && this.decoder.isConfiguration(record)) {
            this.logMalformed("operator", record.key, record.offset);
        }
        if (configuration !== undefined && this.queues.apply(configuration)) {
            const { version } = configuration;
            this.outbox.emit({ kind: "decision", name: "config-applied", data: { version } });
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
        this.scheduler?.updateWorker(record.key, reading, this.now);
    }

    /** Removes what is known of the leases whose records are not among these keys. */
    retainLeases(keys: ReadonlySet<string>): void {
        this.leases.retain(keys);
    }

    /** Removes all workers but these, which are still registered. */
    retainWorkers(ids: ReadonlySet<string>): void {
        [...this.workers.keys()].filter(id => !ids.has(id)).forEach(id => this.workers.delete(id));
        this.malformedWorkers.retain(ids);
        this.scheduler?.retainWorkers(ids);
    }

    private logDelay({ state, afterMs, medianMs, mostMs }: DelayReport): void {
        if (this.leadership.isLeading) {
            const name = state === "late" ? "leader-late" : "leader-on-time";
            const data = { delayMs: Math.round(mostMs), medianMs: Math.round(medianMs), afterMs: Math.round(afterMs) };
            this.outbox.emit({ kind: "decision", name, data });
        }
    }

    private logMalformed(stream: string, key: string, offset: number): void {
        this.outbox.emit({ kind: "decision", name: "record-malformed", data: { stream, key, offset } });
    }

    private followerOf(stream: string): RecordFollower {
        switch (stream) {
            case "jobs":
                return this.jobsFollower;
            case "operator":
                return this.operatorFollower;
            default:
                return this.workersFollower;
        }
    }

    private handleAppendAnswer(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        switch (event.writer) {
            case this.submissionWriter.name:
                this.submissionWriter.handleAnswer(event, now);
                break;
            case this.takeover?.writer.name:
                this.handleProgressAnswer(this.takeover!.writer, event, now);
                break;
            default:
                this.leadership.handleAppendAnswer(event, now);
        }
    }

    private handleProgressAnswer(
        writer: RecordWriter,
        event: RecordEvent & { readonly kind: "append-answer" },
        now: number,
    ): void {
        writer.handleAnswer(event, now);
        if (writer.isRejected) {
            this.leadership.handleRejection(now);
        }
    }

    private handleNewestAnswer(event: RecordEvent & { readonly kind: "newest-answer" }): void {
        if (event.stream === "progress") {
            this.takeover?.handleAnswer(event);
        } else {
            this.followerOf(event.stream).handleAnswer(event);
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
        this.leadership.tick(now);
        this.scheduler?.tick(now, wallNow);
        const isIdle = this.callHandler.openCallCount === 0 && this.leadership.isResignationStored;
        if (isIdle && now - this.stoppingSince > SHUTDOWN_GRACE_PERIOD_MS) {
            this.lifecycle.fire("drained", now);
        }
    }

    /** The monotonic clock stops while the machine is suspended, the time of day does not. */
    private detectSuspension(now: number, wallNow: number): void {
        const offset = wallNow - now;
        if (this.clockOffset !== undefined && Math.abs(offset - this.clockOffset) > SUSPENSION_THRESHOLD_MS) {
            this.leadership.handleSuspension(now);
            this.jobsFollower.handleSuspension(now);
            this.operatorFollower.handleSuspension(now);
            this.operatorFollower.hasten();
            this.workersFollower.handleSuspension(now);
            this.workers.forEach(({ entry }, id) => this.workers.set(id, { entry, writtenAfter: undefined }));
            this.scheduler?.handleSuspension();
            this.outbox.emit({ kind: "decision", name: "suspended", data: { jumpMs: offset - this.clockOffset } });
        }
        this.clockOffset = offset;
    }

    private startTakeover(writer: RecordWriter): void {
        const { epoch } = this.leadership;
        this.workersFollower.hasten();
        this.operatorFollower.hasten();
        const host = new InstanceTakeoverHost(this, writer);
        this.takeover = Takeover.create(epoch, this.identity.nonce, () => this.now, this.outbox, host);
    }

    /** Whether all jobs are known of which a former leader may have stored progress. */
    get isCaughtUp(): boolean {
        return this.leadership.hasReadUpToClaim;
    }

    /** @returns A scheduler for the epoch that a takeover begins. @param writer Writer of the leader's records. */
    createScheduler(takeover: Takeover, writer: RecordWriter): Scheduler {
        const { jobs, queues, leadership, leases, limits, outbox } = this;
        const { progress, learnedInterference } = takeover;
        const { jobsFollower, operatorFollower, workersFollower, loopDelay: loop } = this;
        const views = { jobs: jobsFollower, configuration: operatorFollower, workers: workersFollower, loop };
        const tables = { jobs, progress, queues, leases };
        const { work } = this.identity;
        const context = { ...tables, leadership, views, limits, learnedInterference, effects: outbox, work };
        const writers = { jobs: writer, progress: takeover.writer };
        return Scheduler.create(context, leadership.epoch, writers, this.now);
    }

    /** Begins an epoch with the restored jobs. @param tookMs Time that the takeover took, in ms. */
    beginEpoch(scheduler: Scheduler, tookMs: number): void {
        this.scheduler = scheduler;
        this.leadership.endTakeover(this.now);
        this.workers.forEach((reading, id) => scheduler.updateWorker(id, reading, this.now));
        scheduler.begin(this.now, tookMs);
    }

    private stopScheduling(): void {
        this.takeover?.dispose();
        this.takeover = undefined;
        this.scheduler = undefined;
    }
}

class InstanceTakeoverHost extends TakeoverHost {
    private scheduler: Scheduler | undefined;

    constructor(
        private readonly instance: JobInstance,
        private readonly writer: RecordWriter,
    ) {
        super();
    }

    override get isCaughtUp(): boolean {
        return this.instance.isCaughtUp;
    }

    override prepare(takeover: Takeover): Scheduler {
        this.scheduler = this.instance.createScheduler(takeover, this.writer);
        return this.scheduler;
    }

    override begin(tookMs: number): void {
        this.instance.beginEpoch(this.scheduler!, tookMs);
    }
}

class JobsReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord, writtenAfter: number | undefined): void {
        this.instance.applyJobRecord(record, writtenAfter !== undefined);
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        // Jobs whose records expired while the stream was not followed are finished, so they can stay in the table.
        this.instance.retainLeases(keys);
    }
}

class OperatorReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.instance.applyOperatorRecord(record);
    }

    override retainKeys(): void {
        // A configuration stays in force until there is a newer one.
    }
}

class WorkersReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord, writtenAfter: number | undefined): void {
        this.instance.applyWorkerRecord(record, writtenAfter);
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        this.instance.retainWorkers(keys);
    }
}
