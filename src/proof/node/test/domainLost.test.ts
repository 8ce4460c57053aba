import test from "ava";
import { JobTrial } from "../jobTrial";
import { WAIT_PLANS } from "../waitTrialPlan";

/** Time after the last loss of a worker by which the suspicions of a cut are taken back, in ms. */
const REVIEW_MS = 100;

/** Most tasks that may be suspected after a cut: those that lost another worker before, or start on one that is not cut off. */
const MAX_SUSPECTS = 3;

/** @returns How many tasks are suspected once the loss of the last worker has come to light. */
function countSuspects(trace: readonly string[]): number {
    const timeOf = (line: string) => Number(line.split(" ")[0]);
    const lastLossAt = Math.max(...trace.filter(line => line.includes(" worker-lost ")).map(timeOf));
    const until = trace.filter(line => timeOf(line) <= lastLossAt + REVIEW_MS);
    const suspected = new Set<string>();
    for (const line of until) {
        const task = /"task":"([^"]*)"/.exec(line)?.[1] ?? "";
        if (line.includes(" task-suspected ")) {
            suspected.add(task);
        } else if (line.includes(" task-cleared ")) {
            suspected.delete(task);
        }
    }
    return suspected.size;
}

// Each task that had just started there was suspected, and half of the workers that were left were closed to all others.
test.serial("tasks of many workers that are lost at once are not suspected", t => {
    const { breaches, trace } = JobTrial.run({ ...WAIT_PLANS["domain-lost"], seed: 1 });
    t.deepEqual(breaches, []);
    const suspects = countSuspects(trace);
    t.true(suspects <= MAX_SUSPECTS, `${suspects} suspects`);
});

test.serial("tasks that last run again in time after many workers of two shards were lost at once", t => {
    t.deepEqual(JobTrial.run({ ...WAIT_PLANS["domain-lost"], shards: 2, seed: 1 }).breaches, []);
});
