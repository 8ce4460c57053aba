import { QueueTable } from "../../../jobs/common/queueTable";
import { isFinal } from "../../../jobs/common/jobTable";
import { ActiveJob, TaskGroup } from "../jobs/activeJob";
import { LastingWaitReporter } from "./lastingWaitReporter";
import { LatencyModel } from "../placement/latencyModel";
import { MoveController } from "../runs/moveController";
import { ObjectiveOrder } from "./objectiveOrder";
import { OccurrenceBudget } from "../jobs/occurrenceBudget";
import { PlaceController } from "../locality/placeController";
import { PlacementChoice, Placer } from "../placement/placer";
import { isKnownSound, ProbationPlacer } from "../failures/probationPlacer";
import { QueueHost } from "./queueHost";
import { RoomKeeper } from "../placement/roomKeeper";
import { Run } from "../runs/run";
import { RunReviewer } from "../runs/runReviewer";
import { ServiceUsage } from "../workers/serviceUsage";
import { ShortTaskReserve } from "../placement/shortTaskReserve";
import { LeaderPace } from "../scheduler/streamViews";
import { mayStart, SuspectTable } from "../failures/suspectTable";
import { hasRunBefore, ignoringFailures, Task } from "../jobs/task";
import { alignMembers, isGang, isLongRunning, rackOf } from "../jobs/taskGroups";
import { WaitReporter } from "./waitReporter";
import { WaitController } from "./waitController";
import { TasksToPlace, WaitingGroup } from "./waitingGroup";
import { CollectedJob, WaitingIndex } from "./waitingIndex";
import { WaitingOrder } from "./waitingOrder";
import { WorkerContact } from "../workers/workerContact";

/** How many more starts than usual may be in flight, of jobs without a run that have to have one soon. */
const MAX_DUE_STARTS = 8;

/**
 * Orders the waiting task groups and assigns their tasks to workers with free capacity. Throttled tasks take their turn in the same
 * order, and move if another worker offers them a higher speed.
 */
export class StepQueue {
    private readonly probation: ProbationPlacer;
    private readonly roomKeeper = RoomKeeper.create();
    private readonly waits: WaitController;
    private readonly waitReporter = WaitReporter.create();
    private readonly lastingReporter = LastingWaitReporter.create();
    private readonly reviewer = RunReviewer.create();
    /** Fires for a job that has nothing running although a step is ready. */
    readonly onDidWait = this.waitReporter.onDidWait;
    /** Fires for the long-running tasks of a service that wait for a run. */
    readonly onDidLastingWait = this.lastingReporter.onDidWait;
    /** Fires for the tasks that run fastest on one rack. */
    readonly onDidPlace: PlaceController["onDidReport"];
    private remainingStarts = 0;
    /** Remaining starts at which no task is placed. */
    private lastStart = 0;
    /** Time until the next job that waits has to have a run, in ms. */
    private nextDueMs = Number.POSITIVE_INFINITY;
    private readonly reserve = ShortTaskReserve.create();
    /** Workers on which no new long-running tasks are placed in this pass. */
    private reserved: ReadonlySet<WorkerContact> = new Set();
    private readonly moves: MoveController;
    private readonly index = WaitingIndex.create<WaitingGroup>();

    private constructor(
        private readonly queues: QueueTable,
        private readonly model: LatencyModel,
        private readonly suspects: SuspectTable,
        private readonly host: QueueHost,
        private readonly order: WaitingOrder,
        pace: LeaderPace | undefined,
        usage: ServiceUsage | undefined,
        private readonly places: PlaceController,
        private readonly budget: OccurrenceBudget,
    ) {
        this.onDidPlace = places.onDidReport;
        this.waits = WaitController.create(pace, usage);
        this.probation = ProbationPlacer.create(suspects, model);
        this.moves = MoveController.create(host);
    }

