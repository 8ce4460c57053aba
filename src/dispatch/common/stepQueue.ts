import { QueueTable } from "../../jobs/common/queueTable";
import { isFinal } from "../../jobs/common/jobTable";
import { ActiveJob, TaskGroup } from "./activeJob";
import { LatencyModel } from "./latencyModel";
import { ObjectiveOrder } from "./objectiveOrder";
import { Placer } from "./placer";
import { Run } from "./run";
import { ShortTaskReserve } from "./shortTaskReserve";
import { Task } from "./task";
import { WaitingOrder, WaitingRank } from "./waitingOrder";
import { WorkerContact } from "./workerContact";

/** Assigns a task to a worker and returns its run. */
export type AssignTask = (task: Task, worker: WorkerContact, now: number) => Run;

/** A task group with waiting tasks, and the criteria for its position in the queue. */
interface WaitingGroup {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    readonly service: string;
    readonly priority: number;
    readonly rank: WaitingRank;
}

/** Orders the waiting task groups and assigns their tasks to workers with free capacity. */
export class StepQueue {
    private remainingStarts = 0;
    private readonly reserve = ShortTaskReserve.create();
    /** Workers on which no new long-running tasks are placed in this pass. */
    private reserved: ReadonlySet<WorkerContact> = new Set();
    /** Groups whose demand is recorded. */
    private readonly recordedGroups = new WeakSet<TaskGroup>();

    private constructor(
        private readonly queues: QueueTable,
        private readonly model: LatencyModel,
        private readonly assign: AssignTask,
        private readonly order: WaitingOrder,
    ) {}

    /**
     * @param queues Queues as configured.
     * @param model Estimates the interference between images.
     * @param assign Assigns a task to a worker.
     * @param order Order of the jobs of one priority.
     * @returns The queue.
     */
    static create(
        queues: QueueTable,
        model: LatencyModel,
        assign: AssignTask,
        order: WaitingOrder = ObjectiveOrder.create(),
    ): StepQueue {
        return new StepQueue(queues, model, assign, order);
    }

    /**
     * Assigns waiting tasks to workers.
     * @param jobs Active jobs.
     * @param workers Usable workers.
     * @param maxStarts How many tasks may be assigned; the last gang may exceed it, since it is assigned as a whole.
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
        const waiting: WaitingGroup[] = [];
        for (const job of jobs) {
            if (!isFinal(job.state)) {
                job.openDue(wallNow);
                this.collectWaiting(job, now, wallNow, waiting);
            }
        }
        if (waiting.length === 0) {
            return;
        }
        waiting.sort((a, b) => this.compare(a, b));
        this.reserved = this.reserve.choose(workers, now);
        const placer = Placer.create(workers, this.model);
        for (const entry of waiting) {
            if (this.remainingStarts <= 0) {
                return;
            }
            if (entry.group.step.mode === "gang") {
                this.placeGang(entry, placer, now);
            } else {
                this.placeTasks(entry, placer, now);
            }
        }
    }

    private collectWaiting(job: ActiveJob, now: number, wallNow: number, waiting: WaitingGroup[]): void {
        const { service, priority } = this.queues.latestSettings(job.spec.queue);
        for (const group of job.groups) {
            if (group.done.isFull || !job.isReady(group)) {
                continue;
            }
            const tasks = group.tasks.filter(
                task => task.run === undefined && !group.done.has(task.index) && now >= task.notBefore,
            );
            const isComplete = group.step.mode !== "gang" || tasks.length === group.tasks.length;
            if (tasks.length > 0 && isComplete) {
                this.recordDemand(group, service, now);
                const rank = this.order.rank(job, job.remainingMs(group), wallNow);
                waiting.push({ group, tasks, service, priority, rank });
            }
        }
    }

    private compare(a: WaitingGroup, b: WaitingGroup): number {
        return a.priority - b.priority || this.order.compare(a.rank, b.rank) || a.tasks.length - b.tasks.length;
    }

    private recordDemand(group: TaskGroup, service: string, now: number): void {
        const { mode, usesSpareCpu, request, tasks, estimateMs } = group.step;
        if (mode !== "long-running" && !usesSpareCpu && !this.recordedGroups.has(group)) {
            this.recordedGroups.add(group);
            this.reserve.recordDemand(service, request.cpuMillis * tasks, estimateMs, now);
        }
    }

    /** Tasks of a step are alike: when no worker has free capacity for one of them, none has for the others. */
    private placeTasks(entry: WaitingGroup, placer: Placer, now: number): void {
        const rack = entry.group.step.prefersOneRack ? rackOf(entry.group) : undefined;
        for (const task of entry.tasks) {
            if (this.remainingStarts <= 0 || placer.isInfeasible(task)) {
                return;
            }
            const worker =
                this.choosePreferred(task, entry.service, placer, rack) ?? this.chooseAny(task, entry.service, placer);
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
        const worker = this.chooseOutsideReserve(task, service, placer);
        if (worker !== undefined || task.failedOn.size === 0) {
            return worker;
        }
        // No worker without a failure of this task has capacity, so those with a failure are allowed, too.
        const failedOn = [...task.failedOn];
        task.failedOn.clear();
        const retried = this.chooseOutsideReserve(task, service, placer);
        failedOn.forEach(id => task.failedOn.add(id));
        return retried;
    }

    /**
     * New long-running tasks use no reserved worker. One that ran before is back in service as soon as possible, if need
     * be on a reserved worker.
     */
    private chooseOutsideReserve(task: Task, service: string, placer: Placer): WorkerContact | undefined {
        if (task.step.mode !== "long-running") {
            return placer.choose(task, service);
        }
        const worker = placer.choose(task, service, each => !this.reserved.has(each));
        return worker === undefined && task.highestRun > 0 ? placer.choose(task, service) : worker;
    }

    private assignTo(task: Task, worker: WorkerContact, placer: Placer, now: number): void {
        this.assign(task, worker, now);
        placer.invalidate(worker);
        this.remainingStarts -= 1;
    }

    /** Assigns all members of a gang or none. */
    private placeGang(entry: WaitingGroup, placer: Placer, now: number): void {
        const run = Math.max(...entry.tasks.map(task => task.highestRun));
        const racks = entry.group.step.prefersOneRack ? placer.racks(entry.service) : [undefined];
        for (const rack of [...racks, undefined]) {
            const chosen = placer.chooseAll(entry.tasks, entry.service, rack);
            if (chosen !== undefined) {
                entry.tasks.forEach((task, index) => {
                    task.highestRun = run;
                    this.assignTo(task, chosen[index], placer, now);
                });
                return;
            }
        }
    }
}

/** @returns The rack of the first task in the group that has a run, if any. */
function rackOf(group: TaskGroup): string | undefined {
    return group.tasks.find(task => task.run !== undefined)?.run?.rack;
}
