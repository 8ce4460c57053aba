import test from "ava";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan } from "../jobTrialPlan";
import { MEASURED_COSTS } from "../trialCosts";

/** Share of half seconds in which an event may wait for over 500 ms. */
const MAX_LATE_RATIO = 0.01;

/** Twice as many workers as the leader is used to, and more short tasks than it can start. */
const DOUBLED_FLEET: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 12_000,
    instances: 3,
    workers: 62,
    faultEveryMs: 0,
    submitEveryMs: 20,
    costs: { ...MEASURED_COSTS, eventMs: 0.2, effectMs: 0.2 },
};

for (const seed of [1, 2, 4]) {
    test.serial(`starts do not make a leader late that has more workers than it can serve, seed ${seed}`, t => {
        const { breaches, leaders, halfSeconds, lateHalfSeconds } = JobTrial.run({ ...DOUBLED_FLEET, seed });
        t.deepEqual(breaches, []);
        t.is(leaders, 1);
        t.true(lateHalfSeconds <= halfSeconds * MAX_LATE_RATIO, `late in ${lateHalfSeconds} of ${halfSeconds}`);
    });
}
