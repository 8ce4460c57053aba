import test from "ava";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan, PlannedFault } from "../jobTrialPlan";
import { CrashFault, createCrashSeries } from "../workerCrashes";

/** Times (ms) of the first crash, and from then to the last one. */
const FIRST_CRASH_MS = 6_000;
const SERIES_MS = 26_000;

/** Time between two moments at which many workers crash, and between two crashes of one worker, in ms. */
const MANY_EVERY_MS = 2_200;
const ONE_EVERY_MS = 200;

/** Changes of the leader between the crashes. */
const LEADER_KILLS: readonly (readonly [number, PlannedFault])[] = [
    [11_500, "kill-leader"],
    [21_500, "kill-leader"],
];

type Series = Pick<JobTrialPlan, "plannedFaults" | "shards">;

function createSeries(fault: CrashFault, everyMs: number): readonly (readonly [number, PlannedFault])[] {
    return createCrashSeries([fault], FIRST_CRASH_MS, everyMs, SERIES_MS);
}

const THIRD: Series = { plannedFaults: createSeries("crash-third-800ms", MANY_EVERY_MS) };
const THIRD_AND_LEADER: Series = { plannedFaults: [...THIRD.plannedFaults!, ...LEADER_KILLS] };
const RACK: Series = { plannedFaults: createSeries("crash-rack-800ms", MANY_EVERY_MS) };
const RACK_AND_LEADER: Series = {
    plannedFaults: [...createSeries("crash-rack-either", MANY_EVERY_MS), ...LEADER_KILLS],
};
const ONE_BY_ONE: Series = { plannedFaults: createSeries("crash-one-800ms", ONE_EVERY_MS) };
const ONE_BY_ONE_AND_LEADER: Series = { plannedFaults: [...ONE_BY_ONE.plannedFaults!, ...LEADER_KILLS] };

/** Jobs that use half of 30 workers. */
const BASE: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 36_000,
    instances: 3,
    workers: 30,
    faultEveryMs: 0,
    submitEveryMs: 180,
};

// Tasks were convicted by three losses, or given up after five in a row, of workers that they did not crash.
for (const [name, series, seed] of [
    ["a third of the workers crashes again and again", THIRD, 10],
    ["a third of the workers of two shards crashes again and again", { ...THIRD, shards: 2 }, 6],
    ["a third of the workers crashes again and again, and the leader changes", THIRD_AND_LEADER, 8],
    // The loss that decides is that of a run that is at work on the next life of its worker.
    ["a rack crashes again and again", RACK, 21],
    ["a rack crashes again and again, and the leader changes", RACK_AND_LEADER, 3],
    ["workers crash one by one", ONE_BY_ONE, 2],
    ["workers crash one by one, and the leader changes", ONE_BY_ONE_AND_LEADER, 4],
] as const) {
    test.serial(`no job without a deadly task is shown as failed while ${name}, seed ${seed}`, t => {
        const { breaches, sharedCrashes } = JobTrial.run({ ...BASE, ...series, seed });
        t.deepEqual(breaches, []);
        t.true(sharedCrashes > 0);
    });
}

for (const [name, series, seed] of [
    ["a third of the workers crashes again and again", THIRD, 1],
    ["a rack crashes again and again, and the leader changes", RACK_AND_LEADER, 1],
    ["workers crash one by one", ONE_BY_ONE, 1],
] as const) {
    test.serial(`deadly tasks end, and no others, while ${name}, seed ${seed}`, t => {
        const { breaches, crashes } = JobTrial.run({ ...BASE, ...series, seed, deadlyRatio: 0.08 });
        t.deepEqual(breaches, []);
        t.true(crashes > 0);
    });
}

// They were suspected and waited for one another, behind workers that were closed to all but one of them.
test.serial("tasks that last run again in time after a third of the workers has crashed again and again, seed 1", t => {
    const lasting = { count: 8, isReviewed: true };
    const { breaches } = JobTrial.run({ ...BASE, ...THIRD, lasting, recoveryMs: 20_000, seed: 1 });
    t.deepEqual(breaches, []);
});

// A refused call was answered as if another worker had the address, so runs on their way to the new life were given up.
test.serial("no task runs twice on workers that are back under their ids, seed 3", t => {
    const plannedFaults = createSeries("crash-third-either", MANY_EVERY_MS);
    const rules = JobTrial.run({ ...BASE, plannedFaults, seed: 3 }).breaches.map(each => each.rule);
    t.false(rules.includes("single-run"));
});
