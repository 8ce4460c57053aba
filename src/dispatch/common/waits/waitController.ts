import { ActiveJob, TaskGroup } from "../jobs/activeJob";
import { BoundedWaitPolicy } from "./boundedWaitPolicy";
import { MAX_IDLE_MS, START_DELAY_MS } from "../scheduler/dispatchLimits";
import { PatientWaitPolicy } from "./patientWaitPolicy";
import { Run, RunState } from "../runs/run";
import { ServiceUsage, UNUSED, UsageReport } from "../workers/serviceUsage";
import { LeaderPace } from "../scheduler/streamViews";
import { Task } from "../jobs/task";
import { ANY_WORKER_PERCENT, Wait } from "./waitPolicy";
import { isAtWork, WaitTable } from "./waitTable";
import { WorkerContact } from "../workers/workerContact";

/** Time within which a start is answered by a worker that can be reached, in ms, apart from the leader's own delay. */
const START_ANSWER_MS = 1_000;

/** States of a run that may soon be reported. */
const STARTING_STATES: ReadonlySet<RunState> = new Set<RunState>(["assigned", "inherited", "starting", "running"]);

/** How often a late loop delays the choice of the next worker after a run has ended: with the list of its end, and with the pass. */
const LATE_TURNS = 2;

/** Share of the accepted time that a leader may take for itself; one that takes more is too late to start runs one after the other. */
const MAX_LATE_RATIO = 0.5;

/** Shortest duration of a task that counts, in ms: estimates are rough. */
const MIN_DURATION_MS = 500;

/** How a waiting job is judged, for reports. */
export interface WaitConditions extends UsageReport {
    /** Time without any run after which it goes before others, in ms, or `undefined` while its service is full. */
    readonly boundMs: number | undefined;
}

/** Number of covering runs of a job, which all of its waiting groups ask for. */
interface JobCoverage {
    readonly version: number;
    readonly now: number;
    readonly runs: number;
}

/** Bounds the time for which jobs have nothing running: decides what their tasks accept, and which go before all others. */
export class WaitController {
    private readonly waits = WaitTable.create();
    private readonly bounded = BoundedWaitPolicy.create();
    private readonly patient = PatientWaitPolicy.create();
    /** Number of covering runs of each job, as of a version of the job, in the current pass. */
    private readonly coverage = new Map<ActiveJob, JobCoverage>();
    /** Time (ms) of the first review of the workers. */
    private startedAt: number | undefined;
    /** Time that the leader itself takes from the end of a run to the start of the next one, in ms. */
    private lateMs = 0;

    private constructor(
        private readonly pace: LeaderPace | undefined,
        private readonly usage: ServiceUsage,
    ) {}

    /**
     * @param pace How long the leader takes; left out if it is not measured.
     * @param usage How much of each service is in use.
     * @returns A controller that has seen no job.
     */
    static create(pace?: LeaderPace, usage = ServiceUsage.create()): WaitController {
        return new WaitController(pace, usage);
    }

    /** Reviews the leader and the workers once in a pass. @param workers All workers. @param now Time in ms. */
    beginPass(workers: Iterable<WorkerContact>, now: number): void {
        this.startedAt ??= now;
        this.coverage.clear();
        const { delayMs = 0, startMs = 0 } = this.pace ?? {};
        this.lateMs = LATE_TURNS * delayMs + Math.max(START_DELAY_MS, startMs);
        this.usage.update(workers, now);
    }

    /** Reviews a job once in a pass. @param groups Its groups that are ready and not finished. */
    updateJob(job: ActiveJob, groups: readonly TaskGroup[], now: number, wallNow: number): void {
        this.waits.update(job, groups, now, wallNow);
    }

    /** Records that a task was assigned: it takes capacity of its service. @param speedPercent Its speed, in percent. */
    recordAssignment(task: Task, service: string, speedPercent: number): void {
        this.usage.recordAssignment(task, service, speedPercent);
    }

    /** @returns Time for which a waiting task of a group has had no run at work, in ms. */
    idleMs(group: TaskGroup, task: Task, now: number): number {
        return this.waits.idleMs(group, task, now);
    }

    /** @returns How the jobs of a service that wait are judged. */
    conditionsOf(service: string): WaitConditions {
        const limitMs = this.bounded.limitMs({ used: this.usage.ratiosOf(service), lateMs: this.lateMs });
        return { boundMs: Number.isFinite(limitMs) ? Math.round(limitMs) : undefined, ...this.usage.reportOf(service) };
    }

