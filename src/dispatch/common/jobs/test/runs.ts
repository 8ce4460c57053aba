import { Outbox } from "../../../../base/common/outbox";
import { JobSpec, StepSpec } from "../../../../jobs/common/jobSpec";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { WitnessClocks } from "../../../../records/common/witnessClocks";
import { ActiveJob } from "../activeJob";
import { DispatchLimits } from "../../scheduler/dispatchLimits";
import { FenceAuthority } from "../../workers/fenceAuthority";
import { LeaseBook } from "../../workers/leaseBook";
import { LeaseTable } from "../../workers/leaseTable";
import { LatencyModel } from "../../placement/latencyModel";
import { QueueHost } from "../../waits/queueHost";
import { Run, RunHost } from "../../runs/run";
import { StepQueue } from "../../waits/stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { Task } from "../task";
import { WorkerContact } from "../../workers/workerContact";
import { EntryReading, WorkerEntry } from "../../workers/workerEntry";

/** Latency target of the latency-critical tasks, in ms. */
export const TARGET_MS = 100;

/** Limits of a deployment, in ms. */
export const LIMITS: DispatchLimits = {
    longestLeaseMs: 6_000,
    stopMs: 200,
    cancelMs: 3_000,
    drainMs: 2_500,
    gangWaitMs: 3_000,
    harmMs: 4_000,
    configurationMs: 2_500,
    retentionMs: 120_000,
    graceMs: 6_000,
};

/** Host of runs whose orders go nowhere. */
export class NoopRunHost extends RunHost {
    override sendStart(): void {}
    override sendStop(): void {}
    override onStart(): void {}
    override onEnd(): void {}
}

/** Assigns tasks by a function, and records the moves of runs and the requested passes. */
export class AssigningHost extends QueueHost {
    readonly moved: Run[] = [];
    readonly preempted: Run[] = [];
    /** Times (ms) at which passes were requested. */
    readonly requestedPasses: number[] = [];

    private constructor(private readonly assignTask: (task: Task, worker: WorkerContact, now: number) => Run) {
        super();
    }

    /** @param assignTask Assigns a task to a worker. @returns The host. */
    static create(
        assignTask: (task: Task, worker: WorkerContact, now: number) => Run = (task, worker, now) =>
            assign(worker, task, now),
    ): AssigningHost {
        return new AssigningHost(assignTask);
    }

    override assign(task: Task, worker: WorkerContact, speedPercent: number, now: number): Run {
        const run = this.assignTask(task, worker, now);
        if (speedPercent < 100) {
            run.setSpeed(speedPercent, now);
        }
        return run;
    }

    override move(run: Run): void {
        this.moved.push(run);
    }

    override preempt(run: Run, now: number): void {
        this.preempted.push(run);
        run.fire("stop", { now });
    }

    override requestPassBy(at: number): void {
        this.requestedPasses.push(at);
    }
}

/** @returns A step of one task of 8 cores: a latency-critical or a best-effort one. */
export function createStep(image: string, isLatencyCritical: boolean, overrides: Partial<StepSpec> = {}): StepSpec {
    return {
        tasks: 1,
        request: { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 },
        estimateMs: 2_000,
        after: [],
        mode: isLatencyCritical ? "long-running" : "independent",
        checkpoints: true,
        prefersOneRack: false,
        image,
        tailTargetMs: isLatencyCritical ? TARGET_MS : undefined,
        usesSpareCpu: !isLatencyCritical,
        ...overrides,
    };
}

/** @returns A worker of 64 cores. */
export function createWorker(id = "w1", overrides: Partial<WorkerEntry> = {}): WorkerContact {
    const entry = {
        id,
        incarnation: 0,
        service: "svc",
        address: id,
        failureDomain: "z",
        state: "ready" as const,
        warmupLeftMs: 0,
        capacity: { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 0 },
        labels: [],
        rack: "r1",
        ...overrides,
    };
    return WorkerContact.create(entry, createLeases().book.find(id), 6_000, 0);
}

/** The right of a first leader that may extend all leases. */
export const AUTHORITY: FenceAuthority = {
    fence: 1,
    formerRenewal: undefined,
    leasesMayLastUntil: Number.POSITIVE_INFINITY,
    isAwaited: () => false,
    recordUnraised: () => undefined,
    recordWorkerAnswer: () => undefined,
};

