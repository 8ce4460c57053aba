import { Ok } from "ts-results";
import { Outbox } from "../../base/common/outbox";
import { DispatchEffect } from "../../dispatch/common/scheduler/dispatchEffects";
import { LeaseTable } from "../../dispatch/common/workers/leaseTable";
import { Scheduler } from "../../dispatch/common/scheduler/scheduler";
import { EvacuationTable } from "../../dispatch/common/workers/evacuationTable";
import { SchedulerContext } from "../../dispatch/common/scheduler/schedulerContext";
import { encodeSpec, jobKey } from "../../jobs/common/jobRecord";
import { JobSpec } from "../../jobs/common/jobSpec";
import { JobTable } from "../../jobs/common/jobTable";
import { ProgressTable } from "../../jobs/common/progressTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { LEASE_HORIZON_MS } from "../../records/common/formerLeaders";
import { Leadership } from "../../records/common/leadership";
import { StoredRecord } from "../../records/common/record";
import { RecordWriter } from "../../records/common/recordWriter";
import { WitnessClocks } from "../../records/common/witnessClocks";
import { LeaderLoadJobs } from "./leaderLoadJobs";
import { LeaderLoadWorkers } from "./leaderLoadWorkers";
import { ProcessorMeter } from "./processorMeter";
import { Random } from "./random";
import { LIMITS } from "./jobTrialPlan";

/** Time between two steps of the virtual clock, between two ticks, and between two entries of a worker, in ms. */
const STEP_MS = 5;
const TICK_INTERVAL_MS = 25;
const HEARTBEAT_INTERVAL_MS = 1_500;

/** Time until an append is answered, in ms. */
const STORE_DELAY_MS = 15;

/** Number of urgent jobs per second for each worker. */
const URGENT_JOBS_PER_S = 0.03;

/** Kinds of work of a leader. `send`: sends starts whose assignments are stored. `log`: encodes the decision log. */
export const WORK_KINDS = [
    "pass",
    "send",
    "tick",
    "list-answer",
    "start-answer",
    "throttle-answer",
    "stop-answer",
    "entry",
    "job-record",
    "append",
    "append-answer",
    "log",
] as const;

/** A kind of work. */
export type WorkKind = (typeof WORK_KINDS)[number];

/** Size of a load. */
export interface LeaderLoadPlan {
    readonly seed: number;
    readonly workers: number;
    /** Number of batch tasks that are ready and wait; new jobs replace those that start. */
    readonly waitingTasks: number;
    /** Time before the measurement begins, and its length, in ms. */
    readonly warmupMs: number;
    readonly lengthMs: number;
}

/** What a load took. */
export interface LeaderLoadResult {
    readonly meter: ProcessorMeter<WorkKind>;
    readonly starts: number;
    /** Every start in its order, as text: the decisions that two versions of the code have to agree on. */
    readonly decisions: readonly string[];
}

/** Plays the decisions of a leader under load, in memory and on a virtual clock, and measures their processor time. */
export class LeaderLoad {
    private readonly meter = ProcessorMeter.create<WorkKind>();
    private readonly outbox = Outbox.create<DispatchEffect>();
    private readonly jobs = JobTable.create();
    private readonly drafts: LeaderLoadJobs;
    private readonly workers: LeaderLoadWorkers;
    private readonly random: Random;
    private readonly scheduler: Scheduler;
    private readonly writers = ["jobs", "progress"].map(name =>
        RecordWriter.create(name, name as "jobs", { name: "leader", epoch: 1 }, this.outbox),
    );
    private readonly view = { knownUntil: 0 };
    private readonly leadership = {
        renewedAt: 0,
        formerLeasesEndBy: undefined,
        formerRenewal: undefined,
        fence: 1,
        isAwaited: () => false,
        recordUnraised: () => undefined,
        recordWorkerAnswer: () => undefined,
        leasesSince: 1,
        canSendOrders: () => true,
        canExtendLeases: () => true,
        get leasesMayLastUntil() {
            return this.renewedAt + LEASE_HORIZON_MS;
        },
        handleRejection: () => undefined,
    };
    /** Answers of the store that are on their way. */
    private readonly stored: { readonly at: number; readonly effect: DispatchEffect & { readonly kind: "append" } }[] =
        [];
    /** Batch tasks that have not started, by name of the job. */
    private readonly unstarted = new Map<string, Set<string>>();
    private waitingCount = 0;
    private nextOffset = 0;
    private now = 0;
    private readonly decisions: string[] = [];

