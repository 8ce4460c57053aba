import { QueueTable } from "../../jobs/common/queueTable";
import { isFinal } from "../../jobs/common/jobTable";
import { ActiveJob, TaskGroup } from "./activeJob";
import { LatencyModel } from "./latencyModel";
import { ObjectiveOrder } from "./objectiveOrder";
import { PlacementChoice, Placer } from "./placer";
import { ProbationPlacer } from "./probationPlacer";
import { QueueHost } from "./queueHost";
import { Run } from "./run";
import { RunReviewer } from "./runReviewer";
import { ShortTaskReserve } from "./shortTaskReserve";
import { SuspectTable } from "./suspectTable";
import { Task } from "./task";
import { WaitReporter } from "./waitReporter";
import { minSpeedAfter, WaitTable } from "./waitTable";
import { WaitingOrder, WaitingRank } from "./waitingOrder";
import { WorkerContact } from "./workerContact";

/** How much faster a throttled task must run on another worker for a move, in percent of full speed. */
const MIN_SPEED_GAIN_PERCENT = 40;

/** A task group with waiting tasks, and the criteria for its position in the queue. */
interface WaitingGroup {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    /** Time for which the group has waited without any run of its job, in ms. */
    readonly waitedMs: number;
    /** Whether the tasks have runs that are throttled, and move if another worker offers a higher speed. */
    readonly isThrottled: boolean;
    /** Whether they are suspected of crashing their workers. */
    readonly isSuspected: boolean;
    readonly service: string;
    readonly priority: number;
    readonly rank: WaitingRank;
}

/** Orders the waiting task groups and assigns their tasks to workers with free capacity. */
export class StepQueue {
    private readonly probation: ProbationPlacer;
    private readonly waits = WaitTable.create();
    private readonly waitReporter = WaitReporter.create();
    private readonly reviewer = RunReviewer.create();
    /** Fires for a job that has nothing running although a step is ready. */
    readonly onDidWait = this.waitReporter.onDidWait;
    private remainingStarts = 0;
    private readonly reserve = ShortTaskReserve.create();
    /** Workers on which no new long-running tasks are placed in this pass. */
    private reserved: ReadonlySet<WorkerContact> = new Set();
    /** Groups whose demand is recorded. */
    private readonly recordedGroups = new WeakSet<TaskGroup>();
    /** Workers to which a task moves in this pass. */
    private readonly destinations = new Set<WorkerContact>();

    private constructor(
        private readonly queues: QueueTable,
        private readonly model: LatencyModel,
        private readonly suspects: SuspectTable,
        private readonly host: QueueHost,
        private readonly order: WaitingOrder,
    ) {
        this.probation = ProbationPlacer.create(suspects, model);
    }

    /**
     * @param queues Queues as configured.
     * @param model Estimates the interference between images.
     * @param suspects Tasks that are suspected of crashing their workers.
     * @param host Assigns tasks to workers and moves them.
     * @param order Order of the jobs of one priority.
     * @returns The queue.
     */
    static create(
        queues: QueueTable,
        model: LatencyModel,
        suspects: SuspectTable,
        host: QueueHost,
        order: WaitingOrder = ObjectiveOrder.create(),
    ): StepQueue {
        return new StepQueue(queues, model, suspects, host, order);
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
        this.suspects.prune();
        this.destinations.clear();
        const unsuspected = waiting.filter(entry => !entry.isSuspected);
        const open = this.suspects.isEmpty ? workers : this.placeSuspected(waiting, workers, now, wallNow);
        this.reserved = this.reserve.choose(open, now);
        const placer = Placer.create(open, this.model);
        this.placeInOrder(unsuspected, placer, now);
        this.waitReporter.review(waiting, placer, now);
    }

