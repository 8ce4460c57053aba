import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Outbox } from "../../base/common/outbox";
import { DispatchTerms } from "../../dispatch/common/dispatchTerms";
import { Scheduler } from "../../dispatch/common/scheduler";
import { WorkerEntry } from "../../dispatch/common/workerEntry";
import { JobDesk } from "../../jobs/common/jobDesk";
import { JobState } from "../../jobs/common/jobSpec";
import { JobTable, stateOf } from "../../jobs/common/jobTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { LEADER_KEY } from "../../records/common/leaderRecord";
import { CLAIM_WRITER, Leadership, LEADER_WRITER } from "../../records/common/leadership";
import { StoredRecord } from "../../records/common/record";
import { ReadTiming, RecordFollower, RecordReceiver } from "../../records/common/recordFollower";
import { RecordEvent } from "../../records/common/recordTraffic";
import { RecordWriter } from "../../records/common/recordWriter";
import { EntryDecoder } from "./entryDecoder";
import chartText from "./jobInstance.chart.yaml";
import { JobInstanceEffect, JobInstanceEvent } from "./jobTraffic";
import { Takeover } from "./takeover";

type InstanceState = "loading" | "serving" | "stopping" | "stopped";
type LifeEvent = "loaded" | "stop" | "drained";
type LifeAction = "resign" | "reportStopped";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<InstanceState, LifeEvent, never, LifeAction>(chartText, "jobInstance.chart.yaml", {
        states: ["loading", "serving", "stopping", "stopped"],
        events: ["loaded", "stop", "drained"],
        guards: [],
        actions: ["resign", "reportStopped"],
    }),
);

/** Difference between the clocks from which the process is taken to have been suspended, in ms. */
const SUSPENSION_MS = 200;

/** Time since the latest good read was sent after which new connections should go elsewhere, in ms: two long reads. */
const UNREADY_MS = 3_000;

/** How an instance that does not lead reads the stream of jobs. A read that waits shows how long the leader is silent. */
const STANDBY_PACE: ReadTiming = { waitMs: 400, pauseMs: 120 };

/** The leader reads submissions as soon as they are there. */
const LEADER_PACE: ReadTiming = { waitMs: 400, pauseMs: 25 };

/** Workers renew their entries all the time, so these are collected. */
const WORKERS_PACE: ReadTiming = { waitMs: 2_000, pauseMs: 400 };

/** An instance that does not lead keeps a list of workers to begin with, should it become the leader. */
const STANDBY_WORKERS_PACE: ReadTiming = { waitMs: 2_000, pauseMs: 3_000 };

/** Configurations are rare; a short wait shows that the store is within reach. */
const OPERATOR_PACE: ReadTiming = { waitMs: 1_000, pauseMs: 0 };

/** Time that a stopping instance goes on answering, in ms: until the platform has seen that it is not ready. */
const LINGER_MS = 2_200;

/** Longest body of a request before the first configuration, in bytes: it is read, and refused for want of a queue. */
const UNCONFIGURED_BODY_BYTES = 262_144;

/** What makes one instance different from the others. */
export interface JobInstanceIdentity {
    /** Name that differs with each start. */
    readonly instance: string;
    readonly nonce: number;
    readonly storeRoundTripMs: () => number | undefined;
    /** Processor time that it may use, in cores. */
    readonly cores: number;
}

/** Decisions of one instance: what it answers to callers, and whether and how it schedules. */
export class JobInstance {
    private readonly outbox = Outbox.create<JobInstanceEffect>();
    private readonly life: Machine<number, InstanceState, LifeEvent, never, LifeAction>;
    private readonly jobs = JobTable.create();
    private readonly queues = QueueTable.create();
    private readonly jobsFollower: RecordFollower;
    private readonly operatorFollower: RecordFollower;
    private readonly workersFollower: RecordFollower;
    private readonly intake: RecordWriter;
    private readonly leadership: Leadership;
    private readonly desk: JobDesk;
    private scheduler: Scheduler | undefined;
    private takeover: Takeover | undefined;
    private readonly workers = new Map<string, WorkerEntry>();
    private clockOffset: number | undefined;
    private stoppingSince = 0;
    private now = 0;

