import test from "ava";
import { PlaceOutlook, PlaceReason } from "../../../dispatch/common/locality/placePolicy";
import { EstimatedCostPolicy } from "../../../dispatch/common/locality/estimatedCostPolicy";
import { JobTrial } from "../jobTrial";
import { FAULTS, JobTrialPlan } from "../jobTrialPlan";
import { replaceMethod } from "./replaceMethod";

type Plan = Omit<JobTrialPlan, "seed">;

const PLAN: Plan = {
    lengthMs: 40_000,
    instances: 3,
    workers: 6,
    faultEveryMs: 0,
    places: { ratio: 0.8, factor: 3 },
};

/** All jobs want the same rack, which has room for about half of them. */
const ONE_RACK_PLAN: Plan = { ...PLAN, places: { ratio: 1, factor: 3 } };

const CASES: readonly { readonly name: string; readonly plan: Plan }[] = [
    { name: "without faults", plan: PLAN },
    { name: "with more work than its room", plan: ONE_RACK_PLAN },
    { name: "with leaders and workers that fail", plan: { ...PLAN, faultEveryMs: 1_500, faults: FAULTS } },
    {
        name: "with evacuations of the rack's domain",
        plan: { ...PLAN, evacuations: { everyMs: 5_000, killsLeaders: true } },
    },
    { name: "with two shards", plan: { ...PLAN, shards: 2, faultEveryMs: 2_500, faults: ["kill", "freeze"] } },
];

for (const { name, plan } of CASES) {
    for (const seed of [1, 2, 3]) {
        test.serial(`no rule is broken while most jobs wait for one rack, ${name}, seed ${seed}`, t => {
            let waits = 0;
            const policy = EstimatedCostPolicy.create();
            const original = EstimatedCostPolicy.prototype.review.bind(policy);
            replaceMethod(t, EstimatedCostPolicy.prototype, "review", (outlook: PlaceOutlook): PlaceReason => {
                const reason = original(outlook);
                waits += reason === "pays" ? 1 : 0;
                return reason;
            });
            const { breaches, starts } = JobTrial.run({ ...plan, seed });
            t.deepEqual(breaches, []);
            t.true(starts > 0);
            t.true(waits > 0);
        });
    }
}

test.serial("a trial detects jobs that wait for a rack beyond the time in which they must have a run", t => {
    replaceMethod(t, EstimatedCostPolicy.prototype, "review", () => "pays");
    const trials = [1, 2, 3].map(seed => JobTrial.run({ ...ONE_RACK_PLAN, seed }));
    t.true(trials.some(({ breaches }) => breaches.some(each => each.rule === "bounded-wait")));
});
