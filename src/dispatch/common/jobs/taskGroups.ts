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

/** @returns The racks on which tasks of a group have runs, as far as they are known, in the order of the tasks. */
export function racksOf(group: TaskGroup): string[] {
    const racks = group.tasks.flatMap(({ run }) => run?.rack ?? []);
    return [...new Set(racks)].filter(rack => rack !== "");
}

/**
 * Gives the tasks of a gang the same highest run and the same checkpoint: their next runs work together only if they have the same
 * number and resume from the same point. A checkpoint of any member is valid for all. That of a member whose worker was lost is
 * older than those that the other members listed when they ended, so it is the last choice.
 */
export function alignMembers(tasks: readonly Task[]): void {
    const highestRun = Math.max(...tasks.map(task => task.highestRun));
    const saved = tasks.filter(task => task.checkpoint !== "");
    const latest = saved.find(task => !task.hasOldCheckpoint && task.lossesInARow === 0) ?? saved[0];
    for (const task of tasks) {
        task.highestRun = highestRun;
        task.checkpoint = latest?.checkpoint ?? "";
    }
}
