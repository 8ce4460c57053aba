import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { TaskRequest } from "../../jobs/common/jobSpec";
import {
    ListedEnd,
    ListedRun,
    ListOrder,
    OrderOutcome,
    RunEnd,
    StartOrder,
    StopOrder,
    ThrottleOrder,
} from "../../dispatch/common/workers/workerMessages";
import { ColocationModel, RunCondition } from "./colocationModel";
import { IndependentRuns } from "./independentRuns";

/** Longest lease that a worker accepts if nothing else is stated, in ms of its clock. */
const DEFAULT_LONGEST_LEASE_MS = 6_000;

/** Time from a stop order to the end of the run, in ms. */
const STOP_DELAY_MS = 150;

/** Time from an order to throttle until it takes effect, in ms. */
const THROTTLE_DELAY_MS = 100;

/** Time that a run needs to resume from a checkpoint, in ms of work. */
const RESTORE_MS = 100;

/** Time after which a long-running task is serving, in ms of work. */
const STARTUP_MS = 300;

/** Length of the moving window that a report covers, in ms. */
const REPORT_WINDOW_MS = 500;

/** What a run reports, and for how long it held. */
interface Sample {
    readonly at: number;
    readonly elapsedMs: number;
    readonly latencyOrUsage: number;
}

interface ActiveRun {
    readonly task: string;
    readonly run: number;
    readonly plan: RunPlan;
    /** Work that the checkpoint of its start had saved, in ms at full speed. */
    readonly restoredMs: number;
    /** Work done, in ms at full speed. */
    doneMs: number;
    /** Speed in percent of full speed. */
    speedPercent: number;
    nextSpeed: { readonly percent: number; readonly at: number } | undefined;
    samples: Sample[];
    stopsAt: number | undefined;
}

/** Called for each start and end of a run, at the time when it really happens. */
export interface LeasedWorkerObserver {
    onStart(worker: LeasedWorker, task: string, run: number): void;
    onEnd(worker: LeasedWorker, task: string, run: number, end: RunEnd): void;
    /** Called when the scheduler has confirmed that an end is recorded. */
    onRecorded(worker: LeasedWorker, task: string, run: number, end: RunEnd): void;
}

/** How long a run takes, and how it ends. */
export interface RunPlan {
    /** Work of the task, in ms at full speed; infinite for a long-running task. */
    readonly ms: number;
    readonly end: RunEnd;
    /** Work from one checkpoint to the next, in ms at full speed; the run writes none if undefined. */
    readonly checkpointMs?: number;
}

/** Decides how long a run takes and how it ends. */
export type RunPlanner = (task: string, run: number) => RunPlan;

/** In-memory worker of the platform: checks epochs, keeps leases on its own clock and numbers the ends of runs. */
export class LeasedWorker {
    private readonly activeRuns = new Map<string, ActiveRun>();
    private readonly highestRuns = new Map<string, number>();
    private unrecordedEnds: ListedEnd[] = [];
    private endCount = 0;
    private highestEpoch = 0;
    private leaseUntil = 0;
    /** Time (ms) up to which the work of the runs is counted. */
    private workedUntil = 0;
    private slowness = 1;

    private constructor(
        private latestEntry: WorkerEntry,
        private readonly startedAt: number,
        private readonly clockRate: number,
        private readonly planRun: RunPlanner,
        private readonly observer: LeasedWorkerObserver,
        private readonly colocation: ColocationModel,
        private readonly longestLeaseMs: number,
    ) {}

    /**
     * @param entry The worker's entry in service discovery.
     * @param startedAt Time (ms) at which the worker starts.
     * @param clockRate Speed of the worker's clock relative to real time; a clock may be 2% slow.
     * @param planRun Decides the duration and the end of each run.
     * @param observer Called for each start and end of a run.
     * @param colocation Decides how the runs influence each other.
     * @param longestLeaseMs Longest lease that it accepts, in ms of its clock.
     * @returns An idle worker.
     */
    static create(
        entry: WorkerEntry,
        startedAt: number,
        clockRate: number,
        planRun: RunPlanner,
        observer: LeasedWorkerObserver,
        colocation: ColocationModel = IndependentRuns.create(),
        longestLeaseMs = DEFAULT_LONGEST_LEASE_MS,
    ): LeasedWorker {
        return new LeasedWorker(entry, startedAt, clockRate, planRun, observer, colocation, longestLeaseMs);
    }

