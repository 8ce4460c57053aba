import { ActiveJob, TaskGroup } from "../jobs/activeJob";
import { Run } from "../runs/run";
import { Task } from "../jobs/task";

/**
 * Time after its latest report for which a run counts as at work, in ms: somewhat longer than the interval between the reports
 * of a worker that is reachable. After that its worker may be lost.
 */
const MAX_SILENCE_MS = 2_000;

/** Waits of a job, or of a long-running task. */
interface WaitRecord {
    /** Time (ms) since which it has nothing at work, or `undefined` while it has. */
    idleSince: number | undefined;
    /** Time for which it had nothing at work before that, in ms. */
    idleBeforeMs: number;
}

/**
 * Knows for how long tasks have been ready without a run at work: for tasks of a long-running step each by itself, for others the
 * job while none of its tasks has one. A run counts once its worker has reported it or its end, since a start may be rejected.
 */
export class WaitTable {
    private readonly records = new WeakMap<ActiveJob | Task, WaitRecord>();

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
        if (others.length === 0) {
            this.records.delete(job);
        } else {
            const firstReadyAt = others.reduce((first, group) => Math.min(first, readyAt(group)), Infinity);
            this.record(job, job.runsLike(isReported), job.lastEndAt, firstReadyAt, now);
        }
        for (const group of groups) {
            if (group.step.mode === "long-running") {
                for (const task of group.tasks) {
                    if (task.isElsewhere) {
                        this.records.delete(task);
                        continue;
                    }
                    const runs = task.run !== undefined && isReported(task.run) ? [task.run] : [];
                    this.record(task, runs, undefined, readyAt(group), now);
                }
            }
        }
    }

    /** @returns Time for which a waiting task of a group has had no run at work, in ms. */
    idleMs(group: TaskGroup, task: Task, now: number): number {
        return now - (this.recordOf(group, task)?.idleSince ?? now);
    }

    /** @returns The same with all earlier waits of the job or long-running task, in ms. */
    totalIdleMs(group: TaskGroup, task: Task, now: number): number {
        return (this.recordOf(group, task)?.idleBeforeMs ?? 0) + this.idleMs(group, task, now);
    }

    private recordOf(group: TaskGroup, task: Task): WaitRecord | undefined {
        return this.records.get(group.step.mode === "long-running" ? task : task.job);
    }

    /** @param runs Its runs that were reported. @param lastEndAt Time (ms) of the latest end of a run, if it is known. */
    private record(
        key: ActiveJob | Task,
        runs: readonly Run[],
        lastEndAt: number | undefined,
        readyAt: number,
        now: number,
    ): void {
        const known = this.records.get(key);
        const isWorking = runs.some(run => isAtWork(run, now));
        const lastAt = latestOf([...runs.map(run => run.reportedAt), ...(lastEndAt === undefined ? [] : [lastEndAt])]);
        if (known === undefined) {
            this.records.set(key, { idleSince: isWorking ? undefined : (lastAt ?? readyAt), idleBeforeMs: 0 });
        } else if (isWorking) {
            known.idleBeforeMs += now - (known.idleSince ?? now);
            known.idleSince = undefined;
        } else if (known.idleSince === undefined) {
            known.idleSince = lastAt ?? now;
        } else if (lastAt !== undefined && lastAt > known.idleSince) {
            // A run has begun and ended without being listed in between.
            known.idleBeforeMs += lastAt - known.idleSince;
            known.idleSince = lastAt;
        }
    }
}

/** @returns The latest of some times, or `undefined` if there are none. */
function latestOf(times: readonly number[]): number | undefined {
    return times.length === 0 ? undefined : times.reduce((latest, time) => Math.max(latest, time));
}

function isReported(run: Run): boolean {
    return run.report !== undefined;
}

/** @returns Whether a worker has reported a run, and not too long ago. */
export function isAtWork(run: Run, now: number): boolean {
    return isReported(run) && now - run.reportedAt <= MAX_SILENCE_MS;
}

/** @returns Whether nothing is known of a run for so long that its worker may be lost: it was assigned and reported too long ago. */
export function isSilent(run: Run, now: number): boolean {
    return now - Math.max(run.assignedAt, run.reportedAt) > MAX_SILENCE_MS;
}