    private constructor(private readonly plan: LeaderLoadPlan) {
        const { seed, workers } = plan;
        this.random = Random.create(seed);
        this.drafts = LeaderLoadJobs.create(seed, workers);
        this.workers = LeaderLoadWorkers.create(this.drafts, workers, task => this.onStart(task));
        const context: SchedulerContext = {
            jobs: this.jobs,
            progress: ProgressTable.create(),
            queues: QueueTable.create(),
            evacuations: EvacuationTable.create(),
            leadership: this.leadership as unknown as Leadership,
            leases: LeaseTable.create(),
            clocks: WitnessClocks.create(),
            views: { jobs: this.view, configuration: this.view, workers: this.view },
            limits: LIMITS,
            learnedInterference: [],
            effects: this.outbox,
        };
        const [jobs, progress] = this.writers;
        this.scheduler = Scheduler.create(context, 1, { jobs, progress }, 0);
    }

    /** @param plan Size of the load. @returns What it took. */
    static run(plan: LeaderLoadPlan): LeaderLoadResult {
        const load = new LeaderLoad(plan);
        load.drafts.latencyCritical(0).forEach(spec => load.submit(spec));
        while (load.now < plan.warmupMs + plan.lengthMs) {
            if (load.now === plan.warmupMs) {
                load.meter.reset();
            }
            load.step();
        }
        return { meter: load.meter, starts: load.workers.startCount, decisions: load.decisions };
    }

    private step(): void {
        const { now } = this;
        this.view.knownUntil = now;
        this.leadership.renewedAt = now;
        if (now % HEARTBEAT_INTERVAL_MS === 0) {
            this.workers.entries.forEach(entry =>
                this.handle("entry", () => this.scheduler.updateWorker(entry.id, { entry, writtenAfter: now }, now)),
            );
        }
        if (now % TICK_INTERVAL_MS === 0) {
            this.submitDue();
            this.handle("tick", () => this.scheduler.tick(now, now));
        }
        while (this.stored.length > 0 && this.stored[0].at <= now) {
            this.confirm(this.stored.shift()!.effect);
        }
        for (const event of this.workers.advance(now)) {
            this.handle(event.kind, () => this.scheduler.handleWorkerAnswer(event, now));
        }
        this.now += STEP_MS;
    }

    /** Handles an event as an instance does: then it schedules, and sends what is to be stored. */
    private handle(kind: WorkKind, work: () => void): void {
        const { now, scheduler } = this;
        this.meter.measure(() => kind, work);
        const before = scheduler.passCount;
        this.meter.measure(
            () => (scheduler.passCount === before ? "send" : "pass"),
            () => scheduler.schedule(now, now),
        );
        this.meter.measure(
            () => "append",
            () => this.writers.forEach(writer => writer.flush(now)),
        );
        this.outbox.drain().forEach(effect => this.perform(effect));
    }

    private perform(effect: DispatchEffect): void {
        switch (effect.kind) {
            case "append":
                this.stored.push({ at: this.now + STORE_DELAY_MS, effect });
                break;
            case "start":
            case "stop":
            case "throttle":
            case "list":
                if (effect.kind !== "list") {
                    this.decisions.push(
                        `${this.now} ${effect.kind} ${effect.worker.id} ${JSON.stringify(effect.order)}`,
                    );
                }
                this.workers.send(effect, this.now);
                break;
            case "decision":
                this.meter.measure(
                    () => "log",
                    () => JSON.stringify({ time: new Date().toISOString(), event: effect.name, ...effect.data }),
                );
                break;
        }
    }

    /** Confirms an append. The leader reads the stream of jobs, also what it wrote itself. */
    private confirm({ writer: name, stream, append }: DispatchEffect & { readonly kind: "append" }): void {
        const writer = this.writers.find(each => each.name === name)!;
        const { sequence } = append;
        const result = Ok(this.nextOffset);
        this.handle("append-answer", () =>
            writer.handleAnswer({ kind: "append-answer", writer: name, sequence, result }, this.now),
        );
        if (stream === "jobs") {
            append.records.forEach(record => this.apply({ ...record, offset: this.nextOffset++ }));
        }
    }

    private apply(record: StoredRecord): void {
        this.handle("job-record", () => this.jobs.apply(record));
    }

    private submit(spec: JobSpec): void {
        this.apply({ key: jobKey("spec", spec.id), value: encodeSpec(spec), offset: this.nextOffset++ });
    }

    private submitDue(): void {
        const { workers, waitingTasks } = this.plan;
        if (this.random.chance((workers * URGENT_JOBS_PER_S * TICK_INTERVAL_MS) / 1_000)) {
            this.submit(this.drafts.urgent(this.now));
        }
        while (this.now > 0 && this.waitingCount < waitingTasks) {
            const spec = this.drafts.batch(this.now);
            const names = Array.from({ length: spec.steps[0].tasks }, (_, index) => `${spec.id}.0.0.${index}`);
            this.unstarted.set(spec.id, new Set(names));
            this.waitingCount += names.length;
            this.submit(spec);
        }
    }

    private onStart(task: string): void {
        const id = task.slice(0, task.indexOf("."));
        const unstarted = this.unstarted.get(id);
        if (unstarted?.delete(task) === true) {
            this.waitingCount -= 1;
            if (unstarted.size === 0) {
                this.unstarted.delete(id);
            }
        }
    }
}
