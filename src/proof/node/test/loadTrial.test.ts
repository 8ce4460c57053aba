import test from "ava";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan } from "../jobTrialPlan";
import { MEASURED_COSTS } from "../trialCosts";

/** Share of half seconds in which an event may wait for over 500 ms. */
const MAX_LATE_RATIO = 0.01;

/** More jobs than the workers can run, on instances whose work takes time. */
const OVERLOAD: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 12_000,
    instances: 3,
    workers: 33,
    faultEveryMs: 0,
    submitEveryMs: 20,
    cancelRatio: 0.3,
    costs: MEASURED_COSTS,
};

for (const seed of [1, 2, 3]) {
    test.serial(`a leader keeps up under a queue that outgrows the workers, seed ${seed}`, t => {
        const { breaches, leaders, halfSeconds, lateHalfSeconds } = JobTrial.run({ ...OVERLOAD, seed });
        t.deepEqual(breaches, []);
        t.is(leaders, 1);
        t.true(lateHalfSeconds <= halfSeconds * MAX_LATE_RATIO, `late in ${lateHalfSeconds} of ${halfSeconds}`);
    });
}

test.serial("jobs are finished by a leader whose processor is slow, under a queue that outgrows the workers", t => {
    const costs = { ...MEASURED_COSTS, share: 0.1 };
    const { breaches, leaders } = JobTrial.run({ ...OVERLOAD, seed: 1, workers: 16, submitEveryMs: 30, costs });
    t.deepEqual(breaches, []);
    t.is(leaders, 1);
});
