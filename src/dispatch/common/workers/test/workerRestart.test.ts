import test from "ava";
import { WorkerContact } from "../workerContact";
import { ListedEnd, ListedRun, RunList } from "../workerMessages";
import { Run } from "../../runs/run";
import { createPool, startOn } from "./poolFixture";
import { readingOf } from "../../jobs/test/runs";

interface Times {
    readonly sentAt: number;
    readonly now: number;
    /** Reading of the worker's clock, in ms. */
    readonly clockMs?: number;
}

type ListRequest = ReturnType<ReturnType<typeof createPool>["lists"]>[number];

/** @returns A pool with one worker whose listed incarnation is 1, and a function that answers its next list. */
function createRestartingPool() {
    const { pool, lists, host } = createPool(1);
    const [worker] = [...pool.all];
    const request = (now: number) => {
        worker.isListInFlight = false;
        pool.requestListSoon(worker, now);
        pool.tick(now);
        return lists()[0];
    };
    const answer = ({ order }: ListRequest, list: Partial<RunList>, { sentAt, now, clockMs = 10 }: Times) => {
        const base = { worker: worker.entry.id, outcome: "done" as const, clockMs, sentAt };
        pool.handleAnswer(
            { kind: "list-answer", order, list: { incarnation: 2, running: [], ended: [], ...list }, ...base },
            now,
        );
    };
    const answerList = (list: Partial<RunList>, times: Times) => answer(request(times.sentAt), list, times);
    return { pool, worker, host, request, answer, answerList };
}

function startAt(worker: WorkerContact, job: string, now = 0): Run {
    const run = startOn(worker, job, now);
    run.updateIncarnation(1);
    return run;
}

function listedRun({ record }: Run): ListedRun {
    return { task: record.task, run: record.run, checkpoint: "", percent: 10, latencyOrUsage: 0 };
}

function listedEnd({ record }: Run): ListedEnd {
    return { number: 1, task: record.task, run: record.run, end: "done", checkpoint: "" };
}

// A start that was sent to the former life of a worker counted as a crash, though the next one had carried it out.
test("a run that a restarted worker lists as running is not lost with the former incarnation, and goes on", t => {
    for (const event of ["accepted", "unanswered"] as const) {
        const { worker, host, answerList } = createRestartingPool();
        const run = startAt(worker, "a");
        run.fire(event, { now: 50 });
        answerList({ running: [listedRun(run)] }, { sentAt: 100, now: 120 });
        t.deepEqual(host.lost, []);
        t.is(run.state, "running");
        t.is(run.record.incarnation, 2);
    }
});

test("a run that a restarted worker lists as ended is not lost with the former incarnation", t => {
    const { worker, host, answerList } = createRestartingPool();
    const run = startAt(worker, "a");
    run.fire("accepted", { now: 50 });
    answerList({ ended: [listedEnd(run)] }, { sentAt: 100, now: 120 });
    t.deepEqual(host.lost, []);
});

test("a run of the former incarnation that a restarted worker does not list is lost", t => {
    const { worker, host, answerList } = createRestartingPool();
    const run = startAt(worker, "a");
    run.fire("accepted", { now: 50 });
    const other = { ...listedRun(run), run: 2 };
    answerList({ running: [other] }, { sentAt: 100, now: 120 });
    t.deepEqual(host.lostRuns, [run]);
});

// A leader ignored all lists of a worker that had started again after its time of day had jumped back (review/7).
test("a worker that starts again with an earlier start is listed, its runs are lost, and it is used again", t => {
    const { pool, worker, host, answerList } = createRestartingPool();
    answerList({ incarnation: 9 }, { sentAt: 100, now: 120 });
    pool.register(readingOf({ ...worker.entry, incarnation: 9 }), 130);
    const run = startOn(worker, "a");
    run.updateIncarnation(9);
    run.fire("accepted", { now: 150 });
    answerList({ incarnation: 9, running: [listedRun(run)] }, { sentAt: 200, now: 220 });
    answerList({ incarnation: 5 }, { sentAt: 1_000, now: 1_020 });
    t.is(worker.incarnation, 5);
    t.deepEqual(host.lostRuns, [run]);
    t.is(run.state, "over");
    t.false(worker.isUsable(1_030));
    pool.register(readingOf({ ...worker.entry, incarnation: 5 }), 1_100);
    t.true(worker.isUsable(1_100));
});

test("a late list of a former incarnation is ignored, whether that one has started earlier or later by the time of day", t => {
    for (const [former, latest] of [
        [5, 9],
        [9, 5],
    ]) {
        const { worker, host, request, answer, answerList } = createRestartingPool();
        answerList({ incarnation: former }, { sentAt: 100, now: 120 });
        const late = request(900);
        answerList({ incarnation: latest }, { sentAt: 1_000, now: 1_020 });
        const run = startOn(worker, "a");
        run.updateIncarnation(latest);
        run.fire("accepted", { now: 1_030 });
        answer(late, { incarnation: former, ended: [listedEnd(run)] }, { sentAt: 900, now: 1_100 });
        t.is(worker.incarnation, latest);
        t.false(worker.hasKeptEnds);
        t.deepEqual(host.lostRuns, []);
        t.is(run.state, "running");
    }
});

test("an entry of an earlier start that was taken for a late write counts once a list states the same incarnation", t => {
    const { pool, worker, answerList } = createRestartingPool();
    answerList({ incarnation: 9 }, { sentAt: 100, now: 120 });
    pool.register(readingOf({ ...worker.entry, incarnation: 9 }), 130);
    pool.register(readingOf({ ...worker.entry, incarnation: 5, rack: "r5" }), 1_000);
    t.is(worker.entry.incarnation, 9);
    answerList({ incarnation: 5 }, { sentAt: 1_010, now: 1_020 });
    t.is(worker.entry.rack, "r5");
    t.true(worker.isUsable(1_030));
});
