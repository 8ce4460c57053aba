import { NO_VALUE_FACTOR } from "../waits/objectiveOrder";
import { Estimate, exactly, meanWithin, multipleOf, probabilityWithin, sumOf } from "./estimate";
import { PlaceOutlook, PlacePolicy, PlaceReason } from "./placePolicy";

/**
 * Compares what waiting and starting elsewhere cost the caller: the expected end of the step, and the time that the job is allowed
 * for each of the probabilities that it misses its objective and that it has no value left.
 *
 * Load pattern: many jobs want the same rack. Elsewhere their tasks take a multiple of their work, which a short wait saves. A
 * rack whose room ends free too rarely is not waited for, nor for longer than starting elsewhere would have cost.
 */
export class EstimatedCostPolicy extends PlacePolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): EstimatedCostPolicy {
        return new EstimatedCostPolicy();
    }

    override review(outlook: PlaceOutlook): PlaceReason {
        const { work, factor, wait, waitedMs, dueMs } = outlook;
        // A wait that has lasted as long as it can save is given up, whatever the estimates say.
        const leftMs = (factor - 1) * work.meanMs - waitedMs;
        if (dueMs <= 0) {
            return "due";
        }
        if (leftMs <= 0) {
            return "overdue";
        }
        if (wait === undefined) {
            return "unmeasured";
        }
        const patienceMs = Math.min(leftMs, dueMs);
        const near = sumOf({ ...wait, meanMs: meanWithin(wait, patienceMs) }, work);
        const elsewhere = multipleOf(work, factor);
        const chance = probabilityWithin(wait, patienceMs);
        const waitCostMs =
            chance * costOf(near, outlook) + (1 - chance) * costOf(sumOf(exactly(patienceMs), elsewhere), outlook);
        return waitCostMs < costOf(elsewhere, outlook) ? "pays" : "costly";
    }
}

/** @returns What an end of the step costs the caller, in ms. */
export function costOf(
    end: Estimate,
    { slackMs, allowedMs, floorMs }: Pick<PlaceOutlook, "slackMs" | "allowedMs" | "floorMs">,
): number {
    const bounded = { ...end, meanMs: Math.max(end.meanMs, floorMs) };
    const missedAfter = (limitMs: number) => 1 - probabilityWithin(bounded, limitMs);
    const misses = missedAfter(slackMs) + missedAfter(slackMs + (NO_VALUE_FACTOR - 1) * allowedMs);
    return bounded.meanMs + misses * allowedMs;
}
