import { Estimate } from "./estimate";

/**
 * Why the tasks of a step start where they do. `room`: the rack had room for them. `pays`: waiting for the rack costs less than starting
 * elsewhere. `costly`: it costs more. `unmeasured`: too few runs have ended there to tell when it has room. `overdue`: the wait has
 * lasted as long as it can save. `due`: the job has to have a run soon. `rack-gone`: no worker of the rack can be used. `lasting`: a
 * long-running task does not wait.
 */
export type PlaceReason = "room" | "pays" | "costly" | "unmeasured" | "overdue" | "due" | "rack-gone" | "lasting";

/** What is known when some tasks of a step have no room on the rack on which they run fastest. */
export interface PlaceOutlook {
    /** Duration of the tasks on the rack. */
    readonly work: Estimate;
    /** How many times as long they take elsewhere. */
    readonly factor: number;
    /** Time until the rack has room for all of them, or `undefined` if too few runs have ended there to tell. */
    readonly wait: Estimate | undefined;
    /** Time for which they have waited for the rack, in ms. */
    readonly waitedMs: number;
    /** Time until the step has to end for its job to meet the objective, in ms; infinite without an objective. */
    readonly slackMs: number;
    /** Time from the acceptance of the job to its objective, in ms. */
    readonly allowedMs: number;
    /** Time until the job has to have a run, in ms; infinite if it has one or its service is full. */
    readonly dueMs: number;
    /** Time until the latest of the step's runs ends that was started elsewhere, in ms; 0 without one. */
    readonly floorMs: number;
}

/** Decides whether tasks wait for room on the rack on which they run fastest, or start elsewhere. */
export abstract class PlacePolicy {
    /** @returns `pays` to wait on until the next pass, otherwise why the tasks start elsewhere. */
    abstract review(outlook: PlaceOutlook): PlaceReason;
}
