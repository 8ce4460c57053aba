import { LatencyModel } from "../placement/latencyModel";
import { Placer } from "../placement/placer";
import { Run } from "../runs/run";
import { hasOneLoss, isLastAttempt, SuspectTable } from "./suspectTable";
import { hasRunBefore, Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";

/** Largest share of the workers on which suspected tasks are tried at the same time, while other tasks wait. */
const MAX_PROBATION_RATIO = 0.25;

/** The same while no other tasks wait. The other half keeps its runs if all of the suspected tasks are guilty. */
const MAX_UNCONTESTED_RATIO = 0.5;

/** Time for which a worker is kept free of new tasks until the starts of its other runs are survived, in ms. */
const MAX_RESERVATION_MS = 3_000;

/** Time for which a task on its last attempt waits until the other runs of its reserved worker have ended, in ms. */
const MAX_WAIT_FOR_EMPTY_WORKER_MS = 2_500;

/** Largest number of tasks that are tried on one worker at the same time; only tasks of jobs that are due share one. */
const MAX_SUSPECTS_PER_WORKER = 4;

/** Uptime from which a worker is preferred, in ms: the loss of one that restarts again and again says nothing. */
const MIN_STEADY_UPTIME_MS = 10_000;

/** Suspected tasks that start together: one task, or a gang. */
export interface ProbationGroup {
    readonly tasks: readonly Task[];
    readonly service: string;
    /** Lowest speed at which they may run, in percent of full speed. */
    readonly minSpeedPercent: number;
    /** Whether their job has to have a run soon. Their service has room then. */
    readonly isDue: boolean;
}

/** Workers that are given no new tasks until the starts of their runs are survived. */
interface Reservation {
    readonly workers: ReadonlySet<WorkerContact>;
    /** Time (ms) at which it was made. */
    readonly since: number;
}

/** Current time. */
export interface Moment {
    /** Time in ms. */
    readonly now: number;
    /** Time in ms since the Unix epoch. */
    readonly wallNow: number;
}

type WorkerCondition = (worker: WorkerContact) => boolean;

/** Assigns a task to a worker, at a speed in percent of full speed. */
export type AssignSuspect = (task: Task, worker: WorkerContact, speedPercent: number) => void;

/**
 * Places suspected tasks so that the loss of their worker shows the cause: on workers that have survived the start of
 * all other runs and are given no other task until the suspected one is cleared. A task on its last attempt starts on a worker
 * without other runs, if one becomes empty soon. When a job has to have a run soon, a task against which there is little evidence
 * starts beside others like it: more than one in a few of them are rarely guilty. Tasks that last, have to run and are known to be sound
 * may join a suspected one if no other worker has room for them.
 *
 * Load pattern: workers start several tasks a second, so one that crashes has usually just started several. Without
 * probation, tasks that were only beside the guilty one would be suspected with it again and again.
 */
export class ProbationPlacer {
    /** Reservations for waiting groups, by the first task of the group. */
    private readonly reservations = new Map<Task, Reservation>();
    /** Times (ms) at which workers were first reserved for waiting groups: their worker may change, and the wait goes on. */
    private readonly reservedSince = new Map<Task, number>();
    /** First tasks of the groups that were due in the latest pass and would have had a worker reserved, if one had room. */
    private readonly lackingRoom = new Set<Task>();
    /** Workers that were given no other tasks in the latest pass. */
    private closed: ReadonlySet<WorkerContact> = new Set();

    private constructor(
        private readonly suspects: SuspectTable,
        private readonly model: LatencyModel,
    ) {}

    /**
     * @param suspects The suspected tasks.
     * @param model Estimates the interference between images.
     * @returns The placer, without reserved workers.
     */
    static create(suspects: SuspectTable, model: LatencyModel): ProbationPlacer {
        return new ProbationPlacer(suspects, model);
    }

    /**
     * Places suspected tasks, or reserves workers for them.
     * @param groups Waiting suspected tasks, the most urgent first.
     * @param workers Usable workers.
     * @param isContested Whether tasks that are not suspected wait, too.
     * @param at Current time.
     * @param assign Assigns a task to a worker.
     * @returns The workers that are to be given no other tasks in this pass.
     */
    place(
        groups: readonly ProbationGroup[],
        workers: readonly WorkerContact[],
        isContested: boolean,
        at: Moment,
        assign: AssignSuspect,
    ): Set<WorkerContact> {
        this.dropReservations(groups, workers, at.now);
        this.lackingRoom.clear();
        const maxClosed = (maxRatio: number) => Math.max(1, Math.floor(workers.length * maxRatio));
        const closed = this.closedForProbation(workers, maxClosed(MAX_UNCONTESTED_RATIO));
        this.reservations.forEach(each => each.workers.forEach(worker => closed.add(worker)));
        const placer = Placer.create(workers, this.model);
        const due = groups.filter(each => each.isDue);
        const promised = due.filter(hasPromisedStart);
        const others = due.filter(each => !hasPromisedStart(each));
        for (const group of [...promised, ...others, ...groups.filter(each => !each.isDue)]) {
            const [first] = group.tasks;
            const isPromised = hasPromisedStart(group);
            const isHeld = group.tasks.some(task => this.suspects.isHeld(task));
            if (!isPromised && (isHeld || this.suspects.isJobOnProbation(first, at.now))) {
                continue;
            }
            const maxRatio = isContested && !group.isDue ? MAX_PROBATION_RATIO : MAX_UNCONTESTED_RATIO;
            if (!this.reservations.has(first) && closed.size < maxClosed(maxRatio)) {
                this.reserve(group, placer, closed, at);
            }
            const isWithinRatio = closed.size + this.lackingRoom.size < maxClosed(maxRatio);
            const lacksRoom = group.isDue && !this.reservations.has(first) && isWithinRatio;
            this.startIfReady(group, placer, at.now, assign);
            if (group.isDue && first.run === undefined) {
                this.startBesideSuspects(group, placer, closed, assign);
            }
            if (isPromised && first.run === undefined) {
                this.startAmongOthers(group, placer, assign);
            }
            if (lacksRoom && first.run === undefined) {
                this.lackingRoom.add(first);
            }
        }
        this.closed = closed;
        return closed;
    }

    /** @returns Those suspected groups that were due in the latest pass and could not start since no worker had room for them. */
    withoutRoom<T extends Pick<ProbationGroup, "tasks"> & { readonly isSuspected: boolean }>(
        groups: readonly T[],
    ): T[] {
        return groups.filter(({ tasks, isSuspected }) => isSuspected && this.lackingRoom.has(tasks[0]));
    }

    private startIfReady(
        { tasks, service, minSpeedPercent }: ProbationGroup,
        placer: Placer,
        now: number,
        assign: AssignSuspect,
    ): void {
        const reservation = this.reservations.get(tasks[0]);
        if (reservation === undefined) {
            return;
        }
        const { workers: reserved } = reservation;
        if (![...reserved].every(this.readinessOf(tasks, now))) {
            return;
        }
        this.reservations.delete(tasks[0]);
        const chosen = placer.chooseAll(tasks, service, worker => reserved.has(worker), minSpeedPercent) ?? [];
        chosen.forEach(({ worker, speedPercent }, index) => assign(tasks[index], worker, speedPercent));
        reserved.forEach(worker => placer.invalidate(worker));
    }

    /** Starts a task of a job that is due beside others against which there is as little evidence. */
    private startBesideSuspects(
        { tasks, service, minSpeedPercent }: ProbationGroup,
        placer: Placer,
        closed: ReadonlySet<WorkerContact>,
        assign: AssignSuspect,
    ): void {
        const isShared = (worker: WorkerContact) => closed.has(worker) && hasRoomForSuspect(worker);
        const [task] = tasks;
        const choice =
            tasks.length === 1 && hasLittleEvidence(task)
                ? placer.choose(task, service, isShared, minSpeedPercent)
                : undefined;
        if (choice !== undefined) {
            this.reservations.delete(task);
            assign(task, choice.worker, choice.speedPercent);
            placer.invalidate(choice.worker);
        }
    }

    /**
     * Starts a task that lasts and has to run, against which there is little evidence, wherever it has room: first on a worker that
     * is not reserved. If it is guilty, one worker more is lost; with two losses it keeps to probation.
     */
    private startAmongOthers(
        { tasks: [task], service, minSpeedPercent }: ProbationGroup,
        placer: Placer,
        assign: AssignSuspect,
    ): void {
        this.reservations.delete(task);
        const isFree = (worker: WorkerContact) => !this.suspects.isOnProbation(worker);
        const choice =
            placer.choose(task, service, worker => isFree(worker) && !this.isReserved(worker), minSpeedPercent) ??
            placer.choose(task, service, isFree, minSpeedPercent);
        if (choice !== undefined) {
            assign(task, choice.worker, choice.speedPercent);
            placer.invalidate(choice.worker);
        }
    }

    /** @param workers Usable workers. @returns Those that are reserved and try no suspected task yet. */
    reservedOf(workers: readonly WorkerContact[]): WorkerContact[] {
        return workers.filter(worker => this.isReserved(worker) && !this.suspects.isOnProbation(worker));
    }

    /**
     * @param workers Usable workers.
     * @returns Those that were closed in the latest pass since they try suspected tasks: first the ones with little evidence against
     * all that they try, which are lost less often, then the others.
     */
    triersOf(workers: readonly WorkerContact[]): WorkerContact[][] {
        const triers = workers.filter(worker => this.closed.has(worker) && this.suspects.isOnProbation(worker));
        const hasLittle = (worker: WorkerContact) =>
            [...worker.runs.values()].every(({ task }) => !this.suspects.startsApart(task) || hasLittleEvidence(task));
        return [triers.filter(hasLittle), triers.filter(worker => !hasLittle(worker))];
    }

    private isReserved(worker: WorkerContact): boolean {
        return [...this.reservations.values()].some(each => each.workers.has(worker));
    }

    /**
     * @returns The workers on probation. Beyond the limit those stay open that try only tasks with little evidence against them, which
     * had to start.
     */
    private closedForProbation(workers: readonly WorkerContact[], maxClosed: number): Set<WorkerContact> {
        const onProbation = workers.filter(worker => this.suspects.isOnProbation(worker));
        const closed = new Set(onProbation.filter(worker => !triesLittleEvidence(worker)));
        for (const worker of onProbation) {
            if (closed.size < maxClosed) {
                closed.add(worker);
            }
        }
        return closed;
    }

    /** Reserves workers for a group, if possible such that it can start at once, and not shortly after they started. */
    private reserve(group: ProbationGroup, placer: Placer, closed: Set<WorkerContact>, at: Moment): void {
        const { tasks, service, minSpeedPercent } = group;
        const isReady = this.readinessOf(tasks, at.now);
        const isSteady = (worker: WorkerContact) => at.wallNow - worker.entry.incarnation >= MIN_STEADY_UPTIME_MS;
        const isNearData = (worker: WorkerContact) => worker.entry.rack === tasks[0].step.dataRack;
        const preferences: readonly WorkerCondition[][] = [
            [isSteady, isReady, isNearData],
            [isSteady, isReady],
            [isSteady, isNearData],
            [isSteady],
            [],
        ];
        for (const conditions of preferences) {
            const isAllowed = (worker: WorkerContact) =>
                !closed.has(worker) && conditions.every(isMet => isMet(worker));
            const chosen = placer.chooseAll(tasks, service, isAllowed, minSpeedPercent);
            if (chosen !== undefined) {
                this.reservations.set(tasks[0], { workers: new Set(chosen.map(each => each.worker)), since: at.now });
                this.reservedSince.set(tasks[0], this.reservedSince.get(tasks[0]) ?? at.now);
                chosen.forEach(({ worker }) => {
                    closed.add(worker);
                    placer.invalidate(worker);
                });
                return;
            }
        }
    }

    /** @returns Whether a worker is ready for a group: empty for one on its last attempt, unless that takes too long. */
    private readinessOf(tasks: readonly Task[], now: number): WorkerCondition {
        const waitedMs = now - (this.reservedSince.get(tasks[0]) ?? now);
        return tasks.some(isLastAttempt) && waitedMs < MAX_WAIT_FOR_EMPTY_WORKER_MS ? isEmpty : hasOnlyProvenRuns;
    }

    private dropReservations(groups: readonly ProbationGroup[], workers: readonly WorkerContact[], now: number): void {
        const waiting = new Set(groups.map(({ tasks }) => tasks[0]));
        const usable = new Set(workers);
        for (const [first, reservation] of this.reservations) {
            const isUsable = [...reservation.workers].every(worker => usable.has(worker));
            if (!waiting.has(first) || !isUsable || now - reservation.since > MAX_RESERVATION_MS) {
                this.reservations.delete(first);
            }
        }
        for (const first of this.reservedSince.keys()) {
            if (!waiting.has(first)) {
                this.reservedSince.delete(first);
            }
        }
    }
}

function isEmpty(worker: WorkerContact): boolean {
    return worker.runs.size === 0;
}

/** @returns Whether a worker tries only tasks with little evidence against them, and may try another one. */
function hasRoomForSuspect(worker: WorkerContact): boolean {
    const tried = triedRuns(worker);
    return tried.length > 0 && tried.length < MAX_SUSPECTS_PER_WORKER && triesLittleEvidence(worker);
}

function triedRuns(worker: WorkerContact): Run[] {
    return [...worker.runs.values()].filter(run => !run.isProven && !run.isPauseProven);
}

/** @returns Whether there is little evidence against all tasks of which a worker has not survived the start yet. */
function triesLittleEvidence(worker: WorkerContact): boolean {
    return triedRuns(worker).every(run => hasLittleEvidence(run.task));
}

/**
 * @param task A task.
 * @returns Whether it is known to be sound: it ran before, and no worker was lost under it since it last worked for some time. Beside
 * it, the loss of a worker still shows that a suspected task is the cause.
 */
export function isKnownSound(task: Task): boolean {
    return hasRunBefore(task) && task.lossesInARow === 0;
}

/** @returns Whether a task has to start however full the service is, and whatever is reserved: it lasts, and there is little evidence. */
function hasPromisedStart({ tasks, isDue }: ProbationGroup): boolean {
    const [task] = tasks;
    return isDue && tasks.length === 1 && task.step.mode === "long-running" && hasLittleEvidence(task);
}

/** @returns Whether a task has only shared one lost worker with others. */
function hasLittleEvidence(task: Task): boolean {
    return task.suspicion?.state === "suspected" && hasOneLoss(task);
}

function hasOnlyProvenRuns(worker: WorkerContact): boolean {
    return [...worker.runs.values()].every(run => run.isProven || run.isPauseProven);
}
