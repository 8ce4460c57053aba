import test from "ava";
import { HostTable } from "../../../records/common/hostTable";
import { JobTrial } from "../jobTrial";
import { MAX_DOWN_MS } from "../trialInjector";
import { replaceMethod } from "./replaceMethod";

/** Time during which jobs are submitted and faults injected, in ms. */
const LENGTH_MS = 30_000;

/** Work after which a run of a long-running task ends as done, in ms. */
const RUN_MS = 3_000;

/** Mean time between two faults, in ms. */
const FAULT_EVERY_MS = 5_000;

// LOST: a run that ended as done was taken for the end of its long-running task.
for (const [seed, faultEveryMs] of [
    [911, 0],
    [912, FAULT_EVERY_MS],
    [913, FAULT_EVERY_MS],
]) {
    test.serial(`long-running tasks whose runs end as done are started again, seed ${seed}`, t => {
        const lasting = { count: 4, runMs: RUN_MS };
        const { breaches, starts } = JobTrial.run({
            seed,
            lengthMs: LENGTH_MS,
            instances: 3,
            workers: 12,
            faultEveryMs,
            lasting,
        });
        t.deepEqual(breaches, []);
        t.true(starts > (lasting.count * LENGTH_MS) / RUN_MS);
    });
}

const LONGEST_LEASE_MS = 6_000;

/** Time (ms) at which a worker is lost, and the leader some time later. */
const WORKER_LOST_AT_MS = 10_000;
const LEADER_LOST_AT_MS = WORKER_LOST_AT_MS + 300;

/** Time within which a task is at work again once its lease has expired, in ms. */
const RESTART_MS = 700;

/** The leader's host is back after this time, which shows that the leader extends no lease any more; then one lease ends. */
const MAX_GAP_MS = LEADER_LOST_AT_MS - WORKER_LOST_AT_MS + MAX_DOWN_MS + LONGEST_LEASE_MS * 1.02 + RESTART_MS;

// The next leader waited for 8 s for the right of a leader to extend leases that had ended.
for (const fault of ["kill-leader", "kill-all"] as const) {
    test.serial(`tasks of a worker that is lost just before ${fault} run again when a lease has ended`, t => {
        for (const seed of [1, 2, 3, 4]) {
            const { breaches, leaders } = JobTrial.run({
                seed,
                lengthMs: 20_000,
                instances: 3,
                workers: 6,
                faultEveryMs: 0,
                longestLeaseMs: LONGEST_LEASE_MS,
                lasting: { count: 4, maxGapMs: MAX_GAP_MS, isAlone: true },
                plannedFaults: [
                    [WORKER_LOST_AT_MS, "lose-worker"],
                    [LEADER_LOST_AT_MS, fault],
                ],
            });
            t.deepEqual(breaches, []);
            t.is(leaders, 2);
        }
    });
}

/** Time within which callers want a task that lasts to run again, in ms: 6 s after its last run, and 3 s more. */
const MAX_CALM_GAP_MS = 9_000;

// Leases were as long as workers accept, so that a task ran again after 10.3 s at the earliest.
test.serial("tasks of a lost worker run again in time where workers accept leases of 10 s", t => {
    for (const seed of [1, 2, 3, 4]) {
        const { breaches } = JobTrial.run({
            seed,
            lengthMs: 20_000,
            instances: 3,
            workers: 6,
            faultEveryMs: 0,
            longestLeaseMs: 10_000,
            lasting: { count: 4, maxGapMs: MAX_CALM_GAP_MS, isAlone: true },
            // The first leases of a leader may have been extended further by one before it.
            plannedFaults: [[16_000, "lose-worker"]],
        });
        t.deepEqual(breaches, []);
    }
});

test.serial("a leader that is taken for ended although it leads on lets a task that lasts run twice", t => {
    replaceMethod(t, HostTable.prototype, "endOf", () => 0);
    const rules = [1, 2, 3, 4, 5, 6].flatMap(seed =>
        JobTrial.run({
            seed,
            lengthMs: 40_000,
            instances: 3,
            workers: 6,
            faultEveryMs: 1_200,
            faults: ["worker-cut", "cut-store", "freeze"],
            lasting: { count: 4 },
        }).breaches.map(each => each.rule),
    );
    t.true(rules.includes("single-run"));
});
