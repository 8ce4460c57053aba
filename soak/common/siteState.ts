import { CRASHES_BEFORE_FAILED, MAX_ATTEMPTS } from "./bounds";
import { jobIdOf, RunEnd, SoakEvent, SoakJob, SoakStep, stepNumberOf, WorkerCapacity } from "./soakEvent";

/** A run that is active on a worker. */
export interface ActiveRun {
    readonly worker: number;
    readonly task: string;
    readonly run: number;
    /** Time of its start. */
    readonly atMs: number;
}

/** What is known of the jobs, the workers and the disruptions from the events so far. */
export class SiteState {
    readonly jobs = new Map<string, SoakJob>();
    readonly accepted = new Set<string>();
    /** Jobs for which a cancellation was sent. */
    readonly cancelled = new Set<string>();
    readonly workers = new Map<number, WorkerCapacity>();
    /** Active runs by task. */
    readonly runs = new Map<string, ActiveRun[]>();
    /** Tasks of which a run ended `done`. */
    readonly done = new Set<string>();
    /** Number of runs that ended `failed`, by task. */
    readonly failures = new Map<string, number>();
    /** Number of runs that were lost with their worker, by task. */
    readonly crashes = new Map<string, number>();
    /** Tasks that crash the workers that start them. */
    readonly deadlyTasks = new Set<string>();
    private readonly disruptions = new Map<string, number>();
    private lastDisruptionMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** @returns The state before the first event. */
    static create(): SiteState {
        return new SiteState();
    }

    /** @param event What was seen. */
    apply(event: SoakEvent): void {
        switch (event.kind) {
            case "submitted":
                this.jobs.set(event.job.id, event.job);
                break;
            case "accepted":
                this.accepted.add(event.id);
                break;
            case "cancel-sent":
                this.cancelled.add(event.id);
                break;
            case "worker-began":
                this.workers.set(event.worker, event.capacity);
                break;
            case "worker-ended":
                this.workers.delete(event.worker);
                break;
            case "run-started":
                this.runs.set(event.task, [...this.runsOf(event.task), event]);
                if (event.isDeadly) {
                    this.deadlyTasks.add(event.task);
                }
                break;
            case "run-ended":
                this.endRun(event.task, event.worker, event.end);
                break;
            case "disruption-began":
                this.disruptions.set(event.name, (this.disruptions.get(event.name) ?? 0) + 1);
                this.lastDisruptionMs = event.atMs;
                break;
            case "disruption-ended":
                this.endDisruption(event.name, event.atMs);
        }
    }

    /** @param atMs Present time. @returns Time since the end of the last disruption, in ms; 0 during one. */
    calmMs(atMs: number): number {
        return this.disruptions.size > 0 ? 0 : atMs - this.lastDisruptionMs;
    }

    /** @returns The active runs of a task. */
    runsOf(task: string): readonly ActiveRun[] {
        return this.runs.get(task) ?? [];
    }

    /** @returns The step of a task, or `undefined` if no such job was submitted. */
    stepOf(task: string): SoakStep | undefined {
        return this.jobs.get(jobIdOf(task))?.steps[stepNumberOf(task)];
    }

    /** @returns The names of all tasks of a step. */
    tasksOf(job: SoakJob, step: number): string[] {
        return Array.from({ length: job.steps[step].count }, (_, index) => `${job.id}.0.${step}.${index}`);
    }

    /** @returns Whether a job may be given up: a task has failed often enough, or has crashed enough workers. */
    hasFailed(job: SoakJob): boolean {
        const tasks = job.steps.flatMap((_, step) => this.tasksOf(job, step));
        return tasks.some(
            task =>
                (this.failures.get(task) ?? 0) >= MAX_ATTEMPTS ||
                (this.deadlyTasks.has(task) && (this.crashes.get(task) ?? 0) >= CRASHES_BEFORE_FAILED),
        );
    }

    /** @returns What the active runs on a worker request. */
    usedOn(worker: number): WorkerCapacity {
        let cpu = 0;
        let memMb = 0;
        for (const runs of this.runs.values()) {
            for (const run of runs.filter(each => each.worker === worker)) {
                cpu += this.stepOf(run.task)?.cpu ?? 0;
                memMb += this.stepOf(run.task)?.memMb ?? 0;
            }
        }
        return { cpu, memMb };
    }

    /** @returns Number of workers that are up and have room for a task of a step. */
    countRoomFor(step: SoakStep): number {
        return [...this.workers].filter(([worker, capacity]) => {
            const used = this.usedOn(worker);
            return used.cpu + step.cpu <= capacity.cpu && used.memMb + step.memMb <= capacity.memMb;
        }).length;
    }

    /** Share of the capacity of the workers that are up that the active runs request, 0 to 1. */
    get usedRatio(): number {
        const total = { cpu: 0, memMb: 0, usedCpu: 0, usedMemMb: 0 };
        for (const [worker, capacity] of this.workers) {
            const used = this.usedOn(worker);
            total.cpu += capacity.cpu;
            total.memMb += capacity.memMb;
            total.usedCpu += used.cpu;
            total.usedMemMb += used.memMb;
        }
        return total.cpu === 0 ? 1 : Math.max(total.usedCpu / total.cpu, total.usedMemMb / total.memMb);
    }

    private endRun(task: string, worker: number, end: RunEnd): void {
        const left = this.runsOf(task).filter(each => each.worker !== worker);
        if (left.length === 0) {
            this.runs.delete(task);
        } else {
            this.runs.set(task, left);
        }
        if (end === "done") {
            this.done.add(task);
        } else if (end === "failed") {
            this.failures.set(task, (this.failures.get(task) ?? 0) + 1);
        } else if (end === "lost") {
            this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
        }
    }

    private endDisruption(name: string, atMs: number): void {
        const count = this.disruptions.get(name) ?? 0;
        if (count > 1) {
            this.disruptions.set(name, count - 1);
        } else {
            this.disruptions.delete(name);
        }
        this.lastDisruptionMs = atMs;
    }
}