    /**
     * @param queues Queues as configured.
     * @param model Estimates the interference between images.
     * @param suspects Tasks that are suspected of crashing their workers.
     * @param host Assigns tasks to workers and moves them.
     * @param order Order of the jobs of one priority.
     * @param pace How long the leader takes for what it does; left out if it is not measured.
     * @param usage How much of each service is in use; that of the workers in the passes if undefined.
     * @param places Decides how long tasks wait for the rack on which they run fastest; they do not if undefined.
     * @param budget Decides how many occurrences are open at once.
     * @returns The queue.
     */
    static create(
        queues: QueueTable,
        model: LatencyModel,
        suspects: SuspectTable,
        host: QueueHost,
        order: WaitingOrder = ObjectiveOrder.create(),
        pace?: LeaderPace,
        usage?: ServiceUsage,
        places = PlaceController.create(),
        budget = OccurrenceBudget.create(),
    ): StepQueue {
        return new StepQueue(queues, model, suspects, host, order, pace, usage, places, budget);
    }

    /**
     * Assigns waiting tasks to workers.
     * @param jobs Active jobs.
     * @param workers Usable workers.
     * @param maxStarts How many tasks may be assigned; the last gang may exceed it, since it is assigned as a whole.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     * @param allWorkers All workers, also those that are not usable at the moment.
     */
    placeWaiting(
        jobs: Iterable<ActiveJob>,
        workers: readonly WorkerContact[],
        maxStarts: number,
        now: number,
        wallNow: number,
        allWorkers: Iterable<WorkerContact> = workers,
    ): void {
        this.remainingStarts = maxStarts;
        this.nextDueMs = Number.POSITIVE_INFINITY;
        this.waits.beginPass(allWorkers, now);
        const waiting = this.orderWaiting(jobs, now, wallNow);
        if (waiting.length === 0) {
            this.lastingReporter.reportNone();
            this.places.skip(now);
            return;
        }
        this.suspects.prune();
        const unsuspected = waiting.filter(entry => !entry.isSuspected);
        const open = this.suspects.isEmpty ? workers : this.placeSuspected(waiting, workers, now, wallNow);
        this.reserved = this.reserve.choose(open, now);
        const placer = Placer.create(open, this.model);
        this.moves.prune(open, now);
        this.moves.finish(unsuspected, placer, (task, choice) => this.assignTo(task, choice, placer, now));
        this.places.plan(unsuspected, { placer, now, wallNow, dueMs: entry => this.dueMs(entry, now) });
        this.placeDue(waiting, placer, workers, now);
        this.placeInOrder(unsuspected, placer, now);
        if (Number.isFinite(this.nextDueMs)) {
            this.host.requestPassBy(now + this.nextDueMs);
        }
        this.reviewWaits(waiting, placer, workers.length, now);
    }

    /** Records the end of a run. @param run The run. @param now Time in ms. */
    recordEnd(run: Run, now: number): void {
        this.places.recordEnd(run, now);
        this.reserve.recordEnd(run, this.queues.latestSettings(run.task.job.spec.queue).service, now);
    }

    private reviewWaits(waiting: readonly WaitingGroup[], placer: Placer, usableCount: number, now: number): void {
        const idleMs = ({ group }: { readonly group: TaskGroup }, task: Task) => this.waits.idleMs(group, task, now);
        this.lastingReporter.review(waiting, idleMs, placer, usableCount, now);
        if (this.waitReporter.isDue(now)) {
            for (const entry of waiting) {
                entry.waitedMs = entry.isThrottled ? 0 : this.waits.idleMs(entry.group, entry.tasks[0], now);
            }
            this.waitReporter.review(waiting, placer, service => this.waits.conditionsOf(service), now);
        }
    }

    private orderWaiting(jobs: Iterable<ActiveJob>, now: number, wallNow: number): readonly WaitingGroup[] {
        this.index.begin(this.queues.version);
        this.budget.begin();
        for (const job of jobs) {
            if (!isFinal(job.state)) {
                this.budget.openDue(job, wallNow);
                const kept = this.index.keep(job);
                if (kept === undefined) {
                    this.index.add(job, this.collectWaiting(job, now, wallNow));
                } else {
                    this.refresh(job, kept, now, wallNow);
                }
            }
        }
        return this.index.sort((a, b) => this.compare(a, b));
    }

