import test from "ava";
import { JobTrial } from "../jobTrial";
import { FAULTS, JobTrialPlan, READ_FAULTS } from "../jobTrialPlan";

/** Parameters of trials with deadly tasks. */
const DEADLY: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 40_000,
    instances: 3,
    workers: 6,
    faultEveryMs: 2_500,
    deadlyRatio: 0.08,
};

/** The same with faults of the reads, and cancellations. */
const WITH_READ_FAULTS = { ...DEADLY, deadlyRatio: 0.1, cancelRatio: 0.2, faults: [...FAULTS, ...READ_FAULTS] };

// Tasks that shared five lost workers with deadly ones were given up.
for (const seed of [20036, 20038]) {
    test(`no job is shown as failed for deadly tasks beside its own, seed ${seed}`, t => {
        t.deepEqual(JobTrial.run({ ...DEADLY, seed }).breaches, []);
    });
}

for (const seed of [9, 19]) {
    test(`no job is shown as failed for deadly tasks beside its own, with faults of the reads, seed ${seed}`, t => {
        t.deepEqual(JobTrial.run({ ...WITH_READ_FAULTS, seed }).breaches, []);
    });
}
