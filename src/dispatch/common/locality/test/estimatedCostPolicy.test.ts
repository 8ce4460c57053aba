import test from "ava";
import { exactly } from "../estimate";
import { EstimatedCostPolicy } from "../estimatedCostPolicy";
import { PlaceOutlook, PlaceReason } from "../placePolicy";

const OUTLOOK: PlaceOutlook = {
    work: exactly(1_000),
    factor: 3,
    wait: exactly(500),
    waitedMs: 0,
    slackMs: Number.POSITIVE_INFINITY,
    allowedMs: 3_000,
    dueMs: Number.POSITIVE_INFINITY,
    floorMs: 0,
};

function review(changes: Partial<PlaceOutlook>): PlaceReason {
    return EstimatedCostPolicy.create().review({ ...OUTLOOK, ...changes });
}

test("a wait pays while it is shorter than the additional work elsewhere", t => {
    t.is(review({}), "pays");
    t.is(review({ wait: exactly(1_900) }), "pays");
    t.is(review({ wait: exactly(2_100) }), "costly");
    t.is(review({ wait: exactly(600), factor: 1.5 }), "costly");
});

test("a wait of unknown length is not begun, and one that has lasted as long as it can save is given up", t => {
    t.is(review({ wait: undefined }), "unmeasured");
    t.is(review({ waitedMs: 2_000, wait: exactly(10) }), "overdue");
});

test("a job that has to have a run before the room is expected to be free starts elsewhere at once", t => {
    t.is(review({ dueMs: 0 }), "due");
    t.is(review({ dueMs: 400 }), "costly");
    t.is(review({ dueMs: 600 }), "pays");
});

test("a wait that may make the job miss an objective that it meets elsewhere is not worth the time that it saves", t => {
    const risky = { work: exactly(600), factor: 1.5, wait: { meanMs: 200, deviationMs: 150 } };
    t.is(review({ ...risky, slackMs: 5_000 }), "pays");
    t.is(review({ ...risky, slackMs: 950 }), "costly");
});

test("a job that is late elsewhere waits for the chance to be in time on the rack", t => {
    const uncertain = { meanMs: 1_700, deviationMs: 600 };
    t.is(review({ wait: uncertain, slackMs: 10_000 }), "costly");
    t.is(review({ wait: uncertain, slackMs: 2_900 }), "pays");
});

test("tasks of a step do not wait less because others of the step run elsewhere already and end later", t => {
    const wait = exactly(900);
    t.is(review({ wait, factor: 1.6, floorMs: 0 }), "costly");
    t.is(review({ wait: exactly(500), factor: 1.6, floorMs: 1_550 }), "pays");
});