    /**
     * Places one task, or the gang, of each job that has to have a run soon: first long-running tasks, which have to run however full
     * the service is, then the one that has waited longest. Jobs with a run that need another one come last, those with the fewest first.
     * Suspected tasks start apart; here, room is kept for those that lack nothing else.
     */
    private placeDue(
        waiting: readonly WaitingGroup[],
        placer: Placer,
        workers: readonly WorkerContact[],
        now: number,
    ): void {
        const idleMs = ({ group, tasks }: WaitingGroup) => this.waits.idleMs(group, tasks[0], now);
        const due: (WaitingGroup & { readonly runs: number })[] = [];
        for (const entry of waiting.filter(each => !each.isThrottled && !each.isSuspected)) {
            // Each task of a long-running step waits by itself, a job of others for one run.
            const tasks = isLongRunning(entry) ? entry.tasks : entry.tasks.slice(0, 1);
            const dueTasks = tasks.filter(task => this.reviewDue(entry, task, now));
            if (dueTasks.length > 0) {
                const runs = this.waits.coveringRuns(dueTasks[0], now);
                due.push({ ...entry, runs, tasks: isGang(entry) ? entry.tasks : dueTasks });
            }
        }
        due.sort((a, b) => idleMs(b) - idleMs(a));
        this.lastStart = Math.min(0, this.remainingStarts) - MAX_DUE_STARTS;
        const lasting = due.filter(isLongRunning);
        this.placeInOrder(lasting, placer, now);
        this.placeInOrder(lasting, Placer.create(this.probation.reservedOf(workers), this.model), now);
        this.placeBesideSuspects(lasting, workers, now);
        this.roomKeeper.keep([...due, ...this.probation.withoutRoom(waiting)], placer, this.host, now);
        const first = due.filter(entry => !isLongRunning(entry) && entry.runs === 0);
        this.placeInOrder(first, placer, now);
        // Further runs of a job beyond the limit on starts would only delay the first ones of others.
        this.lastStart = 0;
        const further = due.filter(entry => !isLongRunning(entry) && entry.runs > 0).sort((a, b) => a.runs - b.runs);
        this.placeInOrder(further, placer, now);
    }

    /**
     * Places the tasks that are known to be sound on workers that try suspected ones, if no other worker has room for them. Others would
     * leave open whether they or the suspected ones are the cause of a loss.
     */
    private placeBesideSuspects(due: readonly WaitingGroup[], workers: readonly WorkerContact[], now: number): void {
        const sound = due
            .map(entry => ({
                ...entry,
                tasks: entry.tasks.filter(task => task.run === undefined && isKnownSound(task)),
            }))
            .filter(({ tasks }) => tasks.length > 0);
        if (sound.length > 0) {
            this.probation
                .triersOf(workers)
                .forEach(triers => this.placeInOrder(sound, Placer.create(triers, this.model), now));
        }
    }

    private dueMs({ group, tasks, service }: WaitingGroup, now: number): number | undefined {
        return this.waits.dueMs(group, tasks[0], service, now);
    }

    /** @returns Whether a waiting task has to have a run soon; if it will have to, a pass is requested for then. */
    private reviewDue({ group, service }: WaitingGroup, task: Task, now: number): boolean {
        const dueMs = this.waits.dueMs(group, task, service, now);
        if (dueMs !== undefined && dueMs > 0) {
            this.nextDueMs = Math.min(this.nextDueMs, dueMs);
        }
        return dueMs === 0;
    }

    private placeInOrder(waiting: readonly WaitingGroup[], placer: Placer, now: number): void {
        for (const entry of waiting) {
            if (this.remainingStarts <= this.lastStart) {
                return;
            }
            if (entry.isThrottled) {
                this.moveTasks(entry, placer, now);
            } else if (isGang(entry)) {
                this.placeGang(entry, placer, now);
            } else {
                this.placeTasks(entry, placer, now);
            }
        }
    }

    /** Updates what changes with time in a job that has not changed. Without a run, it waits on as before. */
    private refresh(job: ActiveJob, kept: CollectedJob<WaitingGroup>, now: number, wallNow: number): void {
        if (job.hasRun || kept.groups.length === 0) {
            this.waits.updateJob(job, kept.groups, now, wallNow);
        }
        for (const entry of kept.entries) {
            entry.rank = this.order.rank(job, entry.rank.remainingMs, wallNow);
        }
    }

