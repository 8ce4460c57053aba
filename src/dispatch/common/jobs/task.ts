import { StepSpec } from "../../../jobs/common/jobSpec";
import type { ActiveJob } from "./activeJob";
import type { Run, RunOutcome } from "../runs/run";
import type { LossSeries } from "../failures/lossSeries";
import { TaskSuspicion } from "../failures/taskSuspicion";

/** A task of an active job. */
export interface Task {
    readonly job: ActiveJob;
    readonly step: StepSpec;
    /** Key of its group, OCCURRENCE.STEP. */
    readonly groupKey: string;
    readonly index: number;
    readonly name: string;
    /** Number of runs that ended with `failed`. */
    failures: number;
    checkpoint: string;
    /** Highest number of a run whose end was counted; the end of a run that never started is not. */
    lastRun: number;
    /** Highest number given to a run; the runs of a gang that start together have the same number. */
    highestRun: number;
    /** Whether a run was given up that may have ended unnoticed. */
    hasLostRun: boolean;
    /** Whether its latest run was lost: what that one saved last is not known, so its checkpoint may be an older one. */
    hasOldCheckpoint: boolean;
    /** Evidence that it crashes its workers; `undefined` unless a worker was lost under it. */
    suspicion: TaskSuspicion | undefined;
    /** Age up to which its runs were survived when their workers were lost, in ms; 0 if none was lost early. */
    lossAgeMs: number;
    /** The workers that were lost under it since it last worked for some time or reported a failure; `undefined` if none was. */
    losses: LossSeries | undefined;
    /** Number of these losses that count against it. */
    lossesInARow: number;
    /** Current run, if any. */
    run: Run | undefined;
    /** Workers on which it failed or was stuck; they are avoided. */
    readonly failedOn: Set<string>;
    /** How often it was transferred by itself between shards. */
    transfers: number;
    /** Whether the leader of another shard gives it runs. */
    isElsewhere: boolean;
    /** Number of moves because it was throttled. */
    moves: number;
}

/** @param task A task. @returns Whether it was given a run before. */
export function hasRunBefore(task: Task): boolean {
    return task.highestRun > 0;
}

/**
 * @param task A task.
 * @param outcome How one of its runs has ended.
 * @returns Whether this finishes the task. A long-running task is restarted however its runs end, until its job is cancelled.
 */
export function isFinishedBy(task: Task, outcome: RunOutcome): boolean {
    return outcome === "done" && task.step.mode !== "long-running";
}

/**
 * @param task A task that is started.
 * @param wallNow Time in ms since the Unix epoch.
 * @returns Time since its job was accepted, in ms, or `undefined` if it ran before or depends on other steps.
 */
export function firstWaitMs(task: Task, wallNow: number): number | undefined {
    const isFirstStart = task.lastRun === 0 && task.step.after.length === 0;
    return isFirstStart ? wallNow - task.job.spec.acceptedAtMs : undefined;
}

/**
 * Chooses workers as if the tasks had failed on none of them.
 * @param tasks The tasks.
 * @param choose Chooses the workers.
 * @returns What `choose` returns.
 */
export function ignoringFailures<T>(tasks: readonly Task[], choose: () => T): T {
    const failedOn = tasks.map(task => [...task.failedOn]);
    tasks.forEach(task => task.failedOn.clear());
    const chosen = choose();
    tasks.forEach((task, index) => failedOn[index].forEach(id => task.failedOn.add(id)));
    return chosen;
}
