import { isFinal } from "../../../jobs/common/jobTable";
import { Task } from "../jobs/task";
import { LOSSES_BEFORE_CALM, MAX_LOSSES_IN_A_ROW } from "./lossSeries";
import { Run } from "../runs/run";
import { isSilent } from "../waits/waitTable";
import { WorkerContact } from "../workers/workerContact";

export { MAX_LOSSES_IN_A_ROW } from "./lossSeries";

/** Tasks that start apart from others. */
export interface SeparateTasks {
    readonly tasks: readonly Task[];
    readonly isSuspected: boolean;
}

/** The tasks that are suspected of crashing the workers that start them, and those that are on their last attempt. */
export class SuspectTable {
    private readonly tasks = new Set<Task>();
    /** Whether workers are lost so often, or were so many at once, that a task that starts now would be lost by coincidence. */
    isTroubled = false;
    /** Tasks that are given up unless other workers turn out to have been lost together with theirs. */
    private readonly awaited = new Set<Task>();

    private constructor() {}

    /** @returns A table without tasks. */
    static create(): SuspectTable {
        return new SuspectTable();
    }

    /** Whether all tasks start among others. */
    get isEmpty(): boolean {
        return this.tasks.size === 0;
    }

    /** @param task A task. @returns Whether it is suspected. */
    has(task: Task): boolean {
        return this.tasks.has(task) && task.suspicion?.recorded !== undefined;
    }

    /** @param task A task. @returns Whether it does not start now: the loss of one more worker would come too early, or at a bad time. */
    isHeld(task: Task): boolean {
        return this.awaited.has(task) || (this.isTroubled && startsInCalm(task));
    }

    /** @param task A task. @returns Whether it starts apart from others: it is suspected, or on its last attempt. */
    startsApart(task: Task): boolean {
        return this.tasks.has(task);
    }

    /**
     * Separates suspected tasks, and those on their last attempt, from others: they start one by one.
     * @param tasks Tasks of a group that wait.
     * @param isAll Whether they start as a whole.
     * @returns The units that start apart from each other.
     */
    separate(tasks: readonly Task[], isAll: boolean): SeparateTasks[] {
        const suspected = this.isEmpty ? [] : tasks.filter(task => this.startsApart(task));
        if (suspected.length === 0 || isAll) {
            return [{ tasks, isSuspected: suspected.length > 0 }];
        }
        const others = tasks.filter(task => !this.startsApart(task));
        const unsuspected = others.length === 0 ? [] : [{ tasks: others, isSuspected: false }];
        return [...unsuspected, ...suspected.map(task => ({ tasks: [task], isSuspected: true }))];
    }

    /** Adds or removes a task, according to the evidence against it. */
    update(task: Task): void {
        const hasEvidence = task.suspicion?.recorded !== undefined || startsInCalm(task);
        const isListed = hasEvidence && !isFinal(task.job.state) && !task.job.isTaskDone(task) && !task.isElsewhere;
        if (isListed !== this.tasks.has(task)) {
            task.job.recordChange();
        }
        if (isListed) {
            this.tasks.add(task);
        } else {
            this.tasks.delete(task);
        }
        const isAwaited = task.suspicion?.isVerdictAwaited === true || task.losses?.isVerdictAwaited === true;
        if (isListed && isAwaited) {
            this.awaited.add(task);
        } else {
            this.awaited.delete(task);
        }
    }

    /** Removes the tasks that have ended. */
    prune(): void {
        this.tasks.forEach(task => this.update(task));
    }

    /**
     * @param worker A worker.
     * @returns Whether it tries a task that started apart: one that is suspected or on its last attempt, or whose start it has not
     * survived yet. A paused one is not tried, since a pause may last.
     */
    isOnProbation(worker: WorkerContact): boolean {
        const isTried = (run: Run) => this.has(run.task) || isLastAttempt(run.task) || !run.isProven;
        return [...worker.runs.values()].some(run => this.startsApart(run.task) && !run.isPauseProven && isTried(run));
    }

    /**
     * @param task A suspected task.
     * @param now Time in ms.
     * @returns Whether another task of its job, one that is accused, is being tried. One on a silent worker is not: whether the
     * worker has survived it may be known only when the lease ends.
     */
    isJobOnProbation(task: Task, now: number): boolean {
        for (const other of this.tasks) {
            const isSameGang = other.groupKey === task.groupKey && task.step.mode === "gang";
            if (other.job === task.job && !isSameGang && isAccusedAtWork(other, now)) {
                return true;
            }
        }
        return false;
    }
}

function isAccusedAtWork({ run, suspicion }: Task, now: number): boolean {
    return run !== undefined && !run.isPauseProven && !isSilent(run, now) && suspicion?.isAccused === true;
}

/**
 * @param task A task.
 * @returns Whether it is given up for the losses in a row if one more worker is lost under it: its run shares no worker then,
 * so that the loss is not another task's.
 */
export function isLastAttempt(task: Task): boolean {
    return task.lossesInARow === MAX_LOSSES_IN_A_ROW - 1;
}

/** @param task A task. @returns Whether so many workers were lost under it that it starts only while no others are lost. */
export function startsInCalm(task: Task): boolean {
    return task.lossesInARow >= LOSSES_BEFORE_CALM;
}

/**
 * @param task A task.
 * @returns Whether this leader may start it. One that it gives up, of a job that another shard has, goes back there: only that
 * shard's leader lets the job fail.
 */
export function mayStart(task: Task): boolean {
    return !task.isElsewhere && !(task.job.isGuest && task.lossesInARow >= MAX_LOSSES_IN_A_ROW);
}

/** @param task A task. @returns Whether not more than one worker was lost under it since it last worked for some time. */
export function hasOneLoss(task: Task): boolean {
    return task.lossesInARow <= 1 && (task.losses?.othersCount ?? 0) <= 1;
}
