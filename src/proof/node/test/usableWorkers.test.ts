import test, { ExecutionContext } from "ava";
import { StartAdmission } from "../../../dispatch/common/startAdmission";
import { WorkerContact } from "../../../dispatch/common/workerContact";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan } from "../jobTrialPlan";
import { MEASURED_COSTS } from "../trialCosts";
import { replaceMethod } from "./replaceMethod";

/** Share of the workers that answer and are ready which must take part in the passes. */
const MIN_USABLE_RATIO = 0.9;

/** Time after which the trial is counted, in ms: the first leader has reached all workers. */
const COUNTED_FROM_MS = 5_000;

/** Many short tasks on many workers, and a leader that is late with all it does. */
const BUSY: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 12_000,
    instances: 3,
    workers: 62,
    faultEveryMs: 0,
    submitEveryMs: 40,
    costs: { ...MEASURED_COSTS, share: 0.08 },
};

/** Counts the workers that are reachable and ready, and those of them that take part, over all passes of a trial. */
function countUsable(t: ExecutionContext) {
    const counts = { reachable: 0, usable: 0, passes: 0 };
    const { usableWorkers } = StartAdmission.prototype;
    replaceMethod(
        t,
        StartAdmission.prototype,
        "usableWorkers",
        function (this: StartAdmission, all: Iterable<WorkerContact>, now: number) {
            const workers = [...all];
            const usable = usableWorkers.call(this, workers, now);
            if (now >= COUNTED_FROM_MS) {
                const isReachable = (each: WorkerContact) =>
                    each.state === "reachable" && each.isRegistered && each.entry.state === "ready";
                counts.reachable += workers.filter(isReachable).length;
                counts.usable += usable.length;
                counts.passes += 1;
            }
            return usable;
        },
    );
    return counts;
}

for (const seed of [1, 2, 3]) {
    test.serial(`the confirmation of ends does not take workers out of passes, seed ${seed}`, t => {
        const counts = countUsable(t);
        const { breaches, starts, halfSeconds, lateHalfSeconds } = JobTrial.run({ ...BUSY, seed });
        const { usable, reachable, passes } = counts;
        t.log({ ...counts, ratio: usable / reachable, starts, halfSeconds, lateHalfSeconds });
        t.deepEqual(breaches, []);
        t.true(passes > 50 && lateHalfSeconds > halfSeconds / 2, "the leader is late");
        t.true(usable >= MIN_USABLE_RATIO * reachable, `${usable} of ${reachable}`);
    });
}
