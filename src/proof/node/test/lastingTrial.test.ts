import test from "ava";
import { JobTrial } from "../jobTrial";

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
