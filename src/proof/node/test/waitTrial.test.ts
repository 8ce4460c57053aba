import test from "ava";
import { JobRule } from "../jobRuleChecker";
import { JobTrial } from "../jobTrial";
import { WAIT_PLANS, WaitPlanName } from "../waitTrialPlan";

/** Seeds with which jobs waited for over 3 s although their service had room, and what came before. */
const REGRESSIONS: readonly (readonly [plan: WaitPlanName, seed: number, title: string])[] = [
    ["memory-over-half", 1, "while just over half of the memory and under half of the CPU is in use"],
    ["memory-over-half", 3, "while just over half of the memory and under half of the CPU is in use"],
    ["fleet-grows", 2, "after the number of workers has nearly doubled"],
    ["half-lost", 1, "after half of the workers were lost and came back"],
    ["all-killed", 2, "after the leader and then all instances were killed"],
    ["late-leader", 1, "beside wide steps under a leader that is late"],
    ["late-leader-with-memory", 4, "beside wide steps under a leader that is late, with memory free"],
    ["small-instances", 1, "beside more wide jobs than the leader can start tasks for"],
    ["small-instances", 4, "beside more wide jobs than the leader can start tasks for"],
    ["small-instances", 5, "beside more wide jobs than the leader can start tasks for"],
    ["scarce-processor", 1, "between narrow steps under a leader that is late"],
    ["scarce-processor", 2, "between narrow steps under a leader that is late"],
    ["scarce-processor", 8, "between narrow steps under a leader that is late"],
    ["whole-day", 3, "after a late leader, a grown fleet, lost workers and a restart of all instances"],
];

for (const [plan, seed, title] of REGRESSIONS) {
    test.serial(`no job is without a run for over 3 s ${title}, seed ${seed}`, t => {
        const { breaches, starts } = JobTrial.run({ ...WAIT_PLANS[plan], seed });
        t.deepEqual(breaches, []);
        t.true(starts > 100);
    });
}

/** @returns Violations of the rule of tasks that last; with more jobs than memory, waits of other jobs may break theirs. */
function lastingRunBreaches(plan: WaitPlanName, seed: number): readonly string[] {
    const rule: JobRule = "lasting-run";
    return JobTrial.run({ ...WAIT_PLANS[plan], seed })
        .breaches.filter(each => each.rule === rule)
        .map(each => `${each.atMs} ${each.detail}`);
}

test.serial(
    "a task that lasts runs again in time after its worker was lost, beside more jobs than memory, seed 1",
    t => {
        t.deepEqual(lastingRunBreaches("worker-lost-in-overload", 1), []);
    },
);

// The next leader waited for the right of its predecessor, which had not recorded the lease, to extend it.
test.serial("a task that lasts runs again in time after its worker and the leader were lost, seed 1", t => {
    t.deepEqual(lastingRunBreaches("worker-and-leader-lost", 1), []);
});
