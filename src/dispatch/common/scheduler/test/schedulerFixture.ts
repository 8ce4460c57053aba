import { DelayState, DelaySummary } from "../../../../base/common/loopDelay";
import { Outbox } from "../../../../base/common/outbox";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { encodeSpec, jobKey } from "../../../../jobs/common/jobRecord";
import { JobTable } from "../../../../jobs/common/jobTable";
import { ProgressTable } from "../../../../jobs/common/progressTable";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { LEASE_HORIZON_MS } from "../../../../records/common/formerLeaders";
import { Leadership } from "../../../../records/common/leadership";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { WitnessClocks } from "../../../../records/common/witnessClocks";
import { DecisionEffect, DispatchEffect } from "../dispatchEffects";
import { EvacuationTable } from "../../workers/evacuationTable";
import { InterferenceRow } from "../../placement/latencyModel";
import { LeaseAuthority } from "../../workers/leaseBook";
import { LeaseTable } from "../../workers/leaseTable";
import { Run } from "../../runs/run";
import { Scheduler } from "../scheduler";
import { SchedulerContext } from "../schedulerContext";
import { WorkerEntry } from "../../workers/workerEntry";
import { OrderOutcome, RunList, StartOrder, ThrottleOrder } from "../../workers/workerMessages";
import { AUTHORITY, createJob, createStep, createWorker, LIMITS, readingOf } from "../../jobs/test/runs";

/** Interval between two ticks, in ms. */
export const TICK_MS = 25;

const HEARTBEAT_INTERVAL_MS = 1_500;

/** A stream of which the fixture sets how far it was read. */
type BoundedStream = "jobs" | "configuration" | "workers";

/** A scheduler with two simulated workers and one job of one task. */
export class SchedulerFixture {
    readonly starts: { readonly worker: string; readonly order: StartOrder; readonly sentAt: number }[] = [];
    /** Highest number up to which ends were confirmed, by worker. */
    readonly confirmed = new Map<string, number>();
    /** Workers that do not answer. */
    readonly silent = new Set<string>();
    /** Workers that reject all starts. */
    readonly unhealthy = new Set<string>();
    /** Values of the records that were stored in the stream of jobs, by key. */
    readonly published = new Map<string, string | undefined>();
    /** Lists that the workers answer with. */
    readonly lists = new Map<string, RunList>();
    private readonly outbox = Outbox.create<DispatchEffect>();
    private readonly scheduler: Scheduler;
    private readonly writers = ["jobs", "progress"].map(name =>
        RecordWriter.create(name, name as "jobs", { name: "leader", epoch: 1 }, this.outbox),
    );
    private now = 0;
    /** Latest entries of the workers. */
    private readonly entries = new Map<string, WorkerEntry>();
    private lastHeartbeatAt = 0;
    private readonly heldAppends: (DispatchEffect & { readonly kind: "append" })[] = [];
    /** Whether appends to the store are answered only when it is up again. */
    isStoreDown = false;
    /** Whether the workers renew their entries in service discovery. */
    hasHeartbeats = true;
    private readonly leadership: LeaseAuthority & { renewedAt: number | undefined };
    /** How far the streams were read. */
    private readonly views: Record<BoundedStream, { knownUntil: number | undefined }> = {
        jobs: { knownUntil: 0 },
        configuration: { knownUntil: 0 },
        workers: { knownUntil: 0 },
    };
    /** How old the views of the streams are, in ms. */
    readonly viewAgesMs: Record<BoundedStream, number> = { jobs: 0, configuration: 0, workers: 0 };
    /** How late the loop is. */
    readonly loop: { state: DelayState; summary: DelaySummary } = {
        state: "on-time",
        summary: { medianMs: 0, mostMs: 0 },
    };
    readonly decisions: DecisionEffect[] = [];
    readonly throttles: ThrottleOrder[] = [];
    /** Outcome of the orders to throttle; `undefined` while they are in flight. */
    throttleOutcome: OrderOutcome | undefined;
    /** Tail latencies (ms) that latency-critical tasks report. */
    readonly latencies = new Map<string, number>();

    private readonly jobs = JobTable.create();
    /** Queues as configured; none at first, so that each job has the settings with which it was accepted. */
    readonly queues = QueueTable.create();

    private constructor(step: StepSpec, learnedInterference: readonly InterferenceRow[]) {
        const { jobs, queues } = this;
        this.submit("a", step);
        const rights = { canSendOrders: () => true, canExtendLeases: () => true, formerLeasesEndBy: undefined };
        this.leadership = {
            ...AUTHORITY,
            ...rights,
            renewedAt: 0,
            leasesSince: 1,
            get leasesMayLastUntil() {
                return this.renewedAt! + LEASE_HORIZON_MS;
            },
        };
        const leadership = this.leadership as unknown as Leadership;
        const evacuations = EvacuationTable.create();
        const tables = { jobs, progress: ProgressTable.create(), queues, evacuations };
        const context: SchedulerContext = {
            ...tables,
            leadership,
            leases: LeaseTable.create(),
            clocks: WitnessClocks.create(),
            views: { ...this.views, loop: this.loop },
            limits: LIMITS,
            learnedInterference,
            effects: this.outbox,
        };
        const [jobsWriter, progress] = this.writers;
        this.scheduler = Scheduler.create(context, 1, { jobs: jobsWriter, progress }, 0);
        this.scheduler.restore(0);
        this.scheduler.begin(0, 0);
        ["w1", "w2"].forEach(id => this.updateWorker(createWorker(id).entry));
    }

