import { isFinal } from "../../jobs/common/jobTable";
import { Task } from "./task";

/** Tasks that a worker had just started when it was lost, and any of which may be the cause. */
type SharedLoss = Set<Task>;

/** Knows which tasks shared the worker of a loss, so that evidence about one of them counts for the others. */
export class SharedLossTable {
    private losses: SharedLoss[] = [];

    private constructor() {}

    /** @returns A table without losses. */
    static create(): SharedLossTable {
        return new SharedLossTable();
    }

    /** Adds a loss. @param tasks Tasks that the worker had just started. */
    add(tasks: readonly Task[]): void {
        this.losses = this.losses.filter(each => [...each].some(task => !isFinal(task.job.state)));
        this.losses.push(new Set(tasks));
    }

    /**
     * Leaves out a task that is not the cause.
     * @param innocent The task.
     * @returns The tasks that are the only ones, or the only gang, left of a loss.
     */
    clear(innocent: Task): Task[] {
        const shared = this.losses.filter(each => each.delete(innocent));
        const attributed = shared.filter(each => countUnits(each) === 1).flatMap(each => [...each]);
        this.losses = this.losses.filter(each => countUnits(each) > 1);
        return [...new Set(attributed)];
    }

    /**
     * Attributes all losses of a task to it.
     * @param culprit The task.
     * @returns The tasks that shared these losses and no other one.
     */
    attributeTo(culprit: Task): Task[] {
        const explained = this.losses.filter(each => each.has(culprit)).flatMap(each => [...each]);
        this.losses = this.losses.filter(each => !each.has(culprit));
        const isExplained = (task: Task) => !this.losses.some(each => each.has(task));
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
