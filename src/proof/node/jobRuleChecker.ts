import { JobSpec, TaskRequest } from "../../jobs/common/jobSpec";
import { RunEnd } from "../../dispatch/common/workers/workerMessages";
import { LeasedWorker, LeasedWorkerObserver } from "../../standin/common/leasedWorker";
import { CancellationChecker } from "./cancellationChecker";
import { DrainChecker } from "./drainChecker";
import { EvacuationChecker } from "./evacuationChecker";
import { FenceChecker } from "./fenceChecker";
import { LastingTaskChecker } from "./lastingTaskChecker";
import { TargetChecker } from "./targetChecker";
import { TrialSchedule } from "./trialSchedule";
import { WaitChecker } from "./waitChecker";
import { WaitReports } from "./waitReports";

/** Number of crashes under a task after which it may be given up, and number after which its starts are limited. */
const CRASHES_BEFORE_FAILED = 2;
const CRASHES_BEFORE_BUDGET = 3;

/** Time from a shrink of a worker's capacity to when it counts: `stableWindowMs` and one heartbeat, in ms. */
const SHRINK_GRACE_MS = 4_000 + 1_500;

/** Number of starts that the limit allows; a task that is started three times more breaks the rule. */
const MAX_STARTS_AFTER_CRASHES = 2;

/** Time after a disruption from which none is near any more, in ms. */
const STABLE_WINDOW_MS = 4_000;

/** A rule of the job scheduler that a trial checks. */
export type JobRule =
    | "single-run"
    | "no-start-after-done"
    | "step-order"
    | "attempts"
    | "crash-budget"
    | "capacity"
    | "asked"
    | "unasked"
    | "drained"
    | "evacuated"
    | "shown-done"
    | "known"
    | "finished"
    | "lasting-run"
    | "one-leader"
    | "bounded-wait"
    | "target-kept";

/** One violation of a rule. */
export interface RuleViolation {
    readonly rule: JobRule;
    readonly atMs: number;
    readonly detail: string;
}

/** Checks the rules against what the workers run and what callers receive. */
export class JobRuleChecker implements LeasedWorkerObserver {
    private readonly activeRuns = new Map<string, Map<LeasedWorker, number>>();
    private readonly completedTasks = new Set<string>();
    /** Tasks whose end `done` the scheduler confirmed as recorded; they must not start again. */
    private readonly recordedAsDone = new Set<string>();
    /** Runs that ended `done` and that no lapse of their worker's lease has followed, by worker. */
    private readonly doneRuns = new Map<LeasedWorker, Map<string, number>>();
    /** Highest run of each task that has started. */
    private readonly highestRuns = new Map<string, number>();
    private readonly failures = new Map<string, number>();
    private readonly jobs = new Map<string, JobSpec>();
    /** Tasks that crash each worker that starts them. */
    private readonly deadlyTasks = new Set<string>();
    /** Number of crashes of workers on which a task ran. */
    private readonly crashes = new Map<string, number>();
    /** Number of starts of a task since the third crash under it. */
    private readonly startsAfterCrashes = new Map<string, number>();
    /** Earlier capacities of workers and the times (ms) until which they still count. */
    private readonly earlierCapacities = new Map<LeasedWorker, { capacity: TaskRequest; until: number }[]>();
    /** Jobs of which at least one submission was answered with `accepted`. */
    readonly accepted = new Set<string>();
    readonly violations: RuleViolation[] = [];
    readonly cancellations: CancellationChecker;
    readonly drains: DrainChecker;
    readonly evacuations: EvacuationChecker;
    readonly fences: FenceChecker;
    readonly lastingTasks: LastingTaskChecker;
    readonly reports = WaitReports.create();
    private readonly waits: WaitChecker;
    private readonly targets: TargetChecker;
    /** Time (ms) from which no disruption is near. */
    private calmFrom = 0;
    starts = 0;
    /** How often the capacity of a worker shrank. */
    shrinks = 0;

    private constructor(
        private readonly schedule: TrialSchedule,
        maxGapMs: number,
        evacuationMs: number | undefined,
    ) {
        this.cancellations = CancellationChecker.create(schedule, detail => this.check("unasked", false, detail));
        this.drains = DrainChecker.create(schedule, detail => this.check("drained", false, detail));
        this.evacuations = EvacuationChecker.create(schedule, evacuationMs, detail =>
            this.check("evacuated", false, detail),
        );
        this.fences = FenceChecker.create(detail => this.check("one-leader", false, detail));
        const reportGap = (id: string, detail: string) =>
            this.check("lasting-run", false, `${detail}; ${this.reports.describe(id)}`);
        this.lastingTasks = LastingTaskChecker.create(schedule, maxGapMs, reportGap);
        this.waits = WaitChecker.create((id, detail) =>
            this.check("bounded-wait", false, `${id} ${detail}; ${this.reports.describe(id)}`),
        );
        this.targets = TargetChecker.create(detail => this.check("target-kept", false, detail));
    }

