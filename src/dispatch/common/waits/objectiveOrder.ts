import { ActiveJob } from "../jobs/activeJob";
import { Timeliness, WaitingOrder, WaitingRank } from "./waitingOrder";

/** A job that ends after this multiple of the time from its acceptance to its objective has no value left. */
export const NO_VALUE_FACTOR = 3;

/** Ratio of the time left to the remaining duration that a job needs to count as in time before it has started. */
const UNSTARTED_MARGIN_RATIO = 1.35;

/** Order of placement; lower ranks come first. */
const TIMELINESS_RANK: Readonly<Record<Timeliness, number>> = { "in-time": 0, late: 1, "no-value": 2 };

/**
 * Jobs that can still meet their objective come first, smallest slack first, then late ones, shortest first.
 *
 * Load pattern: more work arrives than fits, for longer than the slack of a job. Ordered by slack alone, every job
 * starts when its slack is used up, and a wrong estimate or a slow run then makes it late. A job that has not started
 * therefore counts as late without a margin, so that the others keep theirs.
 */
export class ObjectiveOrder extends WaitingOrder {
    private constructor() {
        super();
    }

    /** @returns The order. */
    static create(): ObjectiveOrder {
        return new ObjectiveOrder();
    }

    override rank(job: ActiveJob, remainingMs: number, wallNow: number): WaitingRank {
        const neededMs = job.state === "queued" ? remainingMs * UNSTARTED_MARGIN_RATIO : remainingMs;
        const timeliness = timelinessOf(job, wallNow, neededMs);
        return { timeliness, slackMs: job.objectiveMs - wallNow - remainingMs, remainingMs };
    }

    override compare(a: WaitingRank, b: WaitingRank): number {
        return (
            TIMELINESS_RANK[a.timeliness] - TIMELINESS_RANK[b.timeliness] ||
            (a.timeliness === "in-time" ? a.slackMs - b.slackMs : a.remainingMs - b.remainingMs)
        );
    }
}

function timelinessOf(job: ActiveJob, wallNow: number, neededMs: number): Timeliness {
    const end = wallNow + neededMs;
    if (job.isLongRunning || end <= job.objectiveMs) {
        return "in-time";
    }
    const { acceptedAtMs } = job.spec;
    return end <= acceptedAtMs + NO_VALUE_FACTOR * (job.objectiveMs - acceptedAtMs) ? "late" : "no-value";
}