    private collectWaiting(job: ActiveJob, now: number, wallNow: number): CollectedJob<WaitingGroup> {
        const waiting: WaitingGroup[] = [];
        let isLasting = true;
        const { service, priority } = this.queues.latestSettings(job.spec.queue);
        const groups = [...job.groups].filter(group => !group.done.isFull && job.isReady(group));
        this.waits.updateJob(job, groups, now, wallNow);
        for (const group of groups) {
            const { tasks, throttled, hasThrottledRun } = this.tasksToPlace(group, now);
            isLasting &&= !hasThrottledRun;
            const isComplete = !isGang({ group }) || tasks.length === group.tasks.length;
            if ((tasks.length === 0 || !isComplete) && throttled.length === 0) {
                continue;
            }
            const rank = this.order.rank(job, job.remainingMs(group), wallNow);
            const add = (entryTasks: readonly Task[], isSuspected: boolean, isThrottled: boolean) => {
                const waitedMs = isThrottled ? 0 : this.waits.idleMs(group, entryTasks[0], now);
                const kind = { isThrottled, isSuspected, service, priority };
                waiting.push({ group, tasks: entryTasks, waitedMs, ...kind, rank, pass: 0, position: 0 });
            };
            if (throttled.length > 0) {
                add(throttled, false, true);
            }
            if (tasks.length > 0 && isComplete) {
                this.reserve.recordReady(group, service, now);
                const isAll = isGang({ group });
                this.suspects.separate(tasks, isAll).forEach(each => add(each.tasks, each.isSuspected, false));
            }
        }
        return { groups, entries: waiting, isLasting };
    }