    /**
     * @param schedule Clock of the trial.
     * @param maxGapMs Longest time for which a task that lasts may be without a run after its first one, in ms.
     * @param evacuationMs Time after an evacuation from which no task starts there, in ms.
     * @returns A checker without any observations.
     */
    static create(schedule: TrialSchedule, maxGapMs = Number.POSITIVE_INFINITY, evacuationMs?: number): JobRuleChecker {
        return new JobRuleChecker(schedule, maxGapMs, evacuationMs);
    }

    /** Records that a job is submitted. @param job The job. @param deadlyTask Its task that crashes workers, if any. */
    recordSubmission(job: JobSpec, deadlyTask?: string): void {
        this.jobs.set(job.id, job);
        this.waits.recordSubmission(job);
        if (deadlyTask !== undefined) {
            this.deadlyTasks.add(deadlyTask);
        }
        this.lastingTasks.recordSubmission(job);
    }

    /** @param task Name of a task. @returns Whether it crashes each worker that starts it. */
    isDeadly(task: string): boolean {
        return this.deadlyTasks.has(task);
    }

    /** Records a disruption of any kind. @param lastsMs Time for which it lasts, in ms. */
    recordDisruption(lastsMs: number): void {
        this.calmFrom = Math.max(this.calmFrom, this.schedule.now + lastsMs + STABLE_WINDOW_MS);
    }

    /** Checks the waits of jobs, the tasks that last and the targets of latency-critical tasks. @param workers The workers that are up. */
    reviewColocation(workers: readonly LeasedWorker[]): void {
        const { now } = this.schedule;
        const isCalm = now >= this.calmFrom;
        const wanted = [...this.accepted].filter(id => !this.cancellations.isCancelled(id));
        this.waits.review(wanted, workers, isCalm, now);
        this.targets.review(workers, isCalm, now);
        this.reviewLastingTasks();
    }

    /** Checks the tasks that last. */
    reviewLastingTasks(): void {
        this.lastingTasks.review(id => !this.cancellations.isCancelled(id), this.calmFrom);
    }

    /** Records that a worker crashes under the runs that are active on it. */
    recordCrash(worker: LeasedWorker): void {
        for (const [task, runs] of this.activeRuns) {
            if (runs.has(worker)) {
                this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
            }
        }
    }

    /** Records that the capacity of a worker is about to shrink. */
    recordShrink(worker: LeasedWorker): void {
        this.shrinks += 1;
        const earlier = this.earlierCapacities.get(worker) ?? [];
        earlier.push({ capacity: worker.entry.capacity, until: this.schedule.now + SHRINK_GRACE_MS });
        this.earlierCapacities.set(worker, earlier);
    }

    /** Crashes of workers under deadly tasks. */
    get deadlyCrashes(): number {
        return [...this.deadlyTasks].reduce((sum, task) => sum + (this.crashes.get(task) ?? 0), 0);
    }

    /** Tasks, not deadly themselves, that ran on at least two workers when these crashed. */
    get sharedCrashes(): number {
        return [...this.crashes].filter(([task, count]) => count >= CRASHES_BEFORE_FAILED && !this.isDeadly(task))
            .length;
    }

    onStart(worker: LeasedWorker, task: string, run: number): void {
        this.starts += 1;
        this.cancellations.onStart(worker, task, run);
        this.drains.onStart(worker, task, run);
        this.evacuations.onStart(worker, task, run);
        this.lastingTasks.onStart(task);
        this.waits.onStart(worker, task);
        const [id, occurrence, step] = task.split(".");
        const job = this.jobs.get(id);
        const otherRuns = this.activeRuns.get(task) ?? new Map<LeasedWorker, number>();
        this.check(
            "single-run",
            otherRuns.size === 0,
            `${task} run ${run} starts while another run of the task is active`,
        );
        this.check(
            "no-start-after-done",
            !this.recordedAsDone.has(task),
            `${task} run ${run} starts after the task's end was recorded`,
        );
        this.check("asked", job !== undefined, `${task} belongs to no submitted job`);
        const earlier = job?.steps[Number(step)].after ?? [];
        const isStepReady = earlier.every(
            each => job!.steps[each].tasks === this.countDone(`${id}.${occurrence}.${each}.`, job!.steps[each].tasks),
        );
        this.check("step-order", isStepReady, `${task} starts before the steps it depends on are done`);
        const failures = this.failures.get(task) ?? 0;
        this.check("attempts", failures < (job?.queue.maxAttempts ?? 1), `${task} starts after ${failures} failures`);
        this.checkCrashBudget(task, run);
        this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
        otherRuns.set(worker, run);
        this.activeRuns.set(task, otherRuns);
        this.checkCapacity(worker, task, run);
    }

