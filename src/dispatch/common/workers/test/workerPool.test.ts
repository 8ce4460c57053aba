import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { MAX_CLOCK_DRIFT_RATIO } from "../../../../coordination/common/duration";
import { decodeProgress, encodeProgress } from "../../../../jobs/common/jobRecord";
import { ActiveJob } from "../../jobs/activeJob";
import { DispatchEffect } from "../../scheduler/dispatchEffects";
import { TaskSuspicion } from "../../failures/taskSuspicion";
import { Run } from "../../runs/run";
import { WorkerPool } from "../workerPool";
import { createBusyPool, createPool, RecordingPoolHost, startOn } from "./poolFixture";
import {
    assign,
    createJob,
    createLeases,
    createStep,
    createWorker,
    LIMITS,
    NoopRunHost,
    place,
    readingOf,
    report,
    AUTHORITY,
} from "../../jobs/test/runs";

/** Time (ms) at which the next list of a worker is due, however many workers there are. */
const LATER_MS = 5_000;

test("the number of starts in flight is limited, and accepted starts no longer count", t => {
    const { pool } = createPool(40);
    const maxStarts = pool.remainingStarts();
    const runs = [...pool.all].slice(0, 30).map((worker, index) => {
        const [task] = [...createJob(`j${index}`, createStep("batch", false)).tasks()];
        return assign(worker, task);
    });
    t.is(pool.remainingStarts(), maxStarts - 30);
    runs.slice(0, 10).forEach(run => run.fire("accepted", { now: 1 }));
    t.is(pool.remainingStarts(), maxStarts - 20);
});

test("list requests are held longer with many workers", t => {
    const waitOf = (workers: number) => {
        const { pool, lists } = createPool(workers);
        const [first] = [...pool.all];
        const [task] = [...createJob("j", createStep("batch", false)).tasks()];
        assign(first, task).fire("accepted", { now: 1 });
        pool.requestListSoon(first, LATER_MS);
        pool.tick(LATER_MS);
        return lists()[0].order.waitMs;
    };
    t.true(waitOf(300) > waitOf(40));
    t.true(waitOf(2_000) < 2_000);
});

test("list requests are held longer while the loop is late, but not where reports decide on speeds", t => {
    const waitOf = (delayMs: number, images: readonly string[]) => {
        const { pool, lists } = createPool(33);
        const [worker] = [...pool.all];
        images.forEach(image => place(worker, image, createStep(image, image === "web")).fire("accepted", { now: 1 }));
        pool.reviewPace(delayMs, 150, LATER_MS);
        pool.requestListSoon(worker, LATER_MS);
        pool.tick(LATER_MS);
        return lists()[0].order.waitMs;
    };
    t.deepEqual(
        [0, 50, 100, 300].map(delayMs => waitOf(delayMs, ["batch"])),
        [500, 700, 900, 1_200],
    );
    t.is(waitOf(300, ["web"]), 1_200);
    t.is(waitOf(300, ["web", "batch"]), 500);
});

test("lists that are requested early are spaced in proportion to the number of workers", t => {
    const { pool, lists } = createPool(400);
    const [first] = [...pool.all];
    pool.requestListSoon(first, 50);
    pool.tick(50);
    t.deepEqual(lists(), []);
    pool.tick(250);
    t.deepEqual(
        lists().map(({ worker }) => worker.id),
        ["w0"],
    );
});

test("a list request to a silent worker confirms no ends, since the worker may have restarted", t => {
    const { pool, list } = createBusyPool();
    const { worker, order } = list(10);
    t.is(order.recordedUpTo, 5);
    const noAnswer = { outcome: "no-answer" as const, clockMs: undefined, list: undefined, sentAt: 10 };
    pool.handleAnswer({ kind: "list-answer", worker: worker.id, order, ...noAnswer }, 1_500);
    t.is(list(2_000).order.recordedUpTo, 0);
});

test("ends are confirmed only to a worker whose latest list has ends", t => {
    const { pool, list } = createBusyPool();
    const { worker, order } = list(10);
    t.is(order.recordedUpTo, 5);
    const emptyList = { incarnation: 1, running: [], ended: [] };
    const answer = { outcome: "done" as const, clockMs: 20, list: emptyList, sentAt: 10 };
    pool.handleAnswer({ kind: "list-answer", worker: worker.id, order, ...answer }, 20);
    t.is(list(50).order.recordedUpTo, 0);
});

