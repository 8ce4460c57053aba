import { Err, Ok, Result } from "ts-results";
import {
    AttemptOutcome,
    FinishedAttempt,
    LeaseCall,
    LeaseOrder,
    RunningAttempt,
    StartOrder,
    Worker,
    WorkerError,
    WorkerReport,
} from "../../services/common/worker";
import { DEFAULT_FAMILY, FamilyTruth, Workload } from "./workload";

/** Share of its speed that a throttled attempt keeps. */
const THROTTLED_SPEED = 0.5;

/** Share of the work that a checkpoint can lose at the most: progress is kept in steps of this size. */
const CHECKPOINT_STEP = 0.05;

/** By how much the usage in a report lags, in ms. */
const USAGE_LAG_MS = 3_000;

interface RunningTask {
    readonly order: StartOrder;
    readonly truth: FamilyTruth;
    progress: number;
    expiresAt: number;
    leaseOrder: LeaseOrder;
}

/** Told when an attempt begins and ends. */
export abstract class WorkerObserver {
    abstract started(worker: string, order: StartOrder): void;
    abstract ended(worker: string, order: StartOrder, outcome: AttemptOutcome, progress: number): void;
}

/** A worker in memory: runs tasks under leases, slows them by what runs beside them, and reports with a lag. */
export class SimulatedWorker extends Worker {
    private readonly running = new Map<string, RunningTask>();
    private readonly finished = new Map<string, FinishedAttempt>();
    private readonly known = new Set<string>();
    private highestEpoch = -1;
    private bootedAt: number;
    private advancedAt: number;
    private bootCount = 1;
    private lagged: { readonly at: number; readonly running: readonly RunningAttempt[] }[] = [];
    /** Busy slots of services, by name, for the slowdown that they cause and suffer. */
    readonly services = new Map<string, number>();
    /** Whether every attempt fails as it starts. */
    failsEverything = false;
    /** Whether the worker keeps the rules on epochs; off only to show that they are needed. */
    keepsEpochs = true;

    private constructor(
        readonly name: string,
        private readonly workload: Workload,
        private readonly observer: WorkerObserver | undefined,
        /** Gives a number from 0 to 1. */
        private readonly random: () => number,
    ) {
        super();
        this.bootedAt = performance.now();
        this.advancedAt = this.bootedAt;
    }

    /**
     * @param name Name of the worker.
     * @param workload How tasks behave.
     * @param random Gives a number from 0 to 1.
     * @param observer Told when attempts begin and end.
     * @returns An idle worker.
     */
    static create(name: string, workload: Workload, random: () => number, observer?: WorkerObserver): SimulatedWorker {
        return new SimulatedWorker(name, workload, observer, random);
    }

    /** Orders of the attempts that are running. */
    get orders(): StartOrder[] {
        return [...this.running.values()].map(each => each.order);
    }

    /** Name of the present boot. */
    get boot(): string {
        return `b${this.bootCount}`;
    }

    override exchange(call: LeaseCall): Promise<Result<WorkerReport, WorkerError>> {
        return Promise.resolve(this.exchangeNow(call));
    }

    /** Answers a call at once. */
    exchangeNow(call: LeaseCall): Result<WorkerReport, WorkerError> {
        this.advance();
        if (this.keepsEpochs && call.epoch < this.highestEpoch) {
            return Err({ kind: "refused", message: `epoch ${call.epoch} is over` });
        }
        this.highestEpoch = Math.max(this.highestEpoch, call.epoch);
        call.acknowledged.forEach(each => this.finished.delete(nameOf(each)));
        const refused = call.boot === this.boot ? call.starts.filter(order => !this.start(order)) : [...call.starts];
        if (call.boot === this.boot) {
            call.renewals.forEach(renewal => this.renew(renewal));
        }
        return Ok(this.report(refused, call.usage));
    }

    /** Loses all that runs and all ends that were not acknowledged, as a crash does. */
    reboot(): void {
        this.advance();
        for (const [name, task] of this.running) {
            this.running.delete(name);
            this.observer?.ended(this.name, task.order, "lapsed", 0);
        }
        this.finished.clear();
        this.known.clear();
        this.lagged = [];
        this.bootCount += 1;
        this.bootedAt = performance.now();
    }

    /** Brings the running attempts up to the present moment. */
    advance(): void {
        const now = performance.now();
        const elapsed = now - this.advancedAt;
        this.advancedAt = now;
        for (const [name, task] of [...this.running]) {
            this.advanceTask(name, task, elapsed, now - this.bootedAt);
        }
    }