    private placeInOrder(waiting: readonly WaitingGroup[], placer: Placer, now: number): void {
        for (const entry of waiting) {
            if (this.remainingStarts <= 0) {
                return;
            }
            if (entry.isThrottled) {
                this.moveTasks(entry, placer, now);
            } else if (entry.group.step.mode === "gang") {
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
            const isGang = group.step.mode === "gang";
            const isComplete = !isGang || tasks.length === group.tasks.length;
            const throttled = this.throttledTasks(group, now);
            if ((tasks.length === 0 || !isComplete) && throttled.length === 0) {
                continue;
            }
            const rank = this.order.rank(job, job.remainingMs(group), wallNow);
            const waitedMs = this.waits.update(group, job, now);
            const common = { group, service, priority, rank, waitedMs };
            if (throttled.length > 0) {
                waiting.push({ ...common, tasks: throttled, isThrottled: true, isSuspected: false });
            }
            if (tasks.length > 0 && isComplete) {
                this.recordDemand(group, service, now);
                for (const entry of this.separateSuspected(tasks, isGang)) {
                    waiting.push({ ...common, ...entry, isThrottled: false });
                }
            }
        }
    }

    /** @returns Tasks that should move since their runs are slow; those of a gang together, if one of them is. */
    private throttledTasks(group: TaskGroup, now: number): readonly Task[] {
        if (!group.step.usesSpareCpu) {
            return [];
        }
        const throttled = group.tasks.filter(({ run }) => run !== undefined && this.reviewer.isSlowedDown(run, now));
        return throttled.length > 0 && group.step.mode === "gang" ? group.tasks : throttled;
    }

    /** Suspected tasks start one by one, apart from the others of their step; a gang starts as a whole. */
    private separateSuspected(tasks: readonly Task[], isGang: boolean): Pick<WaitingGroup, "tasks" | "isSuspected">[] {
        const suspected = this.suspects.isEmpty ? [] : tasks.filter(task => this.suspects.has(task));
        if (suspected.length === 0 || isGang) {
            return [{ tasks, isSuspected: suspected.length > 0 }];
        }
        const others = tasks.filter(task => !this.suspects.has(task));
        const unsuspected = others.length === 0 ? [] : [{ tasks: others, isSuspected: false }];
        return [...unsuspected, ...suspected.map(task => ({ tasks: [task], isSuspected: true }))];
    }

    /** @returns The workers on which other tasks may be placed. */
    private placeSuspected(
        waiting: readonly WaitingGroup[],
        workers: readonly WorkerContact[],
        now: number,
        wallNow: number,
    ): WorkerContact[] {
        const groups = waiting
            .filter(entry => entry.isSuspected)
            .map(entry => ({ ...entry, minSpeedPercent: minSpeedOf(entry) }));
        groups.forEach(({ tasks }) => alignRuns(tasks));
        const isContested = waiting.some(entry => !entry.isSuspected && !entry.isThrottled);
        const closed = this.probation.place(
            groups,
            workers,
            isContested,
            { now, wallNow },
            (task, worker, speedPercent) => this.host.assign(task, worker, speedPercent, now),
        );
        return workers.filter(worker => !closed.has(worker));
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
            const minSpeedPercent = minSpeedOf(entry);
            if (this.remainingStarts <= 0 || placer.isInfeasible(task, entry.service, minSpeedPercent)) {
                return;
            }
            const choice =
                this.choosePreferred(task, entry.service, placer, rack) ??
                this.chooseAny(task, entry.service, placer, minSpeedPercent);
            if (choice === undefined) {
                placer.recordRejection(task, entry.service, minSpeedPercent);
                if (task.failedOn.size === 0) {
                    return;
                }
                continue;
            }
            this.assignTo(task, choice, placer, now);
        }
    }

    /** Moves throttled tasks that run faster on another worker. Each worker is offered to one of them in a pass. */
    private moveTasks(entry: WaitingGroup, placer: Placer, now: number): void {
        if (entry.group.step.mode === "gang") {
            this.moveGang(entry, placer, now);
            return;
        }
        for (const { run } of entry.tasks) {
            if (run !== undefined) {
                this.moveRun(run, entry.service, placer, now);
            }
        }
    }

    private moveRun(run: Run, service: string, placer: Placer, now: number): void {
        const minSpeedPercent = run.speedPercent + MIN_SPEED_GAIN_PERCENT;
        if (placer.isInfeasible(run.task, service, minSpeedPercent)) {
            return;
        }
        const isAllowed = (worker: WorkerContact) =>
            worker.entry.id !== run.record.worker && !this.destinations.has(worker);
        const choice = placer.choose(run.task, service, isAllowed, minSpeedPercent);
        if (choice === undefined) {
            placer.recordRejection(run.task, service, minSpeedPercent);
            return;
        }
        placer.reserve(run.task, choice.worker);
        this.destinations.add(choice.worker);
        this.host.move(run, now);
    }

