import { JobSpec } from "../../jobs/common/jobSpec";
import { RunEnd } from "../../dispatch/common/workerTraffic";
import { LeasedWorker, WorkerWitness } from "../../standin/common/leasedWorker";

/** A promise of the scheduler of jobs that a trial watches. */
export type JobRule =
    "single-run" | "no-start-after-done" | "step-order" | "attempts" | "asked" | "shown-done" | "known" | "finished";

/** A rule that did not hold. */
export interface Breach {
    readonly rule: JobRule;
    readonly atMs: number;
    readonly detail: string;
}

/** Sees what workers do and what callers are told, and holds it against the rules. */
export class JobWitness implements WorkerWitness {
    private readonly running = new Map<string, Map<LeasedWorker, number>>();
    private readonly done = new Set<string>();
    /** Ends `done` that the scheduler said it recorded: they stand for good. */
    private readonly recordedDone = new Set<string>();
    private readonly failures = new Map<string, number>();
    private readonly jobs = new Map<string, JobSpec>();
    /** Jobs whose every hand-in was refused so far. */
    readonly accepted = new Set<string>();
    readonly breaches: Breach[] = [];
    /** Time in ms, set by the trial. */
    now = 0;
    starts = 0;

    private constructor() {}

    /** @returns A witness that has seen nothing. */
    static create(): JobWitness {
        return new JobWitness();
    }

    /** Notes that a job is handed in. */
    noteJob(job: JobSpec): void {
        this.jobs.set(job.id, job);
    }

    onStart(worker: LeasedWorker, task: string, run: number): void {
        this.starts += 1;
        const [id, occurrence, step] = task.split(".");
        const job = this.jobs.get(id);
        const elsewhere = this.running.get(task) ?? new Map<LeasedWorker, number>();
        this.check("single-run", elsewhere.size === 0, `${task} run ${run} starts beside another run`);
        this.check("no-start-after-done", !this.recordedDone.has(task), `${task} run ${run} starts after its end`);
        this.check("asked", job !== undefined, `${task} was not asked for`);
        const earlier = job?.steps[Number(step)].after ?? [];
        const isReady = earlier.every(
            each => job!.steps[each].tasks === this.countDone(`${id}.${occurrence}.${each}.`, job!.steps[each].tasks),
        );
        this.check("step-order", isReady, `${task} starts before the steps that it comes after`);
        const failures = this.failures.get(task) ?? 0;
        this.check("attempts", failures < (job?.queue.maxAttempts ?? 1), `${task} starts after ${failures} failures`);
        elsewhere.set(worker, run);
        this.running.set(task, elsewhere);
    }

    onEnd(worker: LeasedWorker, task: string, _run: number, end: RunEnd): void {
        this.running.get(task)?.delete(worker);
        if (end === "done") {
            this.done.add(task);
        } else if (end === "failed") {
            this.failures.set(task, (this.failures.get(task) ?? 0) + 1);
        }
    }

    onRecorded(task: string, _run: number, end: RunEnd): void {
        if (end === "done") {
            this.recordedDone.add(task);
        }
    }

    /** Notes the state of a job that a caller is shown. */
    onShown(id: string, state: string): void {
        const job = this.jobs.get(id)!;
        if (state === "done") {
            const isDone = job.steps.every(
                (step, index) => this.countDone(`${id}.0.${index}.`, step.tasks) === step.tasks,
            );
            this.check("shown-done", isDone, `${id} is shown as done`);
        } else if (state === "failed") {
            const worst = [...this.failures].filter(([task]) => task.startsWith(id)).map(([, count]) => count);
            const isFailed = Math.max(0, ...worst) >= job.queue.maxAttempts;
            this.check("shown-done", isFailed, `${id} is shown as failed without cause`);
        }
    }

    /** Notes that a caller is told that a job does not exist. */
    onUnknown(id: string): void {
        this.check("known", !this.accepted.has(id), `${id} was accepted and is not known`);
    }

    /** Asserts a rule. */
    check(rule: JobRule, holds: boolean, detail: string): void {
        if (!holds) {
            this.breaches.push({ rule, atMs: Math.round(this.now), detail });
        }
    }

    private countDone(prefix: string, tasks: number): number {
        let count = 0;
        for (let index = 0; index < tasks; index++) {
            count += this.done.has(`${prefix}${index}`) ? 1 : 0;
        }
        return count;
    }
}