    private constructor(
        private readonly identity: JobInstanceIdentity,
        private readonly terms: DispatchTerms,
        private readonly decoder: EntryDecoder,
    ) {
        const { outbox } = this;
        const workersPace = () => (this.leadership.isLeading ? WORKERS_PACE : STANDBY_WORKERS_PACE);
        const pace = () => (this.leadership.isLeading ? LEADER_PACE : STANDBY_PACE);
        this.jobsFollower = RecordFollower.create("jobs", new JobsReceiver(this), pace, outbox);
        this.operatorFollower = RecordFollower.create(
            "operator",
            new OperatorReceiver(this),
            () => OPERATOR_PACE,
            outbox,
        );
        this.workersFollower = RecordFollower.create("workers", new WorkersReceiver(this), workersPace, outbox);
        this.intake = RecordWriter.create("intake", "jobs", { name: identity.instance, epoch: 1 }, outbox);
        this.leadership = Leadership.create(identity, this.jobsFollower, outbox);
        this.desk = JobDesk.create(this.jobs, this.queues, this.intake, this.jobsFollower, (call, answer) =>
            outbox.emit({ kind: "answer", call, answer }),
        );
        this.leadership.onDidBecomeLeader(writer => this.beginTakeover(writer));
        this.leadership.onDidStepDown(() => this.endScheduling());
        this.life = Machine.create(chart, {
            guards: {},
            actions: {
                resign: now => this.leadership.resign(now),
                reportStopped: () => outbox.emit({ kind: "stopped" }),
            },
        });
    }

    /**
     * @param identity What makes the instance different.
     * @param terms Limits of the deployment.
     * @param decoder Reads the entries of the operator and of the workers.
     * @returns The instance; nothing is asked for before `start`.
     */
    static create(identity: JobInstanceIdentity, terms: DispatchTerms, decoder: EntryDecoder): JobInstance {
        return new JobInstance(identity, terms, decoder);
    }

    /** @returns Whether new connections should come to this instance. @param now Time in ms. */
    isReady(now: number): boolean {
        const isFresh = (follower: RecordFollower) =>
            !follower.isFailing && now - (follower.knownUntil ?? -Infinity) < UNREADY_MS;
        return (
            this.life.state === "serving" &&
            isFresh(this.jobsFollower) &&
            isFresh(this.operatorFollower) &&
            this.desk.isStoreWorking(now)
        );
    }

    /** Longest body of a request, in bytes. */
    get maxBodyBytes(): number {
        return this.queues.maxBodyBytes ?? UNCONFIGURED_BODY_BYTES;
    }

    /** Calls that wait for an answer. */
    get openCalls(): number {
        return this.desk.openCallCount;
    }

    /** Version of the configuration in force, or `undefined` before the first. */
    get configVersion(): number | undefined {
        return this.queues.version;
    }

    /** Number of jobs that are known. */
    get jobCount(): number {
        return this.jobs.size;
    }

    /** Whether the instance schedules. */
    get isLeading(): boolean {
        return this.leadership.isLeading;
    }

    /** @param id Identifier of a job. @returns Its state as far as this instance knows, or `undefined`. */
    stateOfJob(id: string): JobState | undefined {
        const entry = this.jobs.find(id);
        return entry === undefined ? undefined : stateOf(entry);
    }

    /** @returns The first effects. */
    start(): JobInstanceEffect[] {
        this.jobsFollower.start();
        this.operatorFollower.start();
        this.workersFollower.start();
        return this.outbox.drain();
    }

    /** Decides on one event. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    dispatch(event: JobInstanceEvent, now: number, wallNow: number): JobInstanceEffect[] {
        this.now = now;
        this.noteClocks(now, wallNow);
        switch (event.kind) {
            case "call":
                this.desk.handle(event.call, now, wallNow);
                break;
            case "append-answer":
                this.answerAppend(event, now);
                break;
            case "read-answer":
                this.follower(event.stream).handleAnswer(event);
                break;
            case "newest-answer":
                this.answerNewest(event);
                break;
            case "tick":
                this.tick(now, wallNow);
                break;
            case "stop":
                this.stoppingSince = now;
                this.life.fire("stop", now);
                break;
            default:
                this.scheduler?.answer(event, now);
        }
        this.desk.tick(now);
        this.scheduler?.advance(now, wallNow);
        this.intake.flush(now);
        this.leadership.writer?.flush(now);
        this.takeover?.writer.flush(now);
        return this.outbox.drain();
    }

    /** Takes a record of the stream of jobs. */
    takeJobRecord(record: StoredRecord): void {
        if (record.key === LEADER_KEY) {
            this.leadership.apply(record, this.now);
        } else {
            this.jobs.take(record);
        }
    }

    /** Takes a record of the operator. */
    takeOperatorRecord(record: StoredRecord): void {
        const configuration = this.decoder.configuration(record);
        if (configuration !== undefined && this.queues.apply(configuration)) {
            const { version } = configuration;
            this.outbox.emit({ kind: "decision", name: "config-applied", data: { version } });
        }
    }

