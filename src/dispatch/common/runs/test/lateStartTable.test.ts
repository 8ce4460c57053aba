import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { DispatchEffect } from "../../scheduler/dispatchEffects";
import { PoolHost, WorkerPool } from "../../workers/workerPool";
import { ListedRun, StartOrder } from "../../workers/workerMessages";
import {
    assign,
    AUTHORITY,
    createJob,
    createLeases,
    createStep,
    createWorker,
    LIMITS,
    readingOf,
} from "../../jobs/test/runs";

const TASK = "a.0.0.0";

/** A start that is sent at 0; its lease is a reading of the clock of the first incarnation. */
const START: StartOrder = { task: TASK, run: 1, payload: "", validUntil: 500_000, fence: 1, checkpoint: "" };

class SilentHost extends PoolHost {
    override onEndReported(): void {}
    override onRunList(): void {}
    override onWorkerLost(): void {}
    override onFenced(): void {}
}

/** @returns A pool with one worker, whose start was not answered. */
function createPool() {
    const outbox = Outbox.create<DispatchEffect>();
    const pool = WorkerPool.create(AUTHORITY, createLeases().book, LIMITS, new SilentHost(), outbox);
    const { entry } = createWorker("w1");
    const worker = pool.register(readingOf(entry), 0);
    const base = { worker: "w1", sentAt: 0 };
    /** Answers a list. @returns The stops that follow. */
    const list = (now: number, incarnation: number, running: readonly ListedRun[] = []) => {
        const order = { fence: 1, recordedUpTo: 0, waitMs: 0 };
        const answer = { ...base, sentAt: now, order, outcome: "done" as const, clockMs: now };
        pool.handleAnswer({ kind: "list-answer", ...answer, list: { incarnation, running, ended: [] } }, now);
        return outbox.drain().flatMap(effect => (effect.kind === "stop" ? [effect.order] : []));
    };
    const confirmStop = (now: number) => {
        const order = { task: TASK, run: 1, fence: 1 };
        pool.handleAnswer({ kind: "stop-answer", ...base, order, outcome: "done", clockMs: now }, now);
    };
    const loseStart = (now: number) =>
        pool.handleAnswer(
            { kind: "start-answer", ...base, order: START, outcome: "no-answer", clockMs: undefined },
            now,
        );
    list(0, 1);
    return { pool, worker, list, confirmStop, loseStart };
}

// TWICE: the start arrived late and was carried out beside a later run of its task.
test("a worker that has restarted is told to reject a start of before that was not answered", t => {
    const { list, confirmStop, loseStart } = createPool();
    loseStart(800);
    t.is(list(900, 1).length, 1);
    confirmStop(950);
    t.deepEqual(list(1_000, 1), []);
    t.deepEqual(list(5_000, 2), [{ task: TASK, run: 1, fence: 1 }]);
});

test("a stop that a new incarnation does not confirm is repeated, and one that it confirms is not", t => {
    const { list, confirmStop, loseStart } = createPool();
    loseStart(800);
    t.is(list(900, 2).length, 1);
    t.is(list(1_000, 2).length, 0);
    t.is(list(1_700, 2).length, 1);
    confirmStop(1_710);
    t.is(list(3_000, 2).length, 0);
    t.is(list(4_000, 3).length, 1);
});

test("a start that is carried out in time is not stopped in the next life of its worker", t => {
    const { worker, list, loseStart } = createPool();
    const run = assign(worker, createJob("a", createStep("x", false)).find(TASK)!);
    loseStart(800);
    run.fire("unanswered", { now: 800 });
    const listed = { task: TASK, run: 1, checkpoint: "", percent: 10, latencyOrUsage: 0 };
    t.deepEqual(list(900, 1, [listed]), []);
    worker.runs.clear();
    t.deepEqual(list(5_000, 2), []);
});

test("an old start is not stopped any more", t => {
    const { pool, list, loseStart } = createPool();
    loseStart(800);
    pool.tick(30_000);
    t.deepEqual(list(30_100, 2), []);
});