test("ends are not confirmed while a start is accepted by an unknown incarnation, and are once it is listed", t => {
    const { worker, list } = createBusyPool();
    const run = startOn(worker, "k");
    run.fire("accepted", { now: 5 });
    t.is(list(10).order.recordedUpTo, 0);
    report(run, 0, 20);
    worker.isListInFlight = false;
    const { order } = list(30);
    t.is(order.recordedUpTo, 5);
    t.is(order.waitMs, 0);
    t.deepEqual(order.unansweredStarts, []);
});

test("ends are confirmed beside a start whose answer shows the listed incarnation", t => {
    const { worker, list } = createBusyPool();
    const run = startOn(worker, "k");
    run.isStartProven = true;
    run.fire("accepted", { now: 5 });
    t.is(list(10).order.recordedUpTo, 5);
});

test("ends are not confirmed while a start that was not answered may reach a new incarnation", t => {
    const { worker, list } = createBusyPool();
    startOn(worker, "k").fire("unanswered", { now: 5 });
    t.is(list(10).order.recordedUpTo, 0);
});

test("starts neither delay the confirmation of ends nor make their worker unusable, however many there are", t => {
    const { worker, list } = createBusyPool();
    for (let index = 0; index < 20; index++) {
        const now = 100 + index * 500;
        const run = startOn(worker, `k${index}`);
        const { order } = list(now);
        t.is(order.recordedUpTo, 5);
        t.deepEqual(order.unansweredStarts, [`${run.task.name}/1`]);
        t.true(worker.isUsable(now));
        worker.isListInFlight = false;
        report(run, 0, now);
    }
});

test("a worker that keeps too many ends gets no more starts", t => {
    const { worker } = createBusyPool();
    const ends = Array.from({ length: 250 }, (_, index) => {
        return { number: 6 + index, task: "x.0.0.0", run: 1, end: "done" as const, checkpoint: "" };
    });
    worker.updateKeptEnds(ends.slice(1));
    t.true(worker.isUsable(10));
    worker.updateKeptEnds(ends);
    t.false(worker.isUsable(10));
});

test("a start can prove the incarnation only of a worker whose clock shows more than that of a later one could", t => {
    const { worker } = createBusyPool();
    worker.updateClock(9_900, 9_900, 9_900);
    t.is(worker.provingClockMs(9_900), undefined);
    worker.updateClock(10_100, 10_100, 10_100);
    t.is(worker.provingClockMs(10_100), 10_100);
    t.is(worker.provingClockMs(10_200), Math.floor(10_100 + 100 * (1 - MAX_CLOCK_DRIFT_RATIO)));
});

test("a busy worker whose ends are confirmed one after the other stays usable", t => {
    const { worker } = createBusyPool();
    const end = (number: number) => ({ number, task: "x.0.0.0", run: 1, end: "done" as const, checkpoint: "" });
    for (let number = 6; number < 16; number++) {
        worker.processEnd(end(number));
        worker.markRecorded(number, 1);
        worker.updateKeptEnds([end(number)]);
        t.true(worker.isUsable(number * 1_000 + 500));
    }
});

test("a worker that has restarted is listed when its entry is read, and not when the list in flight is given up", t => {
    const { pool, worker, list } = createBusyPool();
    const { order } = list(10);
    pool.register(readingOf({ ...worker.entry, incarnation: 2 }), 50);
    t.false(worker.isUsable(50));
    const listed = list(60);
    const runs = { incarnation: 2, running: [], ended: [] };
    const answer = { outcome: "done" as const, clockMs: 30, list: runs, sentAt: 60 };
    pool.handleAnswer({ kind: "list-answer", worker: worker.entry.id, order: listed.order, ...answer }, 80);
    t.true(worker.isUsable(80));
    const lost = { outcome: "no-answer" as const, clockMs: undefined, list: undefined, sentAt: 10 };
    pool.handleAnswer({ kind: "list-answer", worker: worker.entry.id, order, ...lost }, 900);
    t.is(worker.state, "reachable");
    t.true(worker.isUsable(900));
});

