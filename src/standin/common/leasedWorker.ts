import { WorkerEntry } from "../../dispatch/common/workerEntry";
import { TaskRequest } from "../../jobs/common/jobSpec";
import {
    ListedEnd,
    ListedRun,
    ListOrder,
    OrderOutcome,
    RunEnd,
    StartOrder,
    StopOrder,
} from "../../dispatch/common/workerMessages";

/** Longest lease that a worker accepts if nothing else is stated, in ms of its clock. */
const DEFAULT_LONGEST_LEASE_MS = 6_000;

/** Time from a stop order to the end of the run, in ms. */
const STOP_DELAY_MS = 150;

interface ActiveRun {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly endsAt: number;
    readonly end: RunEnd;
    stopsAt: number | undefined;
}

/** Called for each start and end of a run, at the time when it really happens. */
export interface LeasedWorkerObserver {
    onStart(worker: LeasedWorker, task: string, run: number): void;
    onEnd(worker: LeasedWorker, task: string, run: number, end: RunEnd): void;
    /** Called when the scheduler has confirmed that an end is recorded. */
    onRecorded(worker: LeasedWorker, task: string, run: number, end: RunEnd): void;
}

/** Decides how long a run takes, in ms, and how it ends. */
export type RunPlanner = (task: string, run: number) => { readonly ms: number; readonly end: RunEnd };

/** In-memory worker of the platform: checks epochs, keeps leases on its own clock and numbers the ends of runs. */
export class LeasedWorker {
    private readonly activeRuns = new Map<string, ActiveRun>();
    private readonly highestRuns = new Map<string, number>();
    private unrecordedEnds: ListedEnd[] = [];
    private endCount = 0;
    private highestEpoch = 0;
    private leaseUntil = 0;

    private constructor(
        private latestEntry: WorkerEntry,
        private readonly startedAt: number,
        private readonly clockRate: number,
        private readonly planRun: RunPlanner,
        private readonly observer: LeasedWorkerObserver,
        private readonly longestLeaseMs: number,
    ) {}

    /**
     * @param entry The worker's entry in service discovery.
     * @param startedAt Time (ms) at which the worker starts.
     * @param clockRate Speed of the worker's clock relative to real time; a clock may be 2% slow.
     * @param planRun Decides the duration and the end of each run.
     * @param observer Called for each start and end of a run.
     * @param longestLeaseMs Longest lease that it accepts, in ms of its clock.
     * @returns An idle worker.
     */
    static create(
        entry: WorkerEntry,
        startedAt: number,
        clockRate: number,
        planRun: RunPlanner,
        observer: LeasedWorkerObserver,
        longestLeaseMs = DEFAULT_LONGEST_LEASE_MS,
    ): LeasedWorker {
        return new LeasedWorker(entry, startedAt, clockRate, planRun, observer, longestLeaseMs);
    }

    /** The worker's entry in service discovery, as its next heartbeat shows it. */
    get entry(): WorkerEntry {
        return this.latestEntry;
    }

    /** Changes the capacity. Runs continue, and starts are accepted as before: the worker does not guard it. */
    setCapacity(capacity: TaskRequest): void {
        this.latestEntry = { ...this.latestEntry, capacity };
    }

    /** @param now Time in ms. @returns Reading of the worker's clock in ms. */
    clock(now: number): number {
        return Math.floor((now - this.startedAt) * this.clockRate);
    }

    /** Ends the runs that are finished, are due to stop or have a lapsed lease. @param now Time in ms. */
    endDueRuns(now: number): void {
        for (const run of [...this.activeRuns.values()]) {
            if (this.clock(now) > this.leaseUntil) {
                this.endRun(run, "lapsed");
            } else if (run.stopsAt !== undefined && now >= run.stopsAt) {
                this.endRun(run, "stopped");
            } else if (now >= run.endsAt) {
                this.endRun(run, run.end);
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
        if (!this.acceptEpoch(order.epoch)) {
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
        const { ms, end } = this.planRun(order.task, order.run);
        const run = { task: order.task, run: order.run, startedAt: now, endsAt: now + ms, end, stopsAt: undefined };
        this.activeRuns.set(order.task, run);
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
        if (!this.acceptEpoch(order.epoch)) {
            return "fenced";
        }
        this.highestRuns.set(order.task, Math.max(order.run, this.highestRuns.get(order.task) ?? 0));
        const run = this.activeRuns.get(order.task);
        if (run !== undefined && run.run <= order.run) {
            run.stopsAt ??= now + STOP_DELAY_MS;
        }
        return "done";
    }

    /**
     * Extends the lease and removes the recorded ends. The caller reads the run list separately.
     * @param now Time in ms.
     * @returns Outcome of the order.
     */
    renewLease(order: ListOrder, now: number): OrderOutcome {
        this.endDueRuns(now);
        if (!this.acceptEpoch(order.epoch)) {
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
        return [...this.activeRuns.values()].map(run => ({
            task: run.task,
            run: run.run,
            checkpoint: "",
            percent: percentOf(run, now),
            latencyOrUsage: 0,
        }));
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
        this.unrecordedEnds.push({ number: this.endCount, task: run.task, run: run.run, end, checkpoint: "" });
        this.observer.onEnd(this, run.task, run.run, end);
    }
}

/** @returns Progress of a run, in percent; 100 for one that lasts. */
function percentOf({ startedAt, endsAt }: ActiveRun, now: number): number {
    return endsAt === Number.POSITIVE_INFINITY
        ? 100
        : Math.min(99, Math.floor((100 * (now - startedAt)) / Math.max(1, endsAt - startedAt)));
}
