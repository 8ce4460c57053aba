import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../latencyModel";
import { ShortTaskReserve } from "../shortTaskReserve";
import { StepQueue } from "../../waits/stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { WorkerContact } from "../../workers/workerContact";
import { assign, AssigningHost, createJob, createStep, createWorker, place } from "../../jobs/test/runs";

const SERVICE = "svc";
const WORKERS = 20;

/** @returns Workers that answer, each with the same long-running load. */
function createWorkers(longRunningMillis: number): WorkerContact[] {
    return Array.from({ length: WORKERS }, (_, index) => {
        const worker = createWorker(`w${String(index).padStart(2, "0")}`);
        if (longRunningMillis > 0) {
            const request = { cpuMillis: longRunningMillis, memoryMb: 1_000, accelerators: 0 };
            place(worker, `web${index}`, createStep("web", true, { request }));
        }
        return worker;
    });
}

test("the reserve follows the measured demand of short tasks, up to a limit", t => {
    const workers = createWorkers(32_000);
    const reserve = ShortTaskReserve.create();
    reserve.choose(workers, 0);
    t.is(reserve.choose(workers, 60_000).size, 0);
    for (let now = 60_000; now < 90_000; now += 100) {
        reserve.recordDemand(SERVICE, 8_000, 700, now);
    }
    // 80 cores are in use on average, which are three times what one worker has left.
    const chosen = reserve.choose(workers, 90_000).size;
    t.true(chosen >= 2 && chosen <= 4, String(chosen));
    for (let now = 90_000; now < 120_000; now += 100) {
        reserve.recordDemand(SERVICE, 800_000, 700, now);
    }
    t.true(reserve.choose(workers, 120_000).size < WORKERS / 2);
});

// It assumed 0.3 s beyond the estimate, whatever the leader took to start a task and to read its end.
test("the reserve follows the time for which tasks hold their CPU, beyond their estimates", t => {
    const workers = createWorkers(32_000);
    const chosenFor = (heldMs: number) => {
        const reserve = ShortTaskReserve.create();
        for (let now = 0; now < 30_000; now += 100) {
            reserve.recordDemand(SERVICE, 8_000, 700, now);
            reserve.recordHolding(SERVICE, 700, heldMs, now);
        }
        return reserve.choose(workers, 30_000).size;
    };
    // 80 or 160 cores are in use on average; a worker has 32 left.
    t.is(chosenFor(1_000), 3);
    t.true(chosenFor(2_000) >= 4);
    // Estimates that are too long do not make the reserve smaller.
    t.is(chosenFor(200), 3);
});

/**
 * Replays the load pattern: long-running jobs arrive until they hold all CPU that they can get, while short jobs arrive
 * at a steady rate and each holds its CPU for a second.
 * @returns Share of the short tasks that were placed in the pass after their arrival.
 */
function replay(isReserving: boolean): number {
    const workers = createWorkers(0);
    const queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        AssigningHost.create((task, worker) => {
            task.highestRun += 1;
            return assign(worker, task);
        }),
    );
    if (!isReserving) {
        const reserve = { recordReady: () => undefined, recordEnd: () => undefined, choose: () => new Set() };
        (queue as unknown as { reserve: unknown }).reserve = reserve;
    }
    const jobs: ActiveJob[] = [];
    let placed = 0;
    let offered = 0;
    for (let now = 0; now < 60_000; now += 500) {
        const request = { cpuMillis: 16_000, memoryMb: 1_000, accelerators: 0 };
        jobs.push(createJob(`web${now}`, createStep("web", true, { tasks: 4, request })));
        const short = createJob(`short${now}`, createStep("quote", false, { tasks: 3, request, usesSpareCpu: false }));
        jobs.push(short);
        queue.placeWaiting(jobs, workers, 1_000, now, now);
        const tasks = [...short.tasks()];
        offered += tasks.length;
        placed += tasks.filter(task => task.run !== undefined).length;
        for (const worker of workers) {
            for (const [name, run] of worker.runs) {
                if (run.task.step.mode !== "long-running" && now - run.changedAt >= 0 && name !== short.spec.id) {
                    worker.runs.delete(name);
                    run.task.job.markDone(run.task);
                }
            }
        }
    }
    return placed / offered;
}

test("short tasks find room although more long-running tasks wait than fit", t => {
    t.true(replay(false) < 0.5);
    t.true(replay(true) > 0.9);
});

test("a long-running task that ran before may use a reserved worker, a new one may not", t => {
    const workers = createWorkers(60_000);
    const reserved = workers[WORKERS - 1];
    reserved.runs.clear();
    const queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        AssigningHost.create(),
    );
    const job = createJob("web", createStep("web", true));
    const [task] = [...job.tasks()];
    queue.placeWaiting([job], workers, 10, 0, 0);
    t.is(task.run, undefined);
    task.highestRun = 1;
    queue.placeWaiting([job], workers, 10, 0, 0);
    t.is(task.run?.record.worker, reserved.entry.id);
});

test("nothing is reserved on a few workers", t => {
    t.is(ShortTaskReserve.create().choose(createWorkers(0).slice(0, 4), 0).size, 0);
});
