import { WorkerEntry } from "../../dispatch/common/workerEntry";
import {
    ListedEnd,
    ListedRun,
    ListOrder,
    OrderOutcome,
    RunEnd,
    StartOrder,
    StopOrder,
} from "../../dispatch/common/workerTraffic";

/** Longest lease that the worker grants, in ms of its clock. */
const LONGEST_LEASE_MS = 6_000;

/** Time that a stop takes, in ms. */
const STOP_MS = 150;

interface Active {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly endsAt: number;
    readonly end: RunEnd;
    stopsAt: number | undefined;
}

/** Told what the worker does, as its back end would see it. */
export interface WorkerWitness {
    onStart(worker: LeasedWorker, task: string, run: number): void;
    onEnd(worker: LeasedWorker, task: string, run: number, end: RunEnd): void;
    /** Told of an end that the scheduler has said it recorded. */
    onRecorded(task: string, run: number, end: RunEnd): void;
}

/** How long a task takes and how it ends, in ms. */
export type DurationOf = (task: string, run: number) => { readonly ms: number; readonly end: RunEnd };

/** A worker of the platform in memory: fences, leases on a clock of its own, numbered ends. */
export class LeasedWorker {
    private readonly active = new Map<string, Active>();
    private readonly highest = new Map<string, number>();
    private ended: ListedEnd[] = [];
    private endCount = 0;
    private fence = 0;
    private leaseUntil = 0;

    private constructor(
        readonly entry: WorkerEntry,
        private readonly bornAt: number,
        private readonly clockRate: number,
        private readonly durationOf: DurationOf,
        private readonly witness: WorkerWitness,
    ) {}

    /**
     * @param entry The worker as it lists itself.
     * @param bornAt Time (ms) of its start.
     * @param clockRate Speed of its clock; it may be 2% slow.
     * @param durationOf Duration and end of a run.
     * @param witness Told what happens.
     * @returns A worker that runs nothing.
     */
    static create(
        entry: WorkerEntry,
        bornAt: number,
        clockRate: number,
        durationOf: DurationOf,
        witness: WorkerWitness,
    ): LeasedWorker {
        return new LeasedWorker(entry, bornAt, clockRate, durationOf, witness);
    }

    /** @param now Time in ms. @returns Reading of the worker's clock in ms. */
    clock(now: number): number {
        return Math.floor((now - this.bornAt) * this.clockRate);
    }

    /** Lets time pass: runs end, leases lapse, stops take effect. */
    advance(now: number): void {
        for (const run of [...this.active.values()]) {
            if (this.clock(now) > this.leaseUntil) {
                this.finish(run, "lapsed");
            } else if (run.stopsAt !== undefined && now >= run.stopsAt) {
                this.finish(run, "stopped");
            } else if (now >= run.endsAt) {
                this.finish(run, run.end);
            }
        }
    }

    /** Kills all runs without a word, as a crash does. */
    crash(): void {
        for (const run of this.active.values()) {
            this.witness.onEnd(this, run.task, run.run, "lapsed");
        }
        this.active.clear();
    }

    /** Starts a task. */
    start(order: StartOrder, now: number): OrderOutcome {
        this.advance(now);
        if (!this.passFence(order.epoch)) {
            return "fenced";
        }
        const present = this.active.get(order.task);
        if (present?.run === order.run) {
            return "done";
        }
        this.extend(order.validUntil, now);
        if (present !== undefined || order.run <= (this.highest.get(order.task) ?? 0)) {
            return "superseded";
        }
        if (order.validUntil <= this.clock(now)) {
            return "too-late";
        }
        const { ms, end } = this.durationOf(order.task, order.run);
        const run = { task: order.task, run: order.run, startedAt: now, endsAt: now + ms, end, stopsAt: undefined };
        this.active.set(order.task, run);
        this.witness.onStart(this, order.task, order.run);
        return "done";
    }

    /** Stops a run, or rejects it if it comes later. */
    stop(order: StopOrder, now: number): OrderOutcome {
        this.advance(now);
        if (!this.passFence(order.epoch)) {
            return "fenced";
        }
        this.highest.set(order.task, Math.max(order.run, this.highest.get(order.task) ?? 0));
        const run = this.active.get(order.task);
        if (run !== undefined && run.run <= order.run) {
            run.stopsAt ??= now + STOP_MS;
        }
        return "done";
    }

    /** Takes in a lease and what is recorded; the lists are read separately. */
    hold(order: ListOrder, now: number): OrderOutcome {
        this.advance(now);
        if (!this.passFence(order.epoch)) {
            return "fenced";
        }
        this.extend(order.leaseUntil ?? 0, now);
        const isRecorded = (end: ListedEnd) => end.number <= order.recordedUpTo;
        this.ended.filter(isRecorded).forEach(end => this.witness.onRecorded(end.task, end.run, end.end));
        this.ended = this.ended.filter(end => !isRecorded(end));
        return "done";
    }

    /** Ends that are not recorded yet. */
    get ends(): readonly ListedEnd[] {
        return this.ended;
    }

    /** What runs. */
    running(now: number): ListedRun[] {
        return [...this.active.values()].map(run => ({
            task: run.task,
            run: run.run,
            checkpoint: "",
            percent: Math.min(99, Math.floor((100 * (now - run.startedAt)) / Math.max(1, run.endsAt - run.startedAt))),
            measure: 0,
        }));
    }

    private extend(until: number, now: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock(now) + LONGEST_LEASE_MS));
    }

    private passFence(epoch: number): boolean {
        this.fence = Math.max(this.fence, epoch);
        return epoch >= this.fence;
    }

    private finish(run: Active, end: RunEnd): void {
        this.active.delete(run.task);
        this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0));
        this.endCount += 1;
        this.ended.push({ number: this.endCount, task: run.task, run: run.run, end, checkpoint: "" });
        this.witness.onEnd(this, run.task, run.run, end);
    }
}
