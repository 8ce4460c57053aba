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
import { DEFAULT_FAMILY_PROFILE, FamilyProfile, Workload } from "./workload";

/** Speed of a throttled attempt relative to its normal speed. */
const THROTTLED_SPEED_RATIO = 0.5;

/** Share of the work between two checkpoints, which is the most that a restart can lose. */
const CHECKPOINT_STEP_RATIO = 0.05;

/** Age of the usage in a report, in ms. */
const USAGE_LAG_MS = 3_000;

interface RunningTask {
    readonly order: StartOrder;
    readonly profile: FamilyProfile;
    progress: number;
    expiresAt: number;
    leaseOrder: LeaseOrder;
}

/** Called when an attempt starts and ends. */
export abstract class WorkerObserver {
    abstract onStart(worker: string, order: StartOrder): void;
    abstract onEnd(worker: string, order: StartOrder, outcome: AttemptOutcome, progress: number): void;
}

/** In-memory worker that runs tasks under leases, simulates interference between them and reports usage with a lag. */
export class SimulatedWorker extends Worker {
    private readonly running = new Map<string, RunningTask>();
    private readonly finished = new Map<string, FinishedAttempt>();
    private readonly knownAttempts = new Set<string>();
    private highestEpoch = -1;
    private bootedAt: number;
    private updatedAt: number;
    private bootCount = 1;
    private usageHistory: { readonly at: number; readonly running: readonly RunningAttempt[] }[] = [];
    /** Number of busy slots by service, for the interference that the services cause and suffer. */
    readonly busySlots = new Map<string, number>();
    /** Whether every attempt fails at its start. */
    isFailingAttempts = false;
    /** Whether the worker refuses old epochs and late starts; off only in tests that show that these checks are needed. */
    isFencingEnabled = true;

    private constructor(
        readonly name: string,
        private readonly workload: Workload,
        private readonly observer: WorkerObserver | undefined,
        /** Returns a random number from 0 to 1. */
        private readonly random: () => number,
    ) {
        super();
        this.bootedAt = performance.now();
        this.updatedAt = this.bootedAt;
    }

    /**
     * @param name Name of the worker.
     * @param workload Profiles of the task families, and the interference between classes.
     * @param random Returns a random number from 0 to 1.
     * @param observer Called when attempts start and end.
     * @returns An idle worker.
     */
    static create(name: string, workload: Workload, random: () => number, observer?: WorkerObserver): SimulatedWorker {
        return new SimulatedWorker(name, workload, observer, random);
    }

    /** Start orders of the running attempts. */
    get orders(): StartOrder[] {
        return [...this.running.values()].map(each => each.order);
    }

    /** Name of the current incarnation. */
    get boot(): string {
        return `b${this.bootCount}`;
    }

    override exchange(call: LeaseCall): Promise<Result<WorkerReport, WorkerError>> {
        return Promise.resolve(this.exchangeSync(call));
    }

    /** Handles a call synchronously. */
    exchangeSync(call: LeaseCall): Result<WorkerReport, WorkerError> {
        this.updateAttempts();
        if (this.isFencingEnabled && call.epoch < this.highestEpoch) {
            return Err({ kind: "refused", message: `epoch ${call.epoch} is over` });
        }
        this.highestEpoch = Math.max(this.highestEpoch, call.epoch);
        call.acknowledged.forEach(each => this.finished.delete(attemptKey(each)));
        const refused =
            call.boot === this.boot ? call.starts.filter(order => !this.startAttempt(order)) : [...call.starts];
        if (call.boot === this.boot) {
            call.renewals.forEach(renewal => this.renewLease(renewal));
        }
        return Ok(this.createReport(refused, call.usage));
    }

    /** Restarts as a new incarnation: drops running attempts and unacknowledged results, as a crash does. */
    restart(): void {
        this.updateAttempts();
        for (const [key, task] of this.running) {
            this.running.delete(key);
            this.observer?.onEnd(this.name, task.order, "lapsed", 0);
        }
        this.finished.clear();
        this.knownAttempts.clear();
        this.usageHistory = [];
        this.bootCount += 1;
        this.bootedAt = performance.now();
    }

    /**
     * Brings the running attempts up to the current time: adds progress, and ends those that are done or whose lease has
     * expired.
     */
    updateAttempts(): void {
        const now = performance.now();
        const elapsedMs = now - this.updatedAt;
        this.updatedAt = now;
        for (const [key, task] of [...this.running]) {
            this.updateAttempt(key, task, elapsedMs, now - this.bootedAt);
        }
    }

