import { Outbox } from "../../../../base/common/outbox";
import { DispatchEffect } from "../../scheduler/dispatchEffects";
import { Run } from "../../runs/run";
import { WorkerContact } from "../workerContact";
import { PoolHost, WorkerPool } from "../workerPool";
import {
    assign,
    AUTHORITY,
    createJob,
    createLeases,
    createStep,
    createWorker,
    LIMITS,
    readingOf,
    report,
} from "../../jobs/test/runs";

/** Records which workers were lost. */
export class RecordingPoolHost extends PoolHost {
    /** Workers that were lost. */
    readonly lost: string[] = [];
    /** Runs that were lost with them. */
    readonly lostRuns: Run[] = [];

    override onEndReported(): void {}
    override onRunList(): void {}
    override onWorkerLost(worker: WorkerContact, runs: readonly Run[]): void {
        this.lost.push(worker.entry.id);
        this.lostRuns.push(...runs);
    }
    override onFenced(): void {}
}

/** @returns A pool whose workers have all answered once. */
export function createPool(workers: number) {
    const outbox = Outbox.create<DispatchEffect>();
    const host = new RecordingPoolHost();
    const pool = WorkerPool.create(AUTHORITY, createLeases().book, LIMITS, host, outbox);
    for (let index = 0; index < workers; index++) {
        pool.register(readingOf(createWorker(`w${index}`).entry), 0);
    }
    const lists = () => outbox.drain().flatMap(effect => (effect.kind === "list" ? [effect] : []));
    const answer = (now: number, incarnation = 1) => {
        for (const { worker, order } of lists()) {
            const list = { incarnation, running: [], ended: [] };
            const base = { worker: worker.id, outcome: "done" as const, clockMs: now, sentAt: now };
            pool.handleAnswer({ kind: "list-answer", order, list, ...base }, now);
        }
    };
    pool.tick(0);
    answer(0);
    return { pool, lists, answer, host };
}

/** @returns A pool with one worker that runs a task and whose ends up to number 5 are stored. */
export function createBusyPool() {
    const { pool, lists } = createPool(1);
    const [worker] = [...pool.all];
    const [task] = [...createJob("j", createStep("batch", false)).tasks()];
    assign(worker, task).fire("accepted", { now: 1 });
    const end = { number: 5, task: "x.0.0.0", run: 1, end: "done" as const, checkpoint: "" };
    worker.processEnd(end);
    worker.markRecorded(5, 1);
    worker.updateKeptEnds([end]);
    report([...worker.runs.values()][0], 0, 1);
    const list = (now: number) => {
        pool.requestListSoon(worker, now);
        pool.tick(now);
        return lists()[0];
    };
    return { pool, worker, list };
}

/** @param now Time in ms. @returns The run of a task that was started on a worker and whose start is not answered. */
export function startOn(worker: WorkerContact, job: string, now = 0): Run {
    const [task] = [...createJob(job, createStep("batch", false)).tasks()];
    return assign(worker, task, now);
}