    /** Takes a record of a worker. */
    takeWorkerRecord(record: StoredRecord): void {
        const worker = this.decoder.worker(record);
        if (worker === undefined) {
            this.workers.delete(record.key);
        } else {
            this.workers.set(record.key, worker);
        }
        this.scheduler?.listWorker(record.key, worker, this.now);
    }

    /** Takes in that only these workers are listed. */
    retainWorkers(ids: ReadonlySet<string>): void {
        [...this.workers.keys()].filter(id => !ids.has(id)).forEach(id => this.workers.delete(id));
        this.scheduler?.retainWorkers(ids);
    }

    private follower(stream: string): RecordFollower {
        switch (stream) {
            case "jobs":
                return this.jobsFollower;
            case "operator":
                return this.operatorFollower;
            default:
                return this.workersFollower;
        }
    }

    private answerAppend(event: RecordEvent & { readonly kind: "append-answer" }, now: number): void {
        switch (event.writer) {
            case LEADER_WRITER:
                this.leadership.handleAppendAnswer(event, now);
                break;
            case CLAIM_WRITER:
                this.leadership.handleClaimAnswer(event, now);
                break;
            case this.intake.name:
                this.intake.answer(event, now);
                break;
            case this.takeover?.writer.name:
                this.answerProgress(this.takeover!.writer, event, now);
                break;
        }
    }

    private answerProgress(
        writer: RecordWriter,
        event: RecordEvent & { readonly kind: "append-answer" },
        now: number,
    ): void {
        writer.answer(event, now);
        if (writer.isRejected) {
            this.leadership.fence(now);
        }
    }

    private answerNewest(event: RecordEvent & { readonly kind: "newest-answer" }): void {
        if (event.stream === "progress") {
            this.takeover?.answer(event);
        } else {
            this.follower(event.stream).handleAnswer(event);
        }
    }

    private tick(now: number, wallNow: number): void {
        if (this.jobsFollower.isLoaded && this.queues.version !== undefined) {
            this.life.fire("loaded", now);
        }
        this.leadership.tick(now);
        this.scheduler?.tick(now, wallNow);
        const isQuiet = this.desk.openCallCount === 0 && this.leadership.isResignationStored;
        if (isQuiet && now - this.stoppingSince > LINGER_MS) {
            this.life.fire("drained", now);
        }
    }

    /** The steady clock stands still while the machine is suspended, the time of day does not. */
    private noteClocks(now: number, wallNow: number): void {
        const offset = wallNow - now;
        if (this.clockOffset !== undefined && Math.abs(offset - this.clockOffset) > SUSPENSION_MS) {
            this.leadership.handleSuspension(now);
            this.outbox.emit({ kind: "decision", name: "suspended", data: { jumpMs: offset - this.clockOffset } });
        }
        this.clockOffset = offset;
    }

    private beginTakeover(writer: RecordWriter): void {
        const { epoch } = this.leadership;
        this.takeover = Takeover.create(epoch, this.identity.nonce, () => this.now, this.outbox);
        this.takeover.onDidLoad(takeover => this.beginScheduling(writer, takeover));
    }

    private beginScheduling(writer: RecordWriter, takeover: Takeover): void {
        const { jobs, queues, leadership, terms, outbox } = this;
        const { progress, learnt } = takeover;
        const context = { jobs, progress, queues, leadership, terms, learnt, effects: outbox };
        const writers = { jobs: writer, progress: takeover.writer };
        this.scheduler = Scheduler.create(context, leadership.epoch, writers, this.now);
        this.workers.forEach((worker, id) => this.scheduler!.listWorker(id, worker, this.now));
    }

    private endScheduling(): void {
        this.takeover = undefined;
        this.scheduler?.dispose();
        this.scheduler = undefined;
    }
}

class JobsReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.instance.takeJobRecord(record);
    }

    override retainKeys(): void {
        // Jobs that expired while the stream was not followed are finished: keeping them does no harm.
    }
}

class OperatorReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.instance.takeOperatorRecord(record);
    }

    override retainKeys(): void {
        // The newest configuration stays in force until there is a newer one.
    }
}

class WorkersReceiver extends RecordReceiver {
    constructor(private readonly instance: JobInstance) {
        super();
    }

    override apply(record: StoredRecord): void {
        this.instance.takeWorkerRecord(record);
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        this.instance.retainWorkers(keys);
    }
}