    /** The worker's entry in service discovery, as its next heartbeat shows it. */
    get entry(): WorkerEntry {
        return this.latestEntry;
    }

    /** Changes the capacity. Runs continue, and starts are accepted as before: the worker does not guard it. */
    setCapacity(capacity: TaskRequest): void {
        this.latestEntry = { ...this.latestEntry, capacity };
    }

    /** Announces that the worker leaves; it serves until then. @param leftMs Minimum time until it leaves, in ms. */
    announceDrain(leftMs: number): void {
        this.latestEntry = { ...this.latestEntry, state: "draining", drainLeftMs: leftMs };
    }

    /** Changes the speed of the worker. @param slowness How many times slower it works than a sound one. @param now Time in ms. */
    setSlowness(slowness: number, now: number): void {
        this.work(now);
        this.slowness = slowness;
    }

    /** @param now Time in ms. @returns The condition of each active run, by task. */
    conditions(now: number): ReadonlyMap<string, RunCondition> {
        const runs = [...this.activeRuns.values()];
        const worker = { capacity: this.latestEntry.capacity, slowness: this.slowness };
        const conditions = this.colocation.conditions(runs, worker, now);
        return new Map(runs.map((run, index) => [run.task, conditions[index]]));
    }

    /** @param now Time in ms. @returns Reading of the worker's clock in ms. */
    clock(now: number): number {
        return Math.floor((now - this.startedAt) * this.clockRate);
    }

    /** Ends the runs that are finished, are due to stop or have a lapsed lease. @param now Time in ms. */
    endDueRuns(now: number): void {
        this.work(now);
        for (const run of [...this.activeRuns.values()]) {
            if (this.clock(now) > this.leaseUntil) {
                this.endRun(run, "lapsed");
            } else if (run.stopsAt !== undefined && now >= run.stopsAt) {
                this.endRun(run, "stopped");
            } else if (run.doneMs >= run.plan.ms) {
                this.endRun(run, run.plan.end);
            }
        }
    }

    /** Ends all runs without listing their ends for the scheduler, as a crash does. */
    crash(): void {
        for (const run of this.activeRuns.values()) {
            this.observer.onEnd(this, run.task, run.run, "lapsed");
        }
        this.activeRuns.clear();
    }

    /** Handles an order to start a run. @param now Time in ms. @returns Outcome of the order. */
    start(order: StartOrder, now: number): OrderOutcome {
        this.endDueRuns(now);
        if (!this.acceptEpoch(order.fence)) {
            return "fenced";
        }
        const active = this.activeRuns.get(order.task);
        if (active?.run === order.run) {
            return "done";
        }
        this.extendLease(order.validUntil, now);
        if (active !== undefined || order.run <= (this.highestRuns.get(order.task) ?? 0)) {
            return "superseded";
        }
        if (order.validUntil <= this.clock(now)) {
            return "too-late";
        }
        const { task, run } = order;
        const restoredMs = Number(order.checkpoint);
        this.activeRuns.set(task, {
            task,
            run,
            plan: this.planRun(task, run),
            restoredMs,
            doneMs: restoredMs === 0 ? 0 : restoredMs - RESTORE_MS,
            speedPercent: 100,
            nextSpeed: undefined,
            samples: [],
            stopsAt: undefined,
        });
        this.observer.onStart(this, order.task, order.run);
        return "done";
    }

    /**
     * Handles an order to stop a run. Start orders for this run or an earlier one are rejected from now on.
     * @param now Time in ms.
     * @returns Outcome of the order.
     */
    stop(order: StopOrder, now: number): OrderOutcome {
        this.endDueRuns(now);
        if (!this.acceptEpoch(order.fence)) {
            return "fenced";
        }
        this.highestRuns.set(order.task, Math.max(order.run, this.highestRuns.get(order.task) ?? 0));
        const run = this.activeRuns.get(order.task);
        if (run !== undefined && run.run <= order.run) {
            run.stopsAt ??= now + STOP_DELAY_MS;
        }
        return "done";
    }

    /** Handles an order to throttle a run. @param now Time in ms. @returns Outcome of the order. */
    throttle(order: ThrottleOrder, now: number): OrderOutcome {
        this.endDueRuns(now);
        if (!this.acceptEpoch(order.fence)) {
            return "fenced";
        }
        const run = this.activeRuns.get(order.task);
        if (run?.run !== order.run) {
            return "superseded";
        }
        run.nextSpeed = { percent: order.percent, at: now + THROTTLE_DELAY_MS };
        return "done";
    }

