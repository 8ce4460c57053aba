import test from "ava";
import { START_VALIDITY_MS } from "../../../dispatch/common/scheduler/dispatchLimits";
import { EvacuationTable } from "../../../dispatch/common/workers/evacuationTable";
import { ViewController } from "../../../dispatch/common/scheduler/viewController";
import { JobTrial } from "../jobTrial";
import { FAULTS, JobFault, JobTrialPlan, OPERATOR_READ_FAULTS } from "../jobTrialPlan";
import { replaceMethod } from "./replaceMethod";

type Plan = Omit<JobTrialPlan, "seed">;

const PLAN: Plan = { lengthMs: 40_000, instances: 3, workers: 6, faultEveryMs: 0 };

/** Longest time for which an accepted job may have nothing running while its service has room, in ms. */
const MAX_IDLE_MS = 3_000;

/** A shorter bound than that of the known deployments: reads of a trial are not late for as long as that. */
const SHORT_BOUND_MS = 2_500;

/** @param faults Kinds of faults. @returns Trials with these faults in which failure domains are evacuated. */
function withFaults(faults: readonly JobFault[], killsLeaders = false, boundMs?: number): Plan {
    return { ...PLAN, evacuations: { everyMs: 5_000, killsLeaders, boundMs }, faultEveryMs: 1_200, faults };
}

const CASES: readonly { readonly name: string; readonly plan: Plan }[] = [
    {
        name: "with leaders that are killed around the request",
        plan: { ...PLAN, evacuations: { everyMs: 5_000, killsLeaders: true } },
    },
    { name: "with reads of the operator's records that stall", plan: withFaults(["stalled-operator-read"]) },
    { name: "with slow reads of the operator's records", plan: withFaults(["slow-operator-pages"]) },
    {
        name: "with slow reads of the operator's records and a short bound",
        plan: withFaults(OPERATOR_READ_FAULTS, true, SHORT_BOUND_MS),
    },
    { name: "with histories that expire", plan: withFaults(["expire", "kill"]) },
    { name: "with all faults", plan: withFaults([...FAULTS, ...OPERATOR_READ_FAULTS], true) },
];

for (const { name, plan } of CASES) {
    for (const seed of [1, 2, 3]) {
        test.serial(`no task starts for long in an evacuated domain, ${name}, seed ${seed}`, t => {
            const { breaches, evacuated, starts } = JobTrial.run({ ...plan, seed });
            t.deepEqual(breaches, []);
            t.true(evacuated > 0 && starts > 0);
        });
    }
}

// LOST: a job has nothing running for 3 s while there is room.
test.serial("jobs that wait while all domains are evacuated start soon after one is taken back", t => {
    let restored = 0;
    for (const seed of [1, 2, 3, 4, 5, 6]) {
        const plan = { ...PLAN, seed, evacuations: { everyMs: 5_000, killsLeaders: false } };
        const { breaches, takeBackMs } = JobTrial.run(plan);
        t.deepEqual(breaches, []);
        t.true(takeBackMs <= MAX_IDLE_MS, `${takeBackMs} ms`);
        restored += takeBackMs > 0 ? 1 : 0;
    }
    t.true(restored > 0);
});

test.serial("a trial detects that evacuations are ignored", t => {
    replaceMethod(t, EvacuationTable.prototype, "includes", () => false);
    const { breaches } = JobTrial.run({ ...PLAN, seed: 1, evacuations: { everyMs: 5_000, killsLeaders: false } });
    t.true(breaches.some(each => each.rule === "evacuated"));
});

test.serial("a trial detects orders that do not end before an evacuation counts that is not known yet", t => {
    replaceMethod(t, ViewController.prototype, "canStart", () => true);
    replaceMethod(t, ViewController.prototype, "startValidityMs", () => START_VALIDITY_MS);
    const plan = withFaults(["slow-operator-pages"], false, SHORT_BOUND_MS);
    const trials = [1, 2, 3].map(seed => JobTrial.run({ ...plan, seed }));
    t.true(trials.some(({ breaches }) => breaches.some(each => each.rule === "evacuated")));
});