test("a delayed answer does not count as a restart of the worker", t => {
    const { worker } = createBusyPool();
    worker.updateClock(10_000, 10_000, 10_000);
    worker.updateClock(10_100, 10_050, 12_000);
    t.is(worker.recordedUpTo, 5);
    worker.updateClock(300, 12_100, 12_200);
    t.is(worker.recordedUpTo, 0);
});

test("runs of a silent registered worker get a grace period after lease expiry, long-running ones do not", t => {
    const { pool, worker } = createBusyPool();
    const longRunning = assign(worker, [...createJob("k", createStep("web", true)).tasks()][0]);
    longRunning.fire("accepted", { now: 1 });
    const [batch] = [...worker.runs.values()];
    worker.updateClock(1_000, 1_000, 1_000);
    worker.extendLeaseToMax(Number.POSITIVE_INFINITY, 1_000);
    worker.onNoAnswer(2_000);
    pool.tick(7_300);
    t.is(longRunning.state, "over");
    t.is(batch.state, "running");
    pool.tick(10_500);
    t.is(batch.state, "over");
});

test("runs of a silent deregistered worker are given up when the lease expires", t => {
    const { pool, worker } = createBusyPool();
    const [batch] = [...worker.runs.values()];
    worker.updateClock(1_000, 1_000, 1_000);
    worker.extendLeaseToMax(Number.POSITIVE_INFINITY, 1_000);
    worker.onNoAnswer(2_000);
    pool.deregister(worker.entry.id);
    pool.tick(7_300);
    t.is(batch.state, "over");
});

test("a worker that goes silent after its first answer may still hold a lease from an earlier leader", t => {
    const { pool, worker } = createBusyPool();
    const longRunning = assign(worker, [...createJob("k", createStep("web", true)).tasks()][0]);
    worker.onNoAnswer(500);
    pool.tick(3_000);
    t.not(longRunning.state, "over");
    pool.tick(6_500);
    t.is(longRunning.state, "over");
});

test("a worker answers when it has survived the start of a suspected task, not only when a run ends", t => {
    const waitOf = (suspicion: TaskSuspicion | undefined) => {
        const { pool, lists } = createPool(1);
        const [worker] = [...pool.all];
        const [task] = [...createJob("j", createStep("batch", false)).tasks()];
        task.suspicion = suspicion;
        task.lossAgeMs = 143;
        assign(worker, task).fire("accepted", { now: 1 });
        pool.requestListSoon(worker, 400);
        pool.tick(400);
        return lists()[0].order.waitMs;
    };
    t.is(waitOf(undefined), 500);
    t.is(waitOf(TaskSuspicion.create("accused")), 500 + 143 - 400);
});

test("a worker that is draining, deregistered or silent gets no tasks", t => {
    const { pool, worker } = createBusyPool();
    t.true(worker.isUsable(10));
    pool.register(readingOf({ ...worker.entry, state: "draining", drainLeftMs: 2_500 }), 10);
    t.false(worker.isUsable(10));
    pool.register(readingOf({ ...worker.entry, state: "ready" }), 10);
    t.true(worker.isUsable(10));
    pool.deregister(worker.entry.id);
    t.false(worker.isUsable(10));
    pool.register(readingOf(worker.entry), 10);
    worker.onNoAnswer(20);
    t.false(worker.isUsable(20));
});

test("a worker that drains leaves when its earliest entry says, also after one that announced a week", t => {
    const { pool, worker } = createBusyPool();
    const drain = (drainLeftMs: number, now: number) =>
        pool.register(readingOf({ ...worker.entry, state: "draining", drainLeftMs }), now);
    drain(604_800_000, 10);
    drain(2_500, 1_000);
    t.is(worker.leavesAt, 3_500);
    drain(2_500, 1_400);
    t.is(worker.leavesAt, 3_500);
});