    /**
     * @param victim Family or service that suffers the interference.
     * @returns Its slowdown by everything that runs on this worker; 1 without interference.
     */
    slowdown(victim: string): number {
        const interference = this.workload.interference[victim] ?? {};
        let logSlowdown = 0;
        for (const { order } of this.running.values()) {
            logSlowdown += interference[order.family] ?? 0;
        }
        for (const [service, busy] of this.busySlots) {
            logSlowdown += busy * (interference[service] ?? 0);
        }
        return Math.exp(Math.max(0, logSlowdown - (interference[victim] ?? 0)));
    }

    private startAttempt(order: StartOrder): boolean {
        const key = attemptKey(order);
        if (this.knownAttempts.has(key)) {
            return this.running.has(key) || this.finished.has(key);
        }
        if (this.isFencingEnabled && order.startBy <= this.clock()) {
            return false;
        }
        this.knownAttempts.add(key);
        const profile = this.workload.families[order.family] ?? DEFAULT_FAMILY_PROFILE;
        const progress = order.checkpoint === "" ? 0 : Number(order.checkpoint);
        this.observer?.onStart(this.name, order);
        const task: RunningTask = { order, profile, progress, expiresAt: order.expiresAt, leaseOrder: "run" };
        this.running.set(key, task);
        if (this.isFailingAttempts || this.random() < profile.failureRate) {
            this.endAttempt(key, task, "failed");
        }
        return true;
    }

    private renewLease(renewal: LeaseCall["renewals"][number]): void {
        const key = attemptKey(renewal);
        const task = this.running.get(key);
        if (task === undefined) {
            return;
        }
        task.expiresAt = Math.max(task.expiresAt, renewal.expiresAt);
        task.leaseOrder = renewal.order;
        if (renewal.order === "stop" || renewal.order === "checkpoint-and-stop") {
            this.endAttempt(key, task, renewal.order === "stop" ? "stopped" : "evicted");
        }
    }

    private updateAttempt(key: string, task: RunningTask, elapsedMs: number, clock: number): void {
        const overdueMs = Math.max(0, clock - task.expiresAt);
        const workedMs = Math.max(0, elapsedMs - overdueMs);
        const speed = task.leaseOrder === "throttle" ? THROTTLED_SPEED_RATIO : 1;
        task.progress += (workedMs * speed) / (task.profile.durationMs * this.slowdown(task.order.family));
        if (task.progress >= 1) {
            this.endAttempt(key, task, "done");
        } else if (overdueMs > 0) {
            this.endAttempt(key, task, "lapsed");
        }
    }

    private endAttempt(key: string, task: RunningTask, outcome: AttemptOutcome): void {
        this.running.delete(key);
        const progress = Math.min(1, Math.floor(task.progress / CHECKPOINT_STEP_RATIO) * CHECKPOINT_STEP_RATIO);
        this.finished.set(key, {
            task: task.order.task,
            attempt: task.order.attempt,
            outcome,
            result: outcome === "done" ? `done on ${this.name}` : "",
            checkpoint: outcome === "evicted" || outcome === "lapsed" || outcome === "stopped" ? String(progress) : "",
        });
        this.observer?.onEnd(this.name, task.order, outcome, progress);
    }

    private createReport(refused: readonly StartOrder[], hasUsage: boolean): WorkerReport {
        const clock = this.clock();
        const running = [...this.running.values()].map(({ order, profile, progress }): RunningAttempt => ({
            task: order.task,
            attempt: order.attempt,
            progress,
            cpus: profile.cpus,
            memoryGb: profile.memoryGb,
            slowdown: this.slowdown(order.family),
        }));
        this.usageHistory.push({ at: clock, running });
        while (this.usageHistory.length > 1 && this.usageHistory[1].at <= clock - USAGE_LAG_MS) {
            this.usageHistory.shift();
        }
        const measured = new Map(this.usageHistory[0].running.map(each => [attemptKey(each), each]));
        return {
            boot: this.boot,
            clock,
            measuredAt: this.usageHistory[0].at,
            running: running.map(each => {
                const old = hasUsage ? measured.get(attemptKey(each)) : undefined;
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

function attemptKey({ task, attempt }: { readonly task: string; readonly attempt: number }): string {
    return `${task}#${attempt}`;
}
