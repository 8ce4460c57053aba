import { StepSpec } from "../../jobs/common/jobSpec";
import type { ActiveJob } from "./activeJob";
import type { Run } from "./run";

/** A task of a job that the leader schedules. */
export interface Task {
    readonly job: ActiveJob;
    readonly step: StepSpec;
    /** Key of its occurrence and step. */
    readonly groupKey: string;
    readonly index: number;
    readonly name: string;
    /** Runs that ended `failed`. */
    failures: number;
    checkpoint: string;
    /** Highest number of a run whose end was counted. */
    lastRun: number;
    /** Highest number that was given to a run. */
    highestRun: number;
    /** Its present run, if it has one. */
    run: Run | undefined;
    /** Workers on which it failed, which are avoided. */
    readonly failedOn: Set<string>;
    /** How often it was moved because it was slowed down. */
    moves: number;
    /** Time (ms) before which it is not started again. */
    notBefore: number;
}

/**
 * @param task A task that is started.
 * @param wallNow Time in ms since the Unix epoch.
 * @returns Time in ms since its job was accepted, or `undefined` if it was started before or waited for other steps.
 */
export function firstWaitMs(task: Task, wallNow: number): number | undefined {
    const isFirstStart = task.lastRun === 0 && task.step.after.length === 0;
    return isFirstStart ? wallNow - task.job.spec.acceptedAtMs : undefined;
}
