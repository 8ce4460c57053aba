import { ActiveJob, TaskGroup } from "./activeJob";
import { Run } from "./run";
import { Task } from "./task";

/** Time without a report after which a run does not count as at work, in ms: its worker may be lost. */
const MAX_SILENCE_MS = 4_000;

/**
 * Knows for how long tasks have been ready without a run at work: for tasks of a long-running step each by itself, for others the
 * job while none of its tasks has one. A run counts once its worker has reported it, since a start may be rejected.
 */
export class WaitTable {
    private readonly waitingSince = new WeakMap<ActiveJob | Task, number>();

    private constructor() {}

    /** @returns A table that has seen no job. */
    static create(): WaitTable {
        return new WaitTable();
    }

    /**
     * Reviews a job once in a pass. One that was ready before the leader's epoch has waited since then.
     * @param job The job.
     * @param groups Its groups that are ready and not finished.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    update(job: ActiveJob, groups: readonly TaskGroup[], now: number, wallNow: number): void {
        const others = groups.filter(each => each.step.mode !== "long-running");
        const readyAt = (group: TaskGroup) => now - Math.max(0, wallNow - job.readyAtMs(group));
        if (others.length === 0 || job.hasRunLike(run => isAtWork(run, now))) {
            this.waitingSince.set(job, now);
        } else if (!this.waitingSince.has(job)) {
            this.waitingSince.set(job, Math.min(...others.map(readyAt)));
        }
        for (const group of groups) {
            if (group.step.mode === "long-running") {
                group.tasks.forEach(task => this.record(task, readyAt(group), now));
            }
        }
    }

    /** @returns Time for which a waiting task of a group has had no run at work, in ms. */
    waitedMs(group: TaskGroup, task: Task, now: number): number {
        return now - (this.waitingSince.get(group.step.mode === "long-running" ? task : task.job) ?? now);
    }

    private record(task: Task, readyAt: number, now: number): void {
        const isRunning = task.run !== undefined && isAtWork(task.run, now);
        this.waitingSince.set(task, isRunning ? now : (this.waitingSince.get(task) ?? readyAt));
    }
}

/** @returns Whether a worker has reported a run, and not too long ago. */
export function isAtWork(run: Run, now: number): boolean {
    return run.report !== undefined && now - run.reportedAt <= MAX_SILENCE_MS;
}