    /** A gang works only together, so it moves if workers without its members have room for all of them. */
    private moveGang({ tasks, service }: WaitingGroup, placer: Placer, now: number): void {
        const runs = tasks.flatMap(task => task.run ?? []);
        const own = new Set(runs.map(run => run.record.worker));
        const isAllowed = (worker: WorkerContact) => !own.has(worker.entry.id) && !this.destinations.has(worker);
        const minSpeedPercent = Math.min(...runs.map(run => run.speedPercent)) + MIN_SPEED_GAIN_PERCENT;
        const chosen = placer.chooseAll(tasks, service, isAllowed, minSpeedPercent);
        if (chosen !== undefined) {
            chosen.forEach(({ worker }) => this.destinations.add(worker));
            runs.forEach(run => this.host.move(run, now));
        }
    }

    private choosePreferred(
        task: Task,
        service: string,
        placer: Placer,
        rack: string | undefined,
    ): PlacementChoice | undefined {
        const preferred = rack ?? task.step.dataRack;
        return preferred === undefined
            ? undefined
            : placer.choose(task, service, worker => worker.entry.rack === preferred);
    }

    private chooseAny(
        task: Task,
        service: string,
        placer: Placer,
        minSpeedPercent: number,
    ): PlacementChoice | undefined {
        const choice = this.chooseOutsideReserve(task, service, placer, minSpeedPercent);
        if (choice !== undefined || task.failedOn.size === 0) {
            return choice;
        }
        // No worker without a failure of this task has capacity, so those with a failure are allowed, too.
        const failedOn = [...task.failedOn];
        task.failedOn.clear();
        const retried = this.chooseOutsideReserve(task, service, placer, minSpeedPercent);
        failedOn.forEach(id => task.failedOn.add(id));
        return retried;
    }

    /**
     * New long-running tasks use no reserved worker. One that ran before is back in service as soon as possible, if need
     * be on a reserved worker.
     */
    private chooseOutsideReserve(
        task: Task,
        service: string,
        placer: Placer,
        minSpeedPercent: number,
    ): PlacementChoice | undefined {
        const isAny = () => true;
        if (task.step.mode !== "long-running") {
            return placer.choose(task, service, isAny, minSpeedPercent);
        }
        const isOpen = (worker: WorkerContact) => !this.reserved.has(worker);
        const choice = placer.choose(task, service, isOpen, minSpeedPercent);
        return choice === undefined && task.highestRun > 0
            ? placer.choose(task, service, isAny, minSpeedPercent)
            : choice;
    }

    private assignTo(task: Task, { worker, speedPercent }: PlacementChoice, placer: Placer, now: number): void {
        this.host.assign(task, worker, speedPercent, now);
        placer.invalidate(worker);
        this.remainingStarts -= 1;
    }

    /** Assigns all members of a gang or none. */
    private placeGang(entry: WaitingGroup, placer: Placer, now: number): void {
        const racks = entry.group.step.prefersOneRack ? placer.racks(entry.service) : [];
        for (const rack of [...racks, undefined]) {
            const isAllowed = (worker: WorkerContact) => rack === undefined || worker.entry.rack === rack;
            const chosen = placer.chooseAll(entry.tasks, entry.service, isAllowed, minSpeedOf(entry));
            if (chosen !== undefined) {
                alignRuns(entry.tasks);
                entry.tasks.forEach((task, index) => this.assignTo(task, chosen[index], placer, now));
                return;
            }
        }
    }
}

/** @returns Lowest speed at which a task of a group may start now, in percent: a lower one only while its job has no run. */
function minSpeedOf({ group, tasks, waitedMs }: WaitingGroup): number {
    return group.step.usesSpareCpu && !tasks[0].job.hasRun ? minSpeedAfter(waitedMs) : 100;
}

/** @returns The rack of the first task in the group that has a run, if any. */
function rackOf(group: TaskGroup): string | undefined {
    return group.tasks.find(task => task.run !== undefined)?.run?.rack;
}

/** Gives the tasks of a gang the same highest run, so that their next runs have the same number. */
function alignRuns(tasks: readonly Task[]): void {
    const highestRun = Math.max(...tasks.map(task => task.highestRun));
    tasks.forEach(task => (task.highestRun = highestRun));
}