    onEnd(worker: LeasedWorker, task: string, run: number, end: RunEnd): void {
        this.cancellations.onEnd(worker, task, run);
        this.lastingTasks.onEnd(task);
        this.waits.onEnd(task, end);
        this.activeRuns.get(task)?.delete(worker);
        if (end === "done" && !this.lastingTasks.has(task)) {
            this.completedTasks.add(task);
            const doneRuns = this.doneRuns.get(worker) ?? new Map<string, number>();
            this.doneRuns.set(worker, doneRuns.set(task, run));
        } else if (end === "lapsed") {
            this.doneRuns.delete(worker);
        } else if (end === "failed") {
            this.failures.set(task, (this.failures.get(task) ?? 0) + 1);
        }
    }

    onRecorded(worker: LeasedWorker, task: string, run: number, end: RunEnd): void {
        if (end === "done" && !this.lastingTasks.has(task)) {
            this.recordedAsDone.add(task);
            const isRestarted = this.doneRuns.get(worker)?.get(task) === run && (this.highestRuns.get(task) ?? 0) > run;
            this.check(
                "no-start-after-done",
                !isRestarted,
                `${task} run ${run} is recorded as done although the task was started again`,
            );
        }
    }

    /** Checks the state of a job that a caller receives. */
    onStateReturned(id: string, state: string): void {
        const job = this.jobs.get(id)!;
        if (state === "done") {
            const isDone = job.steps.every(
                (step, index) => this.countDone(`${id}.0.${index}.`, step.tasks) === step.tasks,
            );
            this.check("shown-done", isDone, `${id} is reported as done before all its tasks are done`);
        } else if (state === "failed") {
            const failureCounts = [...this.failures].filter(([task]) => task.startsWith(id)).map(([, count]) => count);
            const isFailed = Math.max(0, ...failureCounts) >= job.queue.maxAttempts || this.hasCrashedWorkers(id);
            this.check("shown-done", isFailed, `${id} is reported as failed, but no task has failed often enough`);
        }
    }

    /** Checks the answer to a caller that a job does not exist. */
    onNotFound(id: string): void {
        this.check("known", !this.accepted.has(id), `${id} was accepted, but is reported as nonexistent`);
    }

    /** Records a violation if a rule does not hold. @param detail What happened; begins with the task's or job's ID. */
    check(rule: JobRule, holds: boolean, detail: string): void {
        if (!holds) {
            this.violations.push({ rule, atMs: Math.round(this.schedule.now), detail });
        }
    }

    /** Checks that the runs on a worker, those being stopped included, fit into its capacity after a start. */
    private checkCapacity(worker: LeasedWorker, task: string, run: number): void {
        const counting = (this.earlierCapacities.get(worker) ?? []).filter(each => this.schedule.now < each.until);
        const capacities = [worker.entry.capacity, ...counting.map(each => each.capacity)];
        const requests = [...this.activeRuns].flatMap(([each, runs]) => (runs.has(worker) ? this.requestOf(each) : []));
        for (const resource of ["cpuMillis", "memoryMb", "accelerators"] as const) {
            const used = requests.reduce((sum, each) => sum + each[resource], 0);
            const available = Math.max(...capacities.map(each => each[resource]));
            const detail = `${task} run ${run} brings ${worker.entry.id} to ${used} of ${available} ${resource}`;
            this.check("capacity", used <= available, detail);
        }
    }

    /** @returns What a task takes of its worker's capacity; nothing is known of a task that no submitted job has. */
    private requestOf(task: string): TaskRequest[] {
        const [id, , number] = task.split(".");
        const step = this.jobs.get(id)?.steps[Number(number)];
        return step === undefined
            ? []
            : [{ ...step.request, cpuMillis: step.usesSpareCpu ? 0 : step.request.cpuMillis }];
    }

    private checkCrashBudget(task: string, run: number): void {
        const crashes = this.crashes.get(task) ?? 0;
        if (this.isDeadly(task) && crashes >= CRASHES_BEFORE_BUDGET) {
            const starts = (this.startsAfterCrashes.get(task) ?? 0) + 1;
            this.startsAfterCrashes.set(task, starts);
            const detail = `${task} run ${run} is start ${starts} after ${CRASHES_BEFORE_BUDGET} crashes under the task`;
            this.check("crash-budget", starts <= MAX_STARTS_AFTER_CRASHES, detail);
        }
    }

    /** @returns Whether a job has a deadly task under which so many workers have crashed that it may be given up. */
    private hasCrashedWorkers(id: string): boolean {
        return [...this.deadlyTasks].some(
            task => task.startsWith(`${id}.`) && (this.crashes.get(task) ?? 0) >= CRASHES_BEFORE_FAILED,
        );
    }

    private countDone(prefix: string, tasks: number): number {
        let count = 0;
        for (let index = 0; index < tasks; index++) {
            count += this.completedTasks.has(`${prefix}${index}`) ? 1 : 0;
        }
        return count;
    }
}
