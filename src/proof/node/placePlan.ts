import { JobDraft } from "../../jobs/common/jobCall";
import { StepSpec } from "../../jobs/common/jobSpec";

/** Jobs of a trial whose tasks run fastest on one rack. */
export interface PlacePlan {
    /** Share of such jobs, from 0 to 1. */
    readonly ratio: number;
    /** How many times as long their tasks take elsewhere, as the settings state it. */
    readonly factor: number;
}

/** Rack that holds the data of all jobs that need data. */
const HOT_RACK = "r0";

/** One in so many of these jobs prefers any one rack for all of its tasks instead. */
const JOBS_PER_ONE_RACK_JOB = 3;

/** Number of classes into which the ids of jobs are divided. */
const ID_CLASSES = 1_000;

/**
 * Lets a share of the jobs run fastest on one rack. What a job wants is derived from its id: a draw would change the trials of all seeds.
 * @param id The job.
 * @param draft The job without a preferred rack.
 * @param plan The share; no job prefers a rack if it is undefined.
 * @returns The job.
 */
export function preferRack(id: string, draft: JobDraft, plan: PlacePlan | undefined): JobDraft {
    const number = Number.parseInt(id, 16);
    if (plan === undefined || number % ID_CLASSES >= plan.ratio * ID_CLASSES) {
        return draft;
    }
    const isOneRackJob = Math.floor(number / ID_CLASSES) % JOBS_PER_ONE_RACK_JOB === 0;
    const place: Partial<StepSpec> = isOneRackJob ? { prefersOneRack: true } : { dataRack: HOT_RACK };
    return { ...draft, steps: draft.steps.map(step => ({ ...step, ...place })) };
}
