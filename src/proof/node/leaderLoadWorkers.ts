import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { OrderOutcome, RunList, WorkerEffect, WorkerEvent } from "../../dispatch/common/workers/workerMessages";
import { LeasedWorker } from "../../standin/common/leasedWorker";
import { createWorkerEntry, executeOrder } from "./jobTrialPlan";
import { LeaderLoadJobs } from "./leaderLoadJobs";

/** Time that an order or an answer takes, in ms. */
const LINK_DELAY_MS = 10;

/** Interval at which the ends of runs are looked for, in ms. */
const REVIEW_INTERVAL_MS = 20;

interface HeldList {
    readonly effect: WorkerEffect & { readonly kind: "list" };
    readonly outcome: OrderOutcome;
    readonly sentAt: number;
    readonly deadline: number;
}

interface Delivery {
    readonly at: number;
    readonly deliver: () => void;
}

/** The workers that a leader under load gives its orders to; they are without faults. */
export class LeaderLoadWorkers {
    private readonly workers: ReadonlyMap<string, LeasedWorker>;
    private readonly held = new Map<LeasedWorker, HeldList>();
    private readonly deliveries: Delivery[] = [];
    private answers: WorkerEvent[] = [];
    private reviewedAt = 0;
    private starts = 0;

    private constructor(
        jobs: LeaderLoadJobs,
        count: number,
        private readonly onStart: (task: string) => void,
    ) {
        const observer = {
            onStart: (_worker: LeasedWorker, task: string) => {
                this.starts += 1;
                this.onStart(task);
            },
            onEnd: () => undefined,
            onRecorded: () => undefined,
        };
        const create = (index: number) => {
            const entry = createWorkerEntry(index, `w${index}`, 0, `w${index}`);
            return LeasedWorker.create(entry, 0, 1, task => jobs.planRun(task), observer, jobs);
        };
        const all = Array.from({ length: count }, (_, index) => create(index));
        this.workers = new Map(all.map(each => [each.entry.id, each]));
    }

    /**
     * @param jobs Decides what the tasks do.
     * @param count Number of workers.
     * @param onStart Called with each task that a worker starts.
     * @returns The workers, all idle.
     */
    static create(jobs: LeaderLoadJobs, count: number, onStart: (task: string) => void): LeaderLoadWorkers {
        return new LeaderLoadWorkers(jobs, count, onStart);
    }

    /** The entries of the workers in service discovery. */
    get entries(): WorkerEntry[] {
        return [...this.workers.values()].map(each => each.entry);
    }

    /** Number of runs that were started. */
    get startCount(): number {
        return this.starts;
    }

    /** Sends an order. @param effect The order. @param now Time in ms. */
    send(effect: WorkerEffect, now: number): void {
        this.deliveries.push({
            at: now + LINK_DELAY_MS,
            deliver: () => this.execute(effect, now, now + LINK_DELAY_MS),
        });
    }

    /** @param now Time in ms. @returns The answers that have arrived. */
    advance(now: number): WorkerEvent[] {
        while (this.deliveries.length > 0 && this.deliveries[0].at <= now) {
            this.deliveries.shift()!.deliver();
        }
        if (now - this.reviewedAt >= REVIEW_INTERVAL_MS) {
            this.reviewedAt = now;
            this.held.forEach((list, worker) => this.answerHeld(worker, list, now));
        }
        const { answers } = this;
        this.answers = [];
        return answers;
    }

    private execute(effect: WorkerEffect, sentAt: number, now: number): void {
        const worker = this.workers.get(effect.worker.id)!;
        const outcome = executeOrder(worker, effect, now);
        if (effect.kind === "list") {
            this.held.set(worker, { effect, outcome, sentAt, deadline: now + effect.order.waitMs });
            this.answerHeld(worker, this.held.get(worker)!, now);
        } else {
            this.answer(worker, effect, outcome, undefined, sentAt, now);
        }
    }

    private answerHeld(worker: LeasedWorker, held: HeldList, now: number): void {
        worker.endDueRuns(now);
        if (held.outcome === "done" && worker.ends.length === 0 && now < held.deadline) {
            return;
        }
        this.held.delete(worker);
        const list = { incarnation: 0, running: worker.listRuns(now), ended: [...worker.ends] };
        this.answer(worker, held.effect, held.outcome, list, held.sentAt, now);
    }

    private answer(
        worker: LeasedWorker,
        effect: WorkerEffect,
        outcome: OrderOutcome,
        list: RunList | undefined,
        sentAt: number,
        now: number,
    ): void {
        const base = {
            worker: worker.entry.id,
            outcome,
            clockMs: worker.clock(now),
            sentAt,
            order: effect.order,
            list,
        };
        const event = { kind: `${effect.kind}-answer`, ...base } as WorkerEvent;
        this.deliveries.push({ at: now + LINK_DELAY_MS, deliver: () => this.answers.push(event) });
    }
}
