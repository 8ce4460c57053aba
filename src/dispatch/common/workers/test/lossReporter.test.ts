import test from "ava";
import { RunList } from "../workerMessages";
import { assign, createJob, createStep, readingOf } from "../../jobs/test/runs";
import { createPool, startOn } from "./poolFixture";

/** Time (ms) at which the next list of a worker is due. */
const LATER_MS = 5_000;

/** @returns A pool with one worker, on which a start is not answered, and a function that lets the worker answer a list. */
function createStartedPool() {
    const fixture = createPool(1);
    const [worker] = [...fixture.pool.all];
    const run = startOn(worker, "j");
    run.updateIncarnation(1);
    const answerWith = (now: number, list: RunList) => {
        fixture.pool.requestListSoon(worker, now);
        fixture.pool.tick(now);
        const [{ order }] = fixture.lists();
        const base = { worker: "w0", outcome: "done" as const, clockMs: now, sentAt: now };
        fixture.pool.handleAnswer({ kind: "list-answer", order, list, ...base }, now);
    };
    return { ...fixture, worker, run, answerWith };
}

const LISTED_RUN = { task: "j.0.0.0", run: 1, checkpoint: "", percent: 10, latencyOrUsage: 0 };

for (const how of ["running", "ended"] as const) {
    // The task of a run that a restarted worker had carried out was suspected of having crashed it.
    test(`a run that is listed as ${how} by the new incarnation of its worker was not lost with the former one`, t => {
        const { run, answerWith, host } = createStartedPool();
        const running = how === "running" ? [LISTED_RUN] : [];
        const end = { number: 1, task: "j.0.0.0", run: 1, end: "done" as const, checkpoint: "" };
        answerWith(LATER_MS, { incarnation: 7, running, ended: how === "ended" ? [end] : [] });
        t.deepEqual(host.lost, []);
        t.false(run.isWorkerLost);
        t.is(run.record.incarnation, 7);
    });
}

// The restart of the worker had been counted before the start reached the new incarnation.
test("a run that a worker lists after its restart is lost with the next one", t => {
    const { run, answerWith, host } = createStartedPool();
    answerWith(LATER_MS, { incarnation: 7, running: [], ended: [] });
    t.deepEqual(host.lost, ["w0"]);
    answerWith(2 * LATER_MS, { incarnation: 7, running: [LISTED_RUN], ended: [] });
    t.is(run.state, "running");
    answerWith(3 * LATER_MS, { incarnation: 9, running: [], ended: [] });
    t.deepEqual(host.lost, ["w0", "w0"]);
});

/** @returns Workers that are lost if one does not answer from 2 s on and its entry is renewed once. */
function lostOf(renewal: {
    readonly incarnation: number;
    readonly writtenAfter: number;
    readonly isRemoved?: boolean;
}) {
    const { pool, worker, run, host } = createStartedPool();
    run.fire("accepted", { now: 1 });
    worker.updateClock(1_000, 1_000, 1_000);
    worker.extendLeaseToMax(Number.POSITIVE_INFINITY, 1_000);
    worker.onNoAnswer(2_000);
    const { incarnation, writtenAfter, isRemoved } = renewal;
    pool.register(readingOf({ ...worker.entry, incarnation }, writtenAfter), 6_500);
    if (isRemoved === true) {
        pool.deregister("w0");
    }
    pool.tick(10_500);
    return { state: run.state, lost: host.lost };
}

// A task whose worker was out of reach five times was given up (review/8).
test("a worker whose entry is renewed while it does not answer is not lost when its lease expires", t => {
    t.deepEqual(lostOf({ incarnation: 1, writtenAfter: 6_000 }), { state: "over", lost: [] });
});

test("a worker whose entry was written before it fell silent, or is of another incarnation or removed, is lost", t => {
    const expected = { state: "over", lost: ["w0"] };
    t.deepEqual(lostOf({ incarnation: 1, writtenAfter: 2_500 }), expected);
    t.deepEqual(lostOf({ incarnation: 2, writtenAfter: 6_000 }), expected);
    t.deepEqual(lostOf({ incarnation: 1, writtenAfter: 6_000, isRemoved: true }), expected);
});

// A long-running task and another one were each taken for the only one that its worker had just started.
test("the runs of a silent worker are lost together, although some of them end earlier", t => {
    const { pool, worker, run, host } = createStartedPool();
    run.fire("accepted", { now: 1 });
    const lasting = assign(worker, [...createJob("k", createStep("web", true)).tasks()][0]);
    lasting.updateIncarnation(1);
    lasting.fire("accepted", { now: 1 });
    worker.updateClock(1_000, 1_000, 1_000);
    worker.extendLeaseToMax(Number.POSITIVE_INFINITY, 1_000);
    worker.onNoAnswer(2_000);
    pool.tick(7_300);
    t.is(lasting.state, "over");
    t.deepEqual(host.lost, []);
    pool.tick(10_500);
    t.is(run.state, "over");
    t.deepEqual(host.lost, ["w0"]);
    t.deepEqual(host.lostRuns, [lasting, run]);
});

test("the runs of a silent worker that end early are not lost if it answers again", t => {
    const { pool, worker, answerWith, host } = createStartedPool();
    const lasting = assign(worker, [...createJob("k", createStep("web", true)).tasks()][0]);
    lasting.updateIncarnation(1);
    lasting.fire("accepted", { now: 1 });
    worker.updateClock(1_000, 1_000, 1_000);
    worker.extendLeaseToMax(Number.POSITIVE_INFINITY, 1_000);
    worker.onNoAnswer(2_000);
    pool.tick(7_300);
    t.is(lasting.state, "over");
    answerWith(8_000, { incarnation: 1, running: [LISTED_RUN], ended: [] });
    pool.tick(10_500);
    t.deepEqual(host.lost, []);
});
