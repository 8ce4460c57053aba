import { ActiveJob, TaskGroup } from "./activeJob";
import { Task } from "./task";

/** Time without any run for which a job waits for a worker on which its tasks run at full speed, in ms. */
const FULL_SPEED_WAIT_MS = 3_000;

/** Time without any run after which a job accepts any speed, in ms. */
const MAX_WAIT_MS = 8_000;

/**
 * Knows for how long tasks have been ready without a run at work: for tasks of a long-running step each by itself, for others the
 * group while no task of the job has one. A run counts once its worker has reported it, since a start may be rejected.
 */
export class WaitTable {
    private readonly waitingSince = new WeakMap<TaskGroup | Task, number>();

    private constructor() {}

    /** @returns A table that has seen no group. */
    static create(): WaitTable {
        return new WaitTable();
    }

    /**
     * Reviews a job once in a pass.
     * @param job The job.
     * @param groups Its groups that are ready and not finished.
     * @param now Time in ms.
     */
    update(job: ActiveJob, groups: readonly TaskGroup[], now: number): void {
        const isAtWork = groups.length > 0 && job.hasReportedRun;
        for (const group of groups) {
            if (group.step.mode === "long-running") {
                group.tasks.forEach(task => this.record(task, task.run?.report !== undefined, now));
            } else {
                this.record(group, isAtWork, now);
            }
        }
    }

    /** @returns Time for which a waiting task of a group has had no run at work, in ms. */
    waitedMs(group: TaskGroup, task: Task, now: number): number {
        return now - (this.waitingSince.get(group.step.mode === "long-running" ? task : group) ?? now);
    }

    /**
     * @returns Lowest speed at which a waiting task may start, in percent of full speed. It falls with the wait, so that tasks start
     * where they run fastest, and the time without any run is bounded while workers have room.
     */
    minSpeedPercent(group: TaskGroup, task: Task, now: number): number {
        const waitedMs = this.waitedMs(group, task, now);
        const { usesSpareCpu, mode } = group.step;
        if (!usesSpareCpu || waitedMs <= FULL_SPEED_WAIT_MS || (mode !== "long-running" && task.job.hasRun)) {
            return 100;
        }
        return Math.round((100 * Math.max(0, MAX_WAIT_MS - waitedMs)) / (MAX_WAIT_MS - FULL_SPEED_WAIT_MS));
    }

    private record(key: TaskGroup | Task, isAtWork: boolean, now: number): void {
        this.waitingSince.set(key, isAtWork ? now : (this.waitingSince.get(key) ?? now));
    }
}