    /** @returns Tasks of a group that wait, and those that should move since their runs are slow; a gang moves as a whole. */
    private tasksToPlace(group: TaskGroup, now: number): TasksToPlace {
        const tasks: Task[] = [];
        let hasThrottledRun = false;
        const throttled: Task[] = [];
        for (const task of group.tasks) {
            if (task.run === undefined) {
                if (!group.done.has(task.index) && mayStart(task)) {
                    tasks.push(task);
                }
            } else if (group.step.usesSpareCpu && this.reviewer.isThrottled(task.run)) {
                hasThrottledRun = true;
                if (this.reviewer.isSlowedDown(task.run, now)) {
                    throttled.push(task);
                }
            }
        }
        const isWhole = throttled.length > 0 && group.step.mode === "gang";
        return { tasks, throttled: isWhole ? group.tasks : throttled, hasThrottledRun };
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
            .map(entry => ({
                ...entry,
                minSpeedPercent: this.minSpeedPercent(entry, entry.tasks[0], now),
                isDue: this.reviewDue(entry, entry.tasks[0], now),
            }));
        groups.forEach(({ tasks }) => alignMembers(tasks));
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

    /** Tasks of a step are alike: when no worker has free capacity for one of them, none has for the others. */
    private placeTasks(entry: WaitingGroup, placer: Placer, now: number): void {
        const place = this.places.decisionOf(entry.group);
        const rack = place?.rack ?? (entry.group.step.prefersOneRack ? rackOf(entry.group) : undefined);
        for (const task of entry.tasks) {
            if (task.run !== undefined) {
                continue;
            }
            const minSpeedPercent = this.minSpeedPercent(entry, task, now);
            if (this.remainingStarts <= this.lastStart || placer.isInfeasible(task, entry.service, minSpeedPercent)) {
                return;
            }
            const preferred = place?.leavesRack ? undefined : this.choosePreferred(task, entry.service, placer, rack);
            const isWaiting = place?.isWaiting === true;
            const choice =
                preferred ?? (isWaiting ? undefined : this.chooseAny(task, entry, placer, minSpeedPercent, now));
            if (choice === undefined) {
                if (!isWaiting) {
                    placer.recordRejection(task, entry.service, minSpeedPercent);
                }
                if (task.failedOn.size === 0) {
                    return;
                }
                continue;
            }
            this.assignTo(task, choice, placer, now);
        }
    }

    private minSpeedPercent({ group, service }: WaitingGroup, task: Task, now: number): number {
        return this.waits.minSpeedPercent(group, task, service, now);
    }

    /** Moves throttled tasks, unless a late leader would take too long until they run again. */
    private moveTasks(entry: WaitingGroup, placer: Placer, now: number): void {
        if (!this.waits.isLate) {
            this.moves.move(entry, placer, now);
        }
    }

    /** @returns Whether a worker may be given a task: best-effort tasks keep away from one that is held for another task. */
    private isOpenFor(task: Task, worker: WorkerContact): boolean {
        return !task.step.usesSpareCpu || !this.moves.isHeld(worker);
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
            : placer.choose(task, service, worker => worker.entry.rack === preferred && this.isOpenFor(task, worker));
    }

    private chooseAny(
        task: Task,
        entry: WaitingGroup,
        placer: Placer,
        minSpeedPercent: number,
        now: number,
    ): PlacementChoice | undefined {
        const choose = () => this.chooseOutsideKept(task, entry, placer, minSpeedPercent, now);
        // No worker without a failure of this task has capacity, so those with a failure are allowed, too.
        return choose() ?? (task.failedOn.size === 0 ? undefined : ignoringFailures([task], choose));
    }

    /** Leaves racks to tasks that gain more there, unless no other worker has room. */
    private chooseOutsideKept(
        task: Task,
        entry: WaitingGroup,
        placer: Placer,
        minSpeedPercent: number,
        now: number,
    ): PlacementChoice | undefined {
        const isKept = this.places.keptFrom(task);
        const choose = (isAllowed: (worker: WorkerContact) => boolean) =>
            this.chooseOutsideReserve(task, entry, placer, minSpeedPercent, now, isAllowed);
        const isOpen = (worker: WorkerContact) => this.isOpenFor(task, worker);
        const choice = isKept && choose(worker => isOpen(worker) && !isKept(worker));
        const isUseless = isKept !== undefined && placer.hasJustFailed(task, entry.service, minSpeedPercent);
        return choice ?? (isUseless ? undefined : choose(isOpen));
    }

    /**
     * New long-running tasks use no reserved worker while others lack only CPU, until they have to run: then one with room for two.
     * One that ran before is back in service as soon as possible, if need be on a reserved worker.
     */
    private chooseOutsideReserve(
        task: Task,
        { group, service }: WaitingGroup,
        placer: Placer,
        minSpeedPercent: number,
        now: number,
        isAllowed: (worker: WorkerContact) => boolean,
    ): PlacementChoice | undefined {
        if (task.step.mode !== "long-running") {
            return placer.choose(task, service, isAllowed, minSpeedPercent);
        }
        const isUnreserved = (worker: WorkerContact) => isAllowed(worker) && !this.reserved.has(worker);
        const choice = placer.choose(task, service, isUnreserved, minSpeedPercent);
        if (choice !== undefined || hasRunBefore(task) || !placer.lacksOnlyCpu(task, service, isUnreserved)) {
            return choice ?? placer.choose(task, service, isAllowed, minSpeedPercent);
        }
        const hasRoom = (worker: WorkerContact) => isAllowed(worker) && placer.hasRoomTwice(task, worker);
        const isDue = this.waits.dueMs(group, task, service, now) === 0;
        return isDue ? placer.choose(task, service, hasRoom, minSpeedPercent) : undefined;
    }

    private assignTo(task: Task, { worker, speedPercent }: PlacementChoice, placer: Placer, now: number): void {
        const run = this.host.assign(task, worker, speedPercent, now);
        this.places.recordStart(task, run, now);
        this.waits.recordAssignment(task, worker.entry.service, speedPercent);
        placer.invalidate(worker);
        this.remainingStarts -= 1;
    }

    /** Assigns all members of a gang or none. */
    private placeGang(entry: WaitingGroup, placer: Placer, now: number): void {
        const { tasks, service } = entry;
        if (tasks[0].run !== undefined) {
            return;
        }
        const place = this.places.decisionOf(entry.group);
        const racks = entry.group.step.prefersOneRack ? placer.racks(service) : [];
        const first = place === undefined || place.leavesRack ? [] : [place.rack];
        const preferred = new Set([...first, ...racks]);
        const minSpeedPercent = this.minSpeedPercent(entry, tasks[0], now);
        for (const rack of place?.isWaiting ? preferred : [...preferred, undefined]) {
            const isAllowed = (worker: WorkerContact) =>
                (rack === undefined || worker.entry.rack === rack) && this.isOpenFor(tasks[0], worker);
            const choose = () => placer.chooseAll(tasks, service, isAllowed, minSpeedPercent);
            const hasFailed = rack === undefined && tasks.some(task => task.failedOn.size > 0);
            const chosen = choose() ?? (hasFailed ? ignoringFailures(tasks, choose) : undefined);
            if (chosen !== undefined) {
                alignMembers(tasks);
                tasks.forEach((task, index) => this.assignTo(task, chosen[index], placer, now));
                return;
            }
        }
    }
}