    /**
     * @param victim A class of work.
     * @returns Slowdown of it by all that runs here; 1 without any.
     */
    slowdown(victim: string): number {
        const row = this.workload.interference[victim] ?? {};
        let sum = 0;
        for (const { order } of this.running.values()) {
            sum += row[order.family] ?? 0;
        }
        for (const [service, busy] of this.services) {
            sum += busy * (row[service] ?? 0);
        }
        return Math.exp(Math.max(0, sum - (row[victim] ?? 0)));
    }

    private start(order: StartOrder): boolean {
        const name = nameOf(order);
        if (this.known.has(name)) {
            return this.running.has(name) || this.finished.has(name);
        }
        if (this.keepsEpochs && order.startBy <= this.clock()) {
            return false;
        }
        this.known.add(name);
        const truth = this.workload.families[order.family] ?? DEFAULT_FAMILY;
        const progress = order.checkpoint === "" ? 0 : Number(order.checkpoint);
        this.observer?.started(this.name, order);
        const task: RunningTask = { order, truth, progress, expiresAt: order.expiresAt, leaseOrder: "run" };
        this.running.set(name, task);
        if (this.failsEverything || this.random() < truth.failureRate) {
            this.end(name, task, "failed");
        }
        return true;
    }

    private renew(renewal: LeaseCall["renewals"][number]): void {
        const name = nameOf(renewal);
        const task = this.running.get(name);
        if (task === undefined) {
            return;
        }
        task.expiresAt = Math.max(task.expiresAt, renewal.expiresAt);
        task.leaseOrder = renewal.order;
        if (renewal.order === "stop" || renewal.order === "checkpoint-and-stop") {
            this.end(name, task, renewal.order === "stop" ? "stopped" : "evicted");
        }
    }

    private advanceTask(name: string, task: RunningTask, elapsed: number, clock: number): void {
        const overdue = Math.max(0, clock - task.expiresAt);
        const worked = Math.max(0, elapsed - overdue);
        const speed = task.leaseOrder === "throttle" ? THROTTLED_SPEED : 1;
        task.progress += (worked * speed) / (task.truth.durationMs * this.slowdown(task.order.family));
        if (task.progress >= 1) {
            this.end(name, task, "done");
        } else if (overdue > 0) {
            this.end(name, task, "lapsed");
        }
    }

    private end(name: string, task: RunningTask, outcome: AttemptOutcome): void {
        this.running.delete(name);
        const progress = Math.min(1, Math.floor(task.progress / CHECKPOINT_STEP) * CHECKPOINT_STEP);
        this.finished.set(name, {
            task: task.order.task,
            attempt: task.order.attempt,
            outcome,
            result: outcome === "done" ? `done on ${this.name}` : "",
            checkpoint: outcome === "evicted" || outcome === "lapsed" || outcome === "stopped" ? String(progress) : "",
        });
        this.observer?.ended(this.name, task.order, outcome, progress);
    }

    private report(refused: readonly StartOrder[], usage: boolean): WorkerReport {
        const clock = this.clock();
        const running = [...this.running.values()].map(({ order, truth, progress }): RunningAttempt => ({
            task: order.task,
            attempt: order.attempt,
            progress,
            cpus: truth.cpus,
            memoryGb: truth.memoryGb,
            slowdown: this.slowdown(order.family),
        }));
        this.lagged.push({ at: clock, running });
        while (this.lagged.length > 1 && this.lagged[1].at <= clock - USAGE_LAG_MS) {
            this.lagged.shift();
        }
        const measured = new Map(this.lagged[0].running.map(each => [nameOf(each), each]));
        return {
            boot: this.boot,
            clock,
            measuredAt: this.lagged[0].at,
            running: running.map(each => {
                const old = usage ? measured.get(nameOf(each)) : undefined;
                return { ...each, cpus: old?.cpus ?? 0, memoryGb: old?.memoryGb ?? 0, slowdown: old?.slowdown ?? 0 };
            }),
            finished: [...this.finished.values()],
            refused: refused.map(({ task, attempt }) => ({ task, attempt })),
        };
    }

    private clock(): number {
        return performance.now() - this.bootedAt;
    }
}

function nameOf({ task, attempt }: { readonly task: string; readonly attempt: number }): string {
    return `${task}#${attempt}`;
}
