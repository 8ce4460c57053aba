import { QueueTable } from "../../jobs/common/queueTable";
import { isFinal } from "../../jobs/common/jobTable";
import { ActiveJob, TaskGroup } from "./activeJob";
import { LatencyModel } from "./latencyModel";
import { Placer } from "./placer";
import { Run } from "./run";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";

/** Assigns a task to a worker. */
export type AssignTask = (task: Task, worker: WorkerContact, now: number) => Run;

/** A job whose objective was missed by this factor is worth nothing any more. */
const NO_VALUE_FACTOR = 3;

/** Whether a job can still meet its objective, is only late, or is worth nothing any more; lower comes first. */
type Timeliness = "in-time" | "late" | "worthless";

const TIMELINESS_RANK: Readonly<Record<Timeliness, number>> = { "in-time": 0, late: 1, worthless: 2 };

/** A step with tasks that wait, and what its order depends on. */
interface WaitingStep {
    readonly job: ActiveJob;
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    readonly service: string;
    readonly priority: number;
    readonly timeliness: Timeliness;
    /** Time to spare until the job misses its objective, in ms. */
    readonly slackMs: number;
    /** Estimated duration of what is left of the job, in ms. */
    readonly remainingMs: number;
}

/** Orders the steps that wait and gives their tasks to workers, as long as there is room. */
export class StepQueue {
    private remainingStarts = 0;

    private constructor(
        private readonly queues: QueueTable,
        private readonly model: LatencyModel,
        private readonly assign: AssignTask,
    ) {}

    /**
     * @param queues Queues as configured.
     * @param model Knows the pressures between images.
     * @param assign Assigns a task to a worker.
     * @returns A queue.
     */
    static create(queues: QueueTable, model: LatencyModel, assign: AssignTask): StepQueue {
        return new StepQueue(queues, model, assign);
    }

    /**
     * Gives waiting tasks to workers.
     * @param jobs Jobs of the leader.
     * @param workers Workers that may be given tasks.
     * @param maxStarts How many tasks may be assigned; a gang that has begun to be assigned may exceed it.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    placeWaiting(
        jobs: Iterable<ActiveJob>,
        workers: readonly WorkerContact[],
        maxStarts: number,
        now: number,
        wallNow: number,
    ): void {
        this.remainingStarts = maxStarts;
        const waiting: WaitingStep[] = [];
        for (const job of jobs) {
            if (!isFinal(job.state)) {
                job.openDue(wallNow);
                this.collectWaiting(job, now, wallNow, waiting);
            }
        }
        if (waiting.length === 0) {
            return;
        }
        waiting.sort(compareSteps);
        const placer = Placer.create(workers, this.model);
        for (const step of waiting) {
            if (this.remainingStarts <= 0) {
                return;
            }
            if (step.group.step.mode === "gang") {
                this.placeGang(step, placer, now);
            } else {
                this.placeTasks(step, placer, now);
            }
        }
    }

    private collectWaiting(job: ActiveJob, now: number, wallNow: number, into: WaitingStep[]): void {
        const { service, priority } = this.queues.newest(job.spec.queue);
        for (const group of job.groups) {
            if (group.done.isFull || !job.isReady(group)) {
                continue;
            }
            const tasks = group.tasks.filter(
                task => task.run === undefined && !group.done.has(task.index) && now >= task.notBefore,
            );
            const isComplete = group.step.mode !== "gang" || tasks.length === group.tasks.length;
            if (tasks.length > 0 && isComplete) {
                const remainingMs = job.remainingMs(group);
                const slackMs = job.objectiveMs - wallNow - remainingMs;
                const timeliness = timelinessOf(job, wallNow, remainingMs);
                into.push({ job, group, tasks, service, priority, timeliness, slackMs, remainingMs });
            }
        }
    }

    /** Tasks of a step are alike: when one finds no room, the others find none either. */
    private placeTasks(step: WaitingStep, placer: Placer, now: number): void {
        const rack = step.group.step.prefersOneRack ? rackOf(step.group) : undefined;
        for (const task of step.tasks) {
            if (this.remainingStarts <= 0 || placer.isInfeasible(task)) {
                return;
            }
            const worker =
                this.choosePreferred(task, step.service, placer, rack) ?? this.chooseAny(task, step.service, placer);
            if (worker === undefined) {
                placer.recordRejection(task);
                if (task.failedOn.size === 0) {
                    return;
                }
                continue;
            }
            this.assignTo(task, worker, placer, now);
        }
    }

    private choosePreferred(
        task: Task,
        service: string,
        placer: Placer,
        rack: string | undefined,
    ): WorkerContact | undefined {
        const preferred = rack ?? task.step.dataRack;
        return preferred === undefined
            ? undefined
            : placer.choose(task, service, worker => worker.entry.rack === preferred);
    }

    private chooseAny(task: Task, service: string, placer: Placer): WorkerContact | undefined {
        const worker = placer.choose(task, service);
        if (worker !== undefined || task.failedOn.size === 0) {
            return worker;
        }
        // Every other worker is full or failed the task, too.
        const failedOn = [...task.failedOn];
        task.failedOn.clear();
        const any = placer.choose(task, service);
        failedOn.forEach(id => task.failedOn.add(id));
        return any;
    }

    private assignTo(task: Task, worker: WorkerContact, placer: Placer, now: number): void {
        this.assign(task, worker, now);
        placer.invalidate(worker);
        this.remainingStarts -= 1;
    }

    /** The members of a gang are assigned together or not at all. */
    private placeGang(step: WaitingStep, placer: Placer, now: number): void {
        const run = Math.max(...step.tasks.map(task => task.highestRun));
        const racks = step.group.step.prefersOneRack ? placer.racks(step.service) : [undefined];
        for (const rack of [...racks, undefined]) {
            const chosen = placer.chooseAll(step.tasks, step.service, rack);
            if (chosen !== undefined) {
                step.tasks.forEach((task, index) => {
                    task.highestRun = run;
                    this.assignTo(task, chosen[index], placer, now);
                });
                return;
            }
        }
    }
}

function compareSteps(a: WaitingStep, b: WaitingStep): number {
    return (
        a.priority - b.priority ||
        TIMELINESS_RANK[a.timeliness] - TIMELINESS_RANK[b.timeliness] ||
        (a.timeliness === "in-time" ? a.slackMs - b.slackMs : a.remainingMs - b.remainingMs) ||
        a.tasks.length - b.tasks.length
    );
}

function timelinessOf(job: ActiveJob, wallNow: number, remainingMs: number): Timeliness {
    const end = wallNow + remainingMs;
    if (job.isLongRunning || end <= job.objectiveMs) {
        return "in-time";
    }
    const { acceptedAtMs } = job.spec;
    return end <= acceptedAtMs + NO_VALUE_FACTOR * (job.objectiveMs - acceptedAtMs) ? "late" : "worthless";
}

/** @returns The rack on which most tasks of a step run, if any run. */
function rackOf(group: TaskGroup): string | undefined {
    return group.tasks.find(task => task.run !== undefined)?.run?.rack;
}
