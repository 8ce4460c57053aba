import test from "ava";
import { WorkerContact } from "../workerContact";
import { WorkerPool } from "../workerPool";
import { Run } from "../../runs/run";
import { createJob, createStep, NoopRunHost } from "../../jobs/test/runs";
import { createBusyPool, createPool, startOn } from "./poolFixture";

/** Lets a worker answer everything but lists for some time. */
function answerStops(pool: WorkerPool, worker: WorkerContact, fromMs: number, untilMs: number): void {
    const order = { task: "x.0.0.0", run: 1, fence: 1 };
    for (let now = fromMs; now < untilMs; now += 100) {
        pool.tick(now);
        const answer = { worker: worker.entry.id, outcome: "done" as const, clockMs: now, sentAt: now - 10 };
        pool.handleAnswer({ kind: "stop-answer", order, ...answer }, now);
    }
}

// A worker stayed reachable while its list waited behind other orders, so its runs were not given up after their lease (review/13).
test("a worker whose lists do not arrive is silent once the lease of its runs is over, whatever else it answers", t => {
    const { pool, worker, list } = createBusyPool();
    const [batch] = [...worker.runs.values()];
    t.true(list(10).order.leaseUntil !== undefined);
    pool.deregister(worker.entry.id);
    answerStops(pool, worker, 100, 5_900);
    t.is(batch.state, "running");
    answerStops(pool, worker, 5_900, 8_000);
    t.is(batch.state, "over");
});

test("a worker without runs that is listed late is not silent", t => {
    const { pool } = createPool(1);
    const [worker] = [...pool.all];
    answerStops(pool, worker, 100, 20_000);
    t.is(worker.state, "reachable");
});

test("a loop that was late for longer than a lease handles the lists that arrived meanwhile before runs are given up", t => {
    const { pool, worker, list } = createBusyPool();
    const { order } = list(10);
    pool.tick(9_000);
    const [batch] = [...worker.runs.values()];
    const runs = { incarnation: 1, running: [], ended: [] };
    const answer = { outcome: "done" as const, clockMs: 20, list: runs, sentAt: 10, receivedAt: 20 };
    t.is(worker.state, "reachable");
    t.is(batch.state, "running");
    pool.handleAnswer({ kind: "list-answer", worker: worker.entry.id, order, ...answer }, 9_010);
    t.is(worker.state, "reachable");
});

// Runs whose ends did not fit into a list were taken for lost and started again, and the ends behind them never confirmed (review/9).
test("a run that is in neither list of a worker with further ends is not given up", t => {
    const { pool, worker, list } = createBusyPool();
    const [batch] = [...worker.runs.values()];
    const end = { number: 5, task: "x.0.0.0", run: 1, end: "done" as const, checkpoint: "" };
    const answer = (now: number, hasMoreEnds: boolean) => {
        const runs = { incarnation: 1, running: [], ended: [end], hasMoreEnds };
        const base = { worker: worker.entry.id, outcome: "done" as const, clockMs: now, sentAt: now - 10 };
        pool.handleAnswer({ kind: "list-answer", order: list(now - 10).order, list: runs, ...base }, now);
    };
    answer(1_000, true);
    t.is(batch.state, "running");
    answer(2_000, false);
    t.is(batch.state, "over");
});

test("the ends in a full list are confirmed beside inherited runs that are not listed, once their starts cannot arrive", t => {
    const { worker, list } = createBusyPool();
    const { record } = startOn(worker, "k");
    const [task] = [...createJob("l", createStep("batch", false)).tasks()];
    worker.runs.delete(record.task);
    worker.runs.set(task.name, Run.inherit(task, { ...record, task: task.name }, new NoopRunHost(), 0));
    t.is(list(10_000).order.recordedUpTo, 0);
    worker.isListInFlight = false;
    worker.recordList(20_500);
    t.is(list(20_500).order.recordedUpTo, 5);
});
