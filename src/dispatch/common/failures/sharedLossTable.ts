import { isFinal } from "../../../jobs/common/jobTable";
import { Task } from "../jobs/task";
import type { ReviewedLoss } from "./reviewedLoss";

/** The loss of a worker that had just started several tasks. */
export interface SharedLoss {
    /** The tasks that may be the cause. */
    readonly tasks: Set<Task>;
    readonly loss: ReviewedLoss;
    /** Time within which the worker was lost, in ms. */
    readonly withinMs: number;
}

/** A loss of which all tasks but one, or one gang, have been left out. */
export interface AttributedLoss {
    readonly task: Task;
    readonly loss: ReviewedLoss;
    /** Time within which the worker was lost, in ms. */
    readonly withinMs: number;
}

/** Knows which tasks shared the worker of a loss, so that evidence about one of them counts for the others. */
export class SharedLossTable {
    private losses: SharedLoss[] = [];

    private constructor() {}

    /** @returns A table without losses. */
    static create(): SharedLossTable {
        return new SharedLossTable();
    }

    /**
     * Adds a loss.
     * @param loss The loss of the worker.
     * @param tasks Tasks that the worker had just started.
     * @param withinMs Time within which it was lost, in ms.
     * @returns The loss.
     */
    add(loss: ReviewedLoss, tasks: readonly Task[], withinMs: number): SharedLoss {
        this.losses = this.losses.filter(each => [...each.tasks].some(task => !isFinal(task.job.state)));
        const shared = { loss, tasks: new Set(tasks), withinMs };
        this.losses.push(shared);
        return shared;
    }

    /** Forgets a loss of which none of the tasks was the cause. */
    delete(shared: SharedLoss): void {
        this.losses = this.losses.filter(each => each !== shared);
    }

    /**
     * Leaves out a task that is not the cause.
     * @param innocent The task.
     * @returns The losses of which only one task, or one gang, is left; one for each of these tasks.
     */
    clear(innocent: Task): AttributedLoss[] {
        const shared = this.losses.filter(each => each.tasks.delete(innocent));
        const attributed = new Map<Task, AttributedLoss>();
        for (const { loss, tasks, withinMs } of shared.filter(each => countUnits(each.tasks) === 1)) {
            tasks.forEach(task => attributed.set(task, { task, loss, withinMs }));
        }
        this.losses = this.losses.filter(each => countUnits(each.tasks) > 1);
        return [...attributed.values()];
    }

    /**
     * Attributes all losses of a task to it.
     * @param culprit The task.
     * @returns The tasks that shared these losses and no other one.
     */
    attributeTo(culprit: Task): Task[] {
        const explained = this.losses.filter(each => each.tasks.has(culprit)).flatMap(each => [...each.tasks]);
        this.losses = this.losses.filter(each => !each.tasks.has(culprit));
        const isExplained = (task: Task) => !this.losses.some(each => each.tasks.has(task));
        const unit = startUnitOf(culprit);
        return [...new Set(explained)].filter(task => startUnitOf(task) !== unit && isExplained(task));
    }
}

/** @returns What starts as a unit: the members of a gang do so together, other tasks alone. */
export function startUnitOf(task: Task): string {
    return task.step.mode === "gang" ? `${task.job.spec.id}.${task.groupKey}` : task.name;
}

function countUnits(tasks: Iterable<Task>): number {
    return new Set([...tasks].map(startUnitOf)).size;
}