    /**
     * @returns Time until a waiting task goes before all others, in ms: 0 if its job has to have a run soon, infinite in a full service.
     * `undefined` while another run of the job is at work or about to be.
     */
    dueMs(group: TaskGroup, task: Task, service: string, now: number): number | undefined {
        const wait = this.waitOf(group, task, service, now);
        const dueMs = this.needsRunNow(task, wait) ? 0 : this.bounded.dueMs(wait);
        return Number.isFinite(dueMs) && this.isCovered(task, now) ? undefined : dueMs;
    }

    /**
     * @returns Lowest speed at which a waiting task may start, in percent of full speed, or `ANY_WORKER_PERCENT`. It falls with
     * the wait, so that tasks start where they run fastest, and the time without any run is bounded while workers have room. A
     * job waits for full speed once, and only briefly again for each of its tasks.
     */
    minSpeedPercent(group: TaskGroup, task: Task, service: string, now: number): number {
        if (!group.step.usesSpareCpu) {
            return 100;
        }
        const wait = this.waitOf(group, task, service, now);
        const bounded = this.needsRunNow(task, wait) ? ANY_WORKER_PERCENT : this.bounded.minSpeedPercent(wait);
        const patient = this.patient.minSpeedPercent({ waitedMs: this.idleUnderLeaderMs(group, task, now) });
        return Math.min(
            bounded < 100 && !this.isCovered(task, now) ? bounded : 100,
            patient < 100 && (group.step.mode === "long-running" || !task.job.hasRun) ? patient : 100,
        );
    }

    /** Starts below full speed are work for a leader that has just begun, so without room the wait begins with it. */
    private idleUnderLeaderMs(group: TaskGroup, task: Task, now: number): number {
        return Math.min(this.idleMs(group, task, now), now - (this.startedAt ?? now));
    }

    private waitOf(group: TaskGroup, task: Task, service: string, now: number): Wait {
        const waitedMs = this.waits.idleMs(group, task, now);
        const totalMs = this.waits.totalIdleMs(group, task, now);
        // A task that lasts has to run however full its service is; it takes no CPU that is reserved for others.
        const isAlwaysBounded = group.step.mode === "long-running" && !group.step.usesSpareCpu;
        const used = isAlwaysBounded ? UNUSED : this.usage.ratiosOf(service);
        return { waitedMs, totalMs, used, lateMs: this.lateMs };
    }

    /** Whether the leader takes too much of the accepted time itself. */
    get isLate(): boolean {
        return this.lateMs > MAX_IDLE_MS * MAX_LATE_RATIO;
    }

    /** @returns Number of runs of the task's job, other than its own, that are at work or about to be. */
    coveringRuns({ job }: Task, now: number): number {
        const { version } = job;
        const known = this.coverage.get(job);
        if (known?.version === version && known.now === now) {
            return known.runs;
        }
        const { lateMs } = this;
        const runs = job.runsLike(run => isAtWork(run, now) || isStarting(run, now, lateMs)).length;
        this.coverage.set(job, { version, now, runs });
        return runs;
    }

    /** @returns Whether a job needs a run now, its first or another one: the leader is too late to let it wait, or to start it later. */
    private needsRunNow(task: Task, wait: Wait): boolean {
        return this.isLate && task.step.mode !== "long-running" && Number.isFinite(this.bounded.limitMs(wait));
    }

    /** @returns Whether a task need not start soon, since its job has runs that last until the leader has started the next one. */
    private isCovered(task: Task, now: number): boolean {
        return task.step.mode !== "long-running" && this.coveringRuns(task, now) >= this.neededRuns(task);
    }

    /** @returns How many runs cover the time that the leader takes beyond its share: one more for each duration of a task. */
    private neededRuns({ step }: Task): number {
        const excessMs = Math.max(0, this.lateMs - MAX_IDLE_MS * MAX_LATE_RATIO);
        return 1 + Math.ceil(excessMs / Math.max(MIN_DURATION_MS, step.estimateMs));
    }
}

/** @returns Whether a run may soon be at work: the answer to its start, or the first list of its worker, is not overdue. */
function isStarting(run: Run, now: number, lateMs: number): boolean {
    const mayStart = run.report === undefined && STARTING_STATES.has(run.state);
    return mayStart && now - run.assignedAt <= START_ANSWER_MS + lateMs;
}
