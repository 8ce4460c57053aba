import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { Run } from "../run";
import { RunReviewer } from "../runReviewer";
import { createStep, createWorker, place } from "../../jobs/test/runs";

/** Time at which the runs are throttled, in ms. */
const THROTTLED_AT_MS = 5_000;

/** @returns A best-effort run that is throttled. */
function createThrottled(overrides: Partial<StepSpec> = {}, speedPercent = 5): Run {
    const run = place(createWorker(), "a", createStep("batch", false, overrides));
    run.fire("accepted", { now: 0 });
    run.setSpeed(speedPercent, THROTTLED_AT_MS);
    return run;
}

/** @returns Whether a run counts as slowed down after it has been throttled for a time in ms. */
function isSlowedDownAfter(run: Run, ms: number): boolean {
    return RunReviewer.create().isSlowedDown(run, THROTTLED_AT_MS + ms);
}

test("the time for which a run must have been throttled before it moves doubles with each move up to 16 s", t => {
    const run = createThrottled();
    for (const ms of [1_000, 2_000, 4_000, 8_000, 16_000, 16_000, 16_000]) {
        t.false(isSlowedDownAfter(run, ms - 1), `${run.task.moves} moves`);
        t.true(isSlowedDownAfter(run, ms + 1), `${run.task.moves} moves`);
        run.task.moves += 1;
    }
});

test("a run without checkpoints is moved only while little of its work is done", t => {
    const isMovedAt = (percent: number, checkpoints: boolean) => {
        const run = createThrottled({ checkpoints });
        run.recordReport({ task: run.task.name, run: 1, checkpoint: "", percent, latencyOrUsage: 400 }, 5_500);
        return isSlowedDownAfter(run, 60_000);
    };
    t.true(isSlowedDownAfter(createThrottled({ checkpoints: false }), 60_000));
    t.true(isMovedAt(14, false));
    t.false(isMovedAt(16, false));
    t.false(isMovedAt(90, false));
    t.true(isMovedAt(90, true));
});

test("a run moves only if it runs and is throttled to a fifth of its speed or less", t => {
    t.true(isSlowedDownAfter(createThrottled({}, 20), 60_000));
    t.false(isSlowedDownAfter(createThrottled({}, 25), 60_000));
    const stopping = createThrottled();
    stopping.fire("stop", { now: THROTTLED_AT_MS });
    t.false(isSlowedDownAfter(stopping, 60_000));
});
