import { TaskGroup } from "./activeJob";
import { Task } from "./task";

/** @returns Whether the tasks of a group work only together. */
export function isGang({ group }: { readonly group: TaskGroup }): boolean {
    return group.step.mode === "gang";
}

/** @returns Whether the tasks of a group run until their job is cancelled. */
export function isLongRunning({ group }: { readonly group: TaskGroup }): boolean {
    return group.step.mode === "long-running";
}

/** @returns The rack of the first task in the group that has a run, if any. */
export function rackOf(group: TaskGroup): string | undefined {
    return group.tasks.find(task => task.run !== undefined)?.run?.rack;
}

/** Gives the tasks of a gang the same highest run, so that their next runs have the same number. */
export function alignRuns(tasks: readonly Task[]): void {
    const highestRun = Math.max(...tasks.map(task => task.highestRun));
    tasks.forEach(task => (task.highestRun = highestRun));
}
