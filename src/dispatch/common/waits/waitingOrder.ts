import { ActiveJob } from "../jobs/activeJob";

/** Whether a job can still meet its objective, will be late, or will be so late that it has no value. */
export type Timeliness = "in-time" | "late" | "no-value";

/** Criteria for the position of a job among those of its priority. */
export interface WaitingRank {
    readonly timeliness: Timeliness;
    /** Slack until the job misses its objective, in ms. */
    readonly slackMs: number;
    /** Estimated remaining duration of the job, in ms. */
    readonly remainingMs: number;
}

/** Order in which jobs of one priority get free capacity. */
export abstract class WaitingOrder {
    /**
     * @param job A job with waiting tasks.
     * @param remainingMs Estimated duration of its waiting step and the steps after it, in ms.
     * @param wallNow Time in ms since the Unix epoch.
     * @returns The criteria for its position.
     */
    abstract rank(job: ActiveJob, remainingMs: number, wallNow: number): WaitingRank;

    /** @returns A negative number if the first of two jobs comes first, a positive one if it comes second. */
    abstract compare(a: WaitingRank, b: WaitingRank): number;
}