/** Leases of the first epoch, the writer of their records, and the appends that it makes. */
export interface LeaseFixture {
    readonly book: LeaseBook;
    readonly writer: RecordWriter;
    readonly outbox: Outbox<RecordEffect>;
    readonly authority: { renewedAt: number | undefined; formerLeasesEndBy: number | undefined; leasesSince: number };
}

/**
 * @param table Leases that former leaders recorded.
 * @param formerLeasesEndBy Time (ms) by which all leases have ended that former leaders extended, if it is known.
 * @returns The leases of an epoch that begins at 0.
 */
export function createLeases(table = LeaseTable.create(), formerLeasesEndBy?: number): LeaseFixture {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("leader-1", "jobs", { name: "leader", epoch: 1 }, outbox);
    const authority = { renewedAt: 0, formerLeasesEndBy, leasesSince: 1 };
    const clocks = WitnessClocks.create();
    const context = { leases: table, leadership: authority, limits: LIMITS, clocks };
    const book = LeaseBook.create(context, { epoch: 1, records: writer }, 0);
    return { book, writer, outbox, authority };
}

/** @returns An entry as it was just read. @param writtenAfter Time (ms) after which it was written, if known. */
export function readingOf(entry: WorkerEntry, writtenAfter: number | undefined = 0): EntryReading {
    return { entry, writtenAfter };
}

/** Creates a job with one task and assigns it to a worker. @returns The run. */
export function place(worker: WorkerContact, id: string, step: StepSpec): Run {
    const task = createJob(id, step).find(`${id}.0.0.0`)!;
    return assign(worker, task);
}

/** @param acceptedAtMs Time (ms) at which it was accepted. @returns A job of one step that is due. */
export function createJob(id: string, step: StepSpec, acceptedAtMs = 0): ActiveJob {
    const queue = { name: "q", host: "h", prefix: "/q/", service: "svc", priority: 0, maxAttempts: 3 };
    const timing = { stretch: 2, slackMs: 1_000, timeoutMs: 3_000 };
    const spec: JobSpec = {
        id,
        queue: { ...queue, ...timing },
        payload: "",
        steps: [step],
        occurrences: 0,
        firstDueMs: 0,
        intervalMs: 0,
        acceptedAtMs,
    };
    const job = ActiveJob.create(spec, 0, undefined);
    job.openDue(0);
    return job;
}

/** Assigns a task to a worker, and sends its start. @param now Time in ms. @param number Number of the run. @returns The run. */
export function assign(worker: WorkerContact, task: Task, now = 0, number = 1): Run {
    const record = { task: task.name, run: number, worker: worker.entry.id, incarnation: 0, checkpoint: "" };
    const run = Run.create(task, record, new NoopRunHost(), now);
    task.run = run;
    worker.runs.set(task.name, run);
    run.fire("stored", { now });
    return run;
}

/** Records a worker's report of a run. @param latencyOrUsage Tail latency in ms or CPU usage in thousandths of a core. */
export function report(run: Run, latencyOrUsage: number, now: number): void {
    run.recordReport({ task: run.task.name, run: 1, checkpoint: "", percent: 100, latencyOrUsage }, now);
}

/** @returns A best-effort step. */
export function createBestEffort(overrides: Partial<StepSpec>): StepSpec {
    return createStep("batch", false, overrides);
}

/** Interference of which a worker's neighbor can bear about a third. */
export const HEAVY_MODEL = [["web", "batch", 12, 0.01]] as const;

/** @returns Workers with a latency-critical task each, which has some headroom. */
export function createBusyWorkers(model: LatencyModel, headroom = 1.6): WorkerContact[] {
    const workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    for (const worker of workers) {
        report(place(worker, `web-${worker.entry.id}`, createStep("web", true)), TARGET_MS * (1 / headroom), 500);
        model.update(worker, 500);
    }
    return workers;
}

/** @returns A queue without suspected tasks. */
export function createQueue(model: LatencyModel, host = AssigningHost.create()): StepQueue {
    return StepQueue.create(QueueTable.create(), model, SuspectTable.create(), host);
}