    /**
     * Extends the lease and removes the recorded ends. The caller reads the run list separately.
     * @param now Time in ms.
     * @returns Outcome of the order.
     */
    renewLease(order: ListOrder, now: number): OrderOutcome {
        this.endDueRuns(now);
        if (!this.acceptEpoch(order.fence)) {
            return "fenced";
        }
        this.extendLease(order.leaseUntil ?? 0, now);
        const isRecorded = (end: ListedEnd) => end.number <= order.recordedUpTo;
        this.unrecordedEnds
            .filter(isRecorded)
            .forEach(end => this.observer.onRecorded(this, end.task, end.run, end.end));
        this.unrecordedEnds = this.unrecordedEnds.filter(end => !isRecorded(end));
        return "done";
    }

    /** Ends that the scheduler has not recorded yet. */
    get ends(): readonly ListedEnd[] {
        return this.unrecordedEnds;
    }

    /** @param now Time in ms. @returns The active runs. */
    listRuns(now: number): ListedRun[] {
        this.work(now);
        return [...this.activeRuns.values()].map(run => ({
            task: run.task,
            run: run.run,
            checkpoint: lastCheckpoint(run),
            percent: percentOf(run),
            latencyOrUsage: averageOf(run.samples),
        }));
    }

    /** Counts the work since the last call. */
    private work(now: number): void {
        const elapsedMs = now - this.workedUntil;
        this.workedUntil = now;
        if (elapsedMs <= 0 || this.activeRuns.size === 0) {
            return;
        }
        const conditions = this.conditions(now);
        for (const run of this.activeRuns.values()) {
            const { rate, latencyOrUsage } = conditions.get(run.task)!;
            run.doneMs += elapsedMs * rate;
            run.samples = run.samples.filter(each => each.at > now - REPORT_WINDOW_MS);
            run.samples.push({ at: now, elapsedMs, latencyOrUsage });
            if (run.nextSpeed !== undefined && now >= run.nextSpeed.at) {
                run.speedPercent = run.nextSpeed.percent;
                run.nextSpeed = undefined;
            }
        }
    }

    private extendLease(until: number, now: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock(now) + this.longestLeaseMs));
    }

    private acceptEpoch(epoch: number): boolean {
        this.highestEpoch = Math.max(this.highestEpoch, epoch);
        return epoch >= this.highestEpoch;
    }

    private endRun(run: ActiveRun, end: RunEnd): void {
        this.activeRuns.delete(run.task);
        this.highestRuns.set(run.task, Math.max(run.run, this.highestRuns.get(run.task) ?? 0));
        this.endCount += 1;
        const checkpoint = end === "stopped" ? stopCheckpoint(run) : lastCheckpoint(run);
        this.unrecordedEnds.push({ number: this.endCount, task: run.task, run: run.run, end, checkpoint });
        this.observer.onEnd(this, run.task, run.run, end);
    }
}

/** @returns Progress, 0 to 100; only a long-running task reports 100. */
function percentOf({ doneMs, plan }: ActiveRun): number {
    if (plan.ms === Number.POSITIVE_INFINITY) {
        return doneMs >= STARTUP_MS ? 100 : 0;
    }
    return Math.max(0, Math.min(99, Math.floor((100 * doneMs) / Math.max(1, plan.ms))));
}

/** @returns The latest checkpoint, the work that it saves in ms; empty before the first one. */
function lastCheckpoint(run: ActiveRun): string {
    const intervalMs = run.plan.checkpointMs;
    return intervalMs === undefined ? "" : checkpointAt(run, Math.floor(run.doneMs / intervalMs) * intervalMs);
}

/** @returns The checkpoint that a run writes when it is stopped. */
function stopCheckpoint(run: ActiveRun): string {
    return run.plan.checkpointMs === undefined ? "" : checkpointAt(run, Math.floor(run.doneMs));
}

function checkpointAt(run: ActiveRun, doneMs: number): string {
    const savedMs = Math.max(run.restoredMs, doneMs);
    return savedMs <= 0 ? "" : `${savedMs}`;
}

/** @returns Mean of what a run reports, in whole units. */
function averageOf(samples: readonly Sample[]): number {
    const totalMs = samples.reduce((sum, each) => sum + each.elapsedMs, 0);
    const total = samples.reduce((sum, each) => sum + each.elapsedMs * each.latencyOrUsage, 0);
    return totalMs === 0 ? 0 : Math.round(total / totalMs);
}
