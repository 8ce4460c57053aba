import test from "ava";
import { ActiveJob } from "../../../dispatch/common/jobs/activeJob";
import { RoomTransferPolicy } from "../../../dispatch/common/shards/roomTransferPolicy";
import { Task } from "../../../dispatch/common/jobs/task";
import { TaskBalancer } from "../../../dispatch/common/shards/taskBalancer";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan } from "../jobTrialPlan";
import { replaceMethod } from "./replaceMethod";

/** Longest time from a run of a task that lasts to the next one, in ms: 6 s after its last run, and 3 s. */
const MAX_GAP_MS = 9_000;

/**
 * Two shards of six workers, with 96 cores each. Jobs stay where their identifiers put them, so that tasks that last use 95% of
 * the first shard and 65% of the other one. Then a third of the first one is lost.
 */
const PLAN: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 20_000,
    recoveryMs: 20_000,
    instances: 3,
    workers: 12,
    faultEveryMs: 0,
    shards: 2,
    lasting: { count: 28, isAlone: true, maxGapMs: MAX_GAP_MS },
    plannedFaults: [[15_000, "lose-third"]],
};

/** Number of tasks that have no place in what is left of the first shard. */
const LEFT_OVER = 14;

// LOST: a task that lost its worker waited in a full shard beside its siblings, while another shard had room.
for (const seed of [1, 2, 3]) {
    test.serial(`tasks that last run again where there is room after a shard has lost a third, seed ${seed}`, t => {
        replaceMethod(t, RoomTransferPolicy.prototype, "choose", () => undefined);
        const { breaches, taskTransfers } = JobTrial.run({ ...PLAN, seed });
        t.deepEqual(breaches, []);
        t.true(taskTransfers >= LEFT_OVER, String(taskTransfers));
    });
}

test.serial("tasks that stay in a full shard are detected", t => {
    replaceMethod(t, RoomTransferPolicy.prototype, "choose", () => undefined);
    replaceMethod(t, TaskBalancer.prototype, "review", () => undefined);
    const { breaches } = JobTrial.run({ ...PLAN, seed: 1 });
    t.true(breaches.filter(({ rule }) => rule === "lasting-run").length >= LEFT_OVER);
});

/** Time within which a task that lasts has to run once workers have room for it, however long it has waited, in ms. */
const MAX_WAIT_BESIDE_ROOM_MS = 3_000;

/** Time at which the shards of `FULL_PLAN` get room, in ms. */
const ROOM_AT_MS = 35_000;

/**
 * Two shards of six workers that tasks that last fill, also before a third of the first one is lost: for 20 s tasks wait in both. Then the
 * second shard gets room for all of them.
 */
const FULL_PLAN: Omit<JobTrialPlan, "seed"> = {
    ...PLAN,
    lengthMs: 50_000,
    recoveryMs: 10_000,
    lasting: { count: 36, isAlone: true },
    plannedFaults: [
        [15_000, "lose-third"],
        [ROOM_AT_MS, "add-to-last-rack"],
    ],
};

// LOST: tasks that had been left from one full shard to another waited there for ten seconds after workers elsewhere had room.
for (const seed of [1, 2, 3]) {
    test.serial(
        `tasks that last run as soon as another shard has room, however often they were transferred, seed ${seed}`,
        t => {
            replaceMethod(t, RoomTransferPolicy.prototype, "choose", () => undefined);
            const { trace, taskTransfers } = JobTrial.run({ ...FULL_PLAN, seed });
            const startedAt = trace
                .filter(line => line.includes(" run-started "))
                .map(line => Number.parseInt(line, 10));
            const waitsMs = startedAt.map(at => at - ROOM_AT_MS).filter(ms => ms >= 0);
            t.true(taskTransfers >= 10, String(taskTransfers));
            t.true(waitsMs.length >= LEFT_OVER, String(waitsMs.length));
            t.true(Math.max(...waitsMs) <= MAX_WAIT_BESIDE_ROOM_MS, waitsMs.join(" "));
        },
    );
}

/** Two shards of six workers, and a job of eight tasks, of which a worker may run one. */
const WIDE_PLAN: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 12_000,
    instances: 3,
    workers: 12,
    faultEveryMs: 0,
    shards: 2,
    lasting: { count: 1, isAlone: true, tasks: 8, maxPerWorker: 1, maxGapMs: MAX_GAP_MS },
};

// LOST: a task of a job that was wider than its shard had no run for most of the day.
for (const seed of [1, 2, 3]) {
    test.serial(`all tasks of a job that lasts and is wider than its shard run, seed ${seed}`, t => {
        const { breaches, starts, taskTransfers } = JobTrial.run({ ...WIDE_PLAN, seed });
        t.deepEqual(breaches, []);
        t.is(starts, 8);
        t.is(taskTransfers, 2);
    });
}

/** Tasks that last and wait often, which are left to the other shard at random, under all faults. */
const RANDOM_PLAN: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 15_000,
    instances: 3,
    workers: 6,
    faultEveryMs: 1_000,
    shards: 2,
    transferRatio: 0.5,
    cancelRatio: 0.2,
    lasting: { count: 8, runMs: 300 },
};

for (const seed of [1, 2]) {
    test.serial(`a task that goes from shard to shard runs once at a time, under the faults of seed ${seed}`, t => {
        const { breaches, taskTransfers } = JobTrial.run({ ...RANDOM_PLAN, seed });
        t.deepEqual(breaches, []);
        t.true(taskTransfers >= 20, String(taskTransfers));
    });
}

test.serial("a leader that goes on giving runs to a task that it has left to another shard is detected", t => {
    const { leaveTask } = ActiveJob.prototype;
    replaceMethod(t, ActiveJob.prototype, "leaveTask", function (this: ActiveJob, task: Task, shard: number) {
        const transfer = leaveTask.call(this, task, shard);
        task.isElsewhere = false;
        return transfer;
    });
    const { breaches } = JobTrial.run({ ...RANDOM_PLAN, seed: 1 });
    t.true(breaches.some(({ rule }) => rule === "single-run"));
});