// Two leaders counted the same crash against a task whose start was not answered: its job was shown as failed.
test("the loss of a worker that has restarted is counted once, also if the leader changes before its runs end", t => {
    const [former, successor] = [createPool(1), createPool(1)];
    const task = createJob("j", createStep("batch", false)).find("j.0.0.0")!;
    const [lost] = [...former.pool.all];
    const run = assign(lost, task);
    run.fire("unanswered", { now: 1 });
    former.pool.tick(LATER_MS);
    former.answer(LATER_MS, 7);
    t.deepEqual(former.host.lost, ["w0"]);
    t.not(task.run, undefined);

    const [worker] = [...successor.pool.all];
    const inherited = Run.create(task, run.record, new NoopRunHost(), 0);
    inherited.fire("inherit", { now: 0 });
    worker.runs.set(task.name, inherited);
    successor.pool.tick(LATER_MS);
    successor.answer(LATER_MS, 7);
    t.deepEqual(successor.host.lost, []);
    successor.pool.tick(2 * LATER_MS);
    successor.answer(2 * LATER_MS, 9);
    t.deepEqual(successor.host.lost, ["w0"]);
});

// One leader counted the restart of a worker under a start that was not answered, the next one the expiry of its lease.
test("the loss of a run by a restart is not counted again by a leader under which the lease of its worker expires", t => {
    const former = createPool(1);
    const task = createJob("j", createStep("batch", false)).find("j.0.0.0")!;
    const [lost] = [...former.pool.all];
    const run = assign(lost, task);
    run.fire("unanswered", { now: 1 });
    former.pool.tick(LATER_MS);
    former.answer(LATER_MS, 7);
    t.deepEqual(former.host.lost, ["w0"]);

    const progress = decodeProgress(encodeProgress(task.job.progress(1)))!;
    const restored = ActiveJob.create(task.job.spec, 0, progress).find(task.name)!;
    const successor = createPool(1);
    const [worker] = [...successor.pool.all];
    const inherited = Run.inherit(restored, progress.runs![0], new NoopRunHost(), 0);
    worker.runs.set(task.name, inherited);
    worker.onNoAnswer(500);
    successor.pool.tick(10_500);
    t.is(inherited.state, "over");
    t.deepEqual(successor.host.lost, []);
    t.is(restored.lastRun, 0);
});

test("each stop that is not confirmed is sent again after 0.8 s, whenever it was ordered", t => {
    const { pool } = createPool(1);
    const [worker] = [...pool.all];
    const ordered = new Map<Run, number>();
    const runs = [0, 300, 350, 1_900].map(at => {
        const run = assign(worker, [...createJob(`j${at}`, createStep("batch", false)).tasks()][0]);
        run.fire("accepted", { now: 0 });
        return { at, run };
    });
    const retries: string[] = [];
    for (let now = 0; now <= 3_000; now += 25) {
        for (const { at, run } of runs) {
            if (at === now) {
                run.fire("stop", { now });
                ordered.set(run, now);
            }
        }
        pool.tick(now);
        for (const { at, run } of runs) {
            if (run.state === "stopping" && run.changedAt !== ordered.get(run)) {
                ordered.set(run, run.changedAt);
                retries.push(`${at}: ${now - at}`);
            }
        }
    }
    t.deepEqual(retries.sort(), [
        "0: 1650",
        "0: 2475",
        "0: 825",
        "1900: 825",
        "300: 1650",
        "300: 2475",
        "300: 825",
        "350: 1650",
        "350: 2475",
        "350: 825",
    ]);
});

test("the first lists of a new leader are spread, those of workers with inherited runs first", t => {
    const outbox = Outbox.create<DispatchEffect>();
    const pool = WorkerPool.create(AUTHORITY, createLeases().book, LIMITS, new RecordingPoolHost(), outbox);
    for (let index = 0; index < 200; index++) {
        pool.register(readingOf(createWorker(`w${index}`).entry), 0);
    }
    const [task] = [...createJob("j", createStep("batch", false)).tasks()];
    assign(pool.find("w199")!, task);
    pool.spreadFirstLists();
    // Entries that are read meanwhile do not hasten the lists.
    pool.register(readingOf(createWorker("w150").entry), 1_000);
    const listedBy = (now: number) => {
        pool.tick(now);
        return outbox.drain().flatMap(effect => (effect.kind === "list" ? [effect.worker.id] : []));
    };
    const first = listedBy(1_000);
    t.true(first.includes("w199"));
    t.is(first.length, 25);
    // A loop that is late does not request all others at once.
    t.is(listedBy(2_000).length, 25);
    const others = [1, 2, 3, 4, 5, 6].flatMap(tick => listedBy(2_000 + tick * 25));
    t.is(new Set([...first, ...others]).size, 175);
});