    static create(
        step = createStep("x", false),
        learnedInterference: readonly InterferenceRow[] = [],
    ): SchedulerFixture {
        return new SchedulerFixture(step, learnedInterference);
    }

    /** Submits a job of one step. */
    submit(id: string, step: StepSpec): void {
        const { spec } = createJob(id, step, this.now);
        this.jobs.apply({ key: jobKey("spec", id), value: encodeSpec(spec), offset: this.jobs.size });
    }

    /** Writes the entry of a worker, which the scheduler reads at once. */
    updateWorker(entry: WorkerEntry): void {
        this.entries.set(entry.id, entry);
        this.scheduler.updateWorker(entry.id, readingOf(entry, this.now), this.now);
    }

    /** Whether the store confirms the renewals of the leader, which the fixture does not send. */
    isEpochConfirmed = true;

    /** Advances the time. @param ms By how much, in ms. */
    advance(ms: number): void {
        for (const until = this.now + ms; this.now < until; this.now += TICK_MS) {
            for (const stream of ["jobs", "configuration", "workers"] as const) {
                this.views[stream].knownUntil = this.now - this.viewAgesMs[stream];
            }
            this.leadership.renewedAt = this.isEpochConfirmed ? this.now : -20_000;
            if (this.hasHeartbeats && this.now - this.lastHeartbeatAt >= HEARTBEAT_INTERVAL_MS) {
                this.lastHeartbeatAt = this.now;
                this.entries.forEach(entry => this.updateWorker(entry));
            }
            this.scheduler.tick(this.now, this.now);
            this.scheduler.schedule(this.now, this.now);
            this.writers.forEach(writer => writer.flush(this.now));
            const appends = this.isStoreDown ? [] : this.heldAppends.splice(0);
            [...appends, ...this.outbox.drain()].forEach(effect => this.perform(effect));
        }
    }

    /** Moves a run that is throttled. */
    move(run: Run): void {
        this.scheduler.moveThrottled(run, this.now);
    }

    private answerThrottle({ worker, order }: DispatchEffect & { readonly kind: "throttle" }): void {
        if (this.throttleOutcome !== undefined) {
            const clockMs = this.throttleOutcome === "no-answer" ? undefined : this.now;
            const base = { worker: worker.id, sentAt: this.now, outcome: this.throttleOutcome, clockMs };
            this.scheduler.handleWorkerAnswer({ kind: "throttle-answer", order, ...base }, this.now);
        }
    }

    private perform(effect: DispatchEffect): void {
        if (effect.kind === "append" && this.isStoreDown) {
            this.heldAppends.push(effect);
            return;
        }
        if (effect.kind === "append") {
            const result = { ok: true, val: 0 } as never;
            const { sequence, records } = effect.append;
            if (effect.stream === "jobs") {
                records.forEach(({ key, value }) => this.published.set(key, value));
            }
            const writer = this.writers.find(each => each.name === effect.writer)!;
            writer.handleAnswer({ kind: "append-answer", writer: effect.writer, sequence, result }, this.now);
            return;
        }
        if (effect.kind === "decision") {
            this.decisions.push(effect);
        }
        if (effect.kind === "throttle") {
            this.throttles.push(effect.order);
            this.answerThrottle(effect);
        }
        if (effect.kind !== "list" && effect.kind !== "start") {
            return;
        }
        const { id } = effect.worker;
        const isSilent = this.silent.has(id);
        const outcome = isSilent ? ("no-answer" as const) : ("done" as const);
        const base = { worker: id, sentAt: this.now, outcome, clockMs: isSilent ? undefined : this.now };
        if (effect.kind === "start") {
            const { task, run } = effect.order;
            this.starts.push({ worker: id, order: effect.order, sentAt: this.now });
            if (this.unhealthy.has(id)) {
                const rejection = { ...base, outcome: "unhealthy" as const };
                this.scheduler.handleWorkerAnswer(
                    { kind: "start-answer", order: effect.order, ...rejection },
                    this.now,
                );
                return;
            }
            const others = this.lists.get(id)?.running.filter(each => each.task !== task) ?? [];
            const latency = this.latencies.get(task);
            const latencyOrUsage = latency ?? 8_000;
            const running = [
                ...others,
                { task, run, checkpoint: "", percent: latency === undefined ? 50 : 100, latencyOrUsage },
            ];
            this.lists.set(id, { incarnation: 1, running, ended: [] });
            this.scheduler.handleWorkerAnswer({ kind: "start-answer", order: effect.order, ...base }, this.now);
        } else {
            const list = this.lists.get(id) ?? { incarnation: 1, running: [], ended: [] };
            this.confirmed.set(id, Math.max(this.confirmed.get(id) ?? 0, isSilent ? 0 : effect.order.recordedUpTo));
            this.scheduler.handleWorkerAnswer(
                { kind: "list-answer", order: effect.order, list: isSilent ? undefined : list, ...base },
                this.now,
            );
        }
    }
}
