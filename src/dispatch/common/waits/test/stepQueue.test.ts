import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { TaskSuspicion } from "../../failures/taskSuspicion";
import { WaitReport } from "../waitReporter";
import { WorkerContact } from "../../workers/workerContact";
import {
    assign,
    AssigningHost,
    createBestEffort,
    createBusyWorkers,
    createJob,
    createQueue,
    createStep,
    createWorker,
    HEAVY_MODEL,
    place,
    report,
} from "../../jobs/test/runs";

/** Places the waiting tasks of two jobs in one pass. @returns Number of tasks of the second job that are placed. */
function placeBehind(first: ActiveJob, second: ActiveJob, workers: readonly WorkerContact[]): number {
    const queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        AssigningHost.create(),
    );
    queue.placeWaiting([first, second], workers, 100, 0, 0);
    return [...second.tasks()].filter(task => task.run !== undefined).length;
}

/** @returns Workers of which one has the label `fast`. */
function createWorkers(): WorkerContact[] {
    return [createWorker("w1", { labels: ["fast"] }), createWorker("w2"), createWorker("w3")];
}

// Each guards against best-effort tasks that wait in every pass, with most of the capacity free, behind another task of
// their image that has to wait for a reason of its own.
test("a best-effort task does not wait behind one whose step has reached its limit per worker", t => {
    const limited = createJob("a", createBestEffort({ tasks: 4, maxPerWorker: 1 }));
    const other = createJob("b", createBestEffort({ tasks: 5 }));
    t.is(placeBehind(limited, other, createWorkers()), 5);
});

test("a best-effort task does not wait behind one whose label no worker has", t => {
    const labelled = createJob("a", createBestEffort({ requiredLabel: "slow" }));
    const other = createJob("b", createBestEffort({ tasks: 2 }));
    t.is(placeBehind(labelled, other, createWorkers()), 2);
});

test("a best-effort task does not wait behind one for which no worker has enough memory", t => {
    const request = { cpuMillis: 8_000, memoryMb: 300_000, accelerators: 0 };
    const large = createJob("a", createBestEffort({ request }));
    const other = createJob("b", createBestEffort({ tasks: 2 }));
    t.is(placeBehind(large, other, createWorkers()), 2);
});

test("a best-effort task waits when a smaller one of its image found no suitable worker", t => {
    const request = { cpuMillis: 40_000, memoryMb: 1_000, accelerators: 0 };
    const first = createJob("a", createBestEffort({ tasks: 7, request }));
    const second = createJob("b", createBestEffort({ tasks: 8, request: { ...request, cpuMillis: 50_000 } }));
    t.is(placeBehind(first, second, createWorkers()), 0);
});

test("a job that waits with nothing running is reported with what is in the way on each worker", t => {
    const queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        AssigningHost.create(),
    );
    const reports: WaitReport[] = [];
    queue.onDidWait(report => reports.push(report));
    const request = { cpuMillis: 60_000, memoryMb: 1_000, accelerators: 0 };
    const job = createJob("a", createStep("batch", false, { request, usesSpareCpu: false, requiredLabel: "fast" }));
    const workers = createWorkers();
    const blocker = createStep("other", false, { usesSpareCpu: false });
    report(assign(workers[0], [...createJob("b", blocker).tasks()][0]), 0, 0);
    for (let now = 0; now <= 4_000; now += 500) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    const counts = { workers: 3, otherKind: 2, noRoom: 1, noHeadroom: 0, interference: 0, noSpareCpu: 0, ownLimit: 0 };
    const conditions = { boundMs: 2_300, cpuUsedPercent: 4, memoryUsedPercent: 0, memoryIdlePercent: 0 };
    const waiting = { waitedMs: 2_000, waiting: 1, oldestEstimateMs: undefined };
    t.deepEqual(reports, [{ task: "a.0.0.0", ...waiting, ...conditions, ...counts }]);
});

test("each of many waiting jobs is reported about every five seconds", t => {
    const queue = createQueue(LatencyModel.create());
    const reports: WaitReport[] = [];
    queue.onDidWait(report => reports.push(report));
    const step = createStep("batch", false, { usesSpareCpu: false, requiredLabel: "none" });
    const jobs = Array.from({ length: 100 }, (_, index) => createJob(`j${index}`, step));
    for (let now = 0; now <= 7_500; now += 500) {
        queue.placeWaiting(jobs, createWorkers(), 100, now, now);
    }
    t.is(new Set(reports.map(report => report.task)).size, jobs.length);
});

/** Runs passes until a task of the job has a run. @returns Time in ms, or `undefined` if none has one after 20 s. */
function timeOfFirstRun(queue: StepQueue, job: ActiveJob, workers: readonly WorkerContact[]): number | undefined {
    for (let now = 0; now <= 20_000; now += 100) {
        queue.placeWaiting([job], workers, 100, now, now);
        if (job.hasRun) {
            return now;
        }
    }
    return undefined;
}

/**
 * Time without any run after which a run must be assigned while workers have room, in ms: callers accept 3 s, of which a leader
 * that is late may take half a second.
 */
const MAX_IDLE_MS = 3_000 - 500;

test("a best-effort job whose image interferes strongly on all workers is not left without a run", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    const at = timeOfFirstRun(createQueue(model), job, workers);
    t.true(at !== undefined && at <= MAX_IDLE_MS);
    const started = [...job.tasks()].flatMap(task => task.run ?? []);
    t.is(started.length, 1);
    t.true(started[0].speedPercent > 10 && started[0].speedPercent < 60);
});

test("a best-effort job is not left without a run while the latency-critical tasks have no headroom themselves", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    const at = timeOfFirstRun(createQueue(model), job, workers);
    t.true(at !== undefined && at <= MAX_IDLE_MS);
    t.is([...job.tasks()].find(task => task.run !== undefined)?.run?.speedPercent, 0);
});

test("a best-effort gang whose image interferes strongly on all workers is not left without a run", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 3, mode: "gang", maxPerWorker: 1 }));
    const at = timeOfFirstRun(createQueue(model), job, workers);
    t.true(at !== undefined && at <= MAX_IDLE_MS);
    t.true([...job.tasks()].every(task => task.run !== undefined));
});

test("a best-effort job waits for full speed at first, and on workers whose CPU is all reserved in any case", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const request = { cpuMillis: 56_000, memoryMb: 1_000, accelerators: 0 };
    const reserved = createStep("other", false, { request, usesSpareCpu: false });
    const blockers = workers.map(worker => place(worker, `b-${worker.entry.id}`, reserved));
    const job = createJob("a", createBestEffort({ request: { ...request, cpuMillis: 20_000 } }));
    const queue = createQueue(model);
    t.is(timeOfFirstRun(queue, job, workers), undefined);
    workers.forEach((worker, index) => worker.runs.delete(blockers[index].task.name));
    const other = createJob("d", createBestEffort({ tasks: 6 }));
    t.true(timeOfFirstRun(queue, other, workers)! >= 2_000);
});

test("a best-effort job is not left without a run because others use all spare CPU", t => {
    const model = LatencyModel.create();
    const workers = [createWorker("w1"), createWorker("w2")];
    const first = createJob("a", createBestEffort({ tasks: 16 }));
    const queue = createQueue(model);
    queue.placeWaiting([first], workers, 100, 0, 0);
    t.is([...first.tasks()].filter(task => task.run !== undefined).length, 16);
    const second = createJob("b", createBestEffort({ tasks: 2 }));
    const at = timeOfFirstRun(queue, second, workers);
    t.true(at !== undefined && at <= MAX_IDLE_MS);
});

test("a run that makes no progress is moved to a worker on which it runs at half speed", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 2);
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    const run = assign(workers[0], [...job.tasks()][0]);
    run.fire("accepted", { now: 0 });
    run.setSpeed(0, 0);
    const host = AssigningHost.create();
    createQueue(model, host).placeWaiting([job], workers, 100, 2_000, 2_000);
    t.deepEqual(host.moved, [run]);
});

test("a throttled run is moved only if another worker offers its task a higher speed", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    const [task] = [...job.tasks()];
    const run = assign(workers[0], task);
    run.fire("accepted", { now: 0 });
    run.setSpeed(5, 0);
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const runPasses = (from: number) => {
        for (let now = from; now < from + 10_000; now += 100) {
            queue.placeWaiting([job], workers, 100, now, now);
        }
    };
    runPasses(0);
    t.deepEqual(host.moved, []);
    workers.push(createWorker("idle"));
    queue.placeWaiting([job], workers, 100, 10_000, 10_000);
    t.deepEqual(host.moved, [run]);
});

/** A latency-critical step that needs a quarter of a worker's memory. */
function createServing(overrides: Partial<StepSpec> = {}): StepSpec {
    const request = { cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0 };
    return createStep("web", true, { request, ...overrides });
}

test("best-effort runs that are stopped by the lack of headroom do not keep latency-critical tasks out of the memory", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const request = { cpuMillis: 8_000, memoryMb: 24_000, accelerators: 0 };
    const batch = Array.from({ length: 60 }, (_, index) => createJob(`b${index}`, createBestEffort({ request })));
    const queue = createQueue(model);
    for (let now = 0; now <= 20_000; now += 100) {
        queue.placeWaiting(batch, workers, 100, now, now);
    }
    const idleRuns = batch.flatMap(job => [...job.tasks()].flatMap(task => task.run ?? []));
    t.log(`${idleRuns.length} best-effort runs, speeds ${[...new Set(idleRuns.map(run => run.speedPercent))].join()}`);
    const serving = createJob("s", createServing());
    t.not(timeOfFirstRun(queue, serving, workers), undefined);
});

test("a latency-critical task is not left without a worker because idle workers with its label are kept for short tasks", t => {
    const workers = Array.from({ length: 10 }, (_, index) => createWorker(`w${index}`));
    workers.push(createWorker("x1", { labels: ["fast"] }), createWorker("x2", { labels: ["fast"] }));
    const model = LatencyModel.create();
    workers.slice(0, 10).forEach(worker => place(worker, `l-${worker.entry.id}`, createServing()));
    const queue = createQueue(model);
    const serving = createJob("s", createServing({ requiredLabel: "fast" }));
    const short = createStep("short", false, { usesSpareCpu: false, tasks: 16, estimateMs: 1_000 });
    let at: number | undefined;
    for (let now = 0; now <= 60_000 && at === undefined; now += 100) {
        const arriving = now % 1_000 === 0 ? [createJob(`c${now}`, short)] : [];
        queue.placeWaiting(now < 10_000 ? arriving : [serving, ...arriving], workers, 100, now, now);
        // Short tasks end before the next pass.
        arriving.forEach(job =>
            [...job.tasks()].forEach(task => workers.forEach(worker => worker.runs.delete(task.name))),
        );
        at = serving.hasRun ? now : undefined;
    }
    t.not(at, undefined);
});

test("a best-effort job is not left without a run because a worker rejects its starts", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const rejecting = createWorker("rejecting");
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 20 }));
    let starts = 0;
    let accepted = 0;
    for (let now = 0; now <= 60_000 && accepted === 0; now += 100) {
        const usable = now % 1_000 === 0 ? [...workers, rejecting] : workers;
        queue.placeWaiting([job], usable, 100, now, now);
        accepted = [...job.tasks()].filter(task => task.run !== undefined && !rejecting.runs.has(task.name)).length;
        if (now % 1_000 === 100) {
            // The answers to the starts of the pass before: the worker is unhealthy, and gets no tasks for a second.
            for (const { task } of [...rejecting.runs.values()]) {
                rejecting.runs.delete(task.name);
                task.run = undefined;
                starts += 1;
            }
        }
    }
    t.log(`${starts} starts rejected`);
    t.not(accepted, 0);
});

test("a job of one task waits for full speed again after it has had a run", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const idle = createWorker("idle");
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    const [task] = [...job.tasks()];
    const queue = createQueue(model);
    queue.placeWaiting([job], workers, 100, 0, 0);
    queue.placeWaiting([job], [...workers, idle], 100, 100, 100);
    t.is(task.run?.record.worker, "idle");
    report(task.run!, 8_000, 30_000);
    queue.placeWaiting([job], workers, 100, 30_000, 30_000);
    idle.runs.delete(task.name);
    task.run = undefined;
    queue.placeWaiting([job], workers, 100, 30_100, 30_100);
    t.is(task.run, undefined);
});

test("a throttled run is not stopped for a worker that a waiting task takes before it can start there", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const request = { cpuMillis: 60_000, memoryMb: 200_000, accelerators: 0 };
    const job = createJob("a", createBestEffort({ tasks: 1, request: { ...request, memoryMb: 100_000 } }));
    const [task] = [...job.tasks()];
    const run = assign(workers[0], task);
    run.fire("accepted", { now: 0 });
    run.setSpeed(5, 0);
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const other = createJob("b", createBestEffort({ tasks: 1, request }));
    const idle = createWorker("idle");
    const usable = [...workers, idle];
    queue.placeWaiting([job, other], usable, 100, 10_000, 0);
    t.deepEqual(host.moved, [run]);
    // The stop takes some passes.
    run.fire("stop", { now: 10_000 });
    queue.placeWaiting([job, other], usable, 100, 10_100, 100);
    workers[0].runs.delete(task.name);
    task.run = undefined;
    queue.placeWaiting([job, other], usable, 100, 10_200, 200);
    t.is((task.run as { record: { worker: string } } | undefined)?.record.worker, "idle");
});

test("a best-effort gang is not left without a run because its tasks failed on all workers", t => {
    const workers = [createWorker("w1"), createWorker("w2")];
    const job = createJob("a", createBestEffort({ tasks: 2, mode: "gang" }));
    [...job.tasks()][0].failedOn.add("w1").add("w2");
    t.not(timeOfFirstRun(createQueue(LatencyModel.create()), job, workers), undefined);
});

// GANG: after the loss of a worker, the members were started with different checkpoints and ended alone, again and again.
for (const isSuspected of [false, true]) {
    test(`the members of a gang start with one checkpoint after one was lost, ${isSuspected ? "suspected" : "not suspected"}`, t => {
        const workers = ["w1", "w2", "w3"].map(id => createWorker(id));
        const job = createJob(
            "a",
            createStep("x", false, { tasks: 3, mode: "gang", maxPerWorker: 1, usesSpareCpu: false }),
        );
        const [lost, other, late] = [...job.tasks()];
        lost.checkpoint = "before";
        lost.lossesInARow = 1;
        other.checkpoint = "after";
        late.checkpoint = "";
        const suspects = SuspectTable.create();
        if (isSuspected) {
            lost.suspicion = TaskSuspicion.create("suspected");
            suspects.update(lost);
        }
        const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
        queue.placeWaiting([job], workers, 100, 0, 0);
        t.deepEqual(
            [lost, other, late].map(task => [task.run !== undefined, task.checkpoint]),
            Array.from({ length: 3 }, () => [true, "after"]),
        );
    });
}

test("each task of a best-effort long-running step gets a run, not only the first", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 3, mode: "long-running" }));
    const queue = createQueue(model);
    for (let now = 0; now <= 60_000; now += 100) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    t.is([...job.tasks()].filter(task => task.run !== undefined).length, 3);
});

test("a latency-critical task is not left without a worker while only workers that are kept for short tasks have room", t => {
    const workers = Array.from({ length: 10 }, (_, index) => createWorker(`w${index}`));
    const request = { cpuMillis: 8_000, memoryMb: 200_000, accelerators: 0 };
    workers.slice(0, 8).forEach(worker => place(worker, `l-${worker.entry.id}`, createServing({ request })));
    const queue = createQueue(LatencyModel.create());
    const short = createStep("short", false, { usesSpareCpu: false, tasks: 16, estimateMs: 1_000 });
    const serving = createJob("s", createServing());
    let at: number | undefined;
    for (let now = 0; now <= 60_000 && at === undefined; now += 100) {
        const arriving = now % 1_000 === 0 ? [createJob(`c${now}`, short)] : [];
        queue.placeWaiting(now < 10_000 ? arriving : [serving, ...arriving], workers, 100, now, now);
        // Short tasks end before the next pass.
        arriving.forEach(job =>
            [...job.tasks()].forEach(task => workers.forEach(worker => worker.runs.delete(task.name))),
        );
        at = serving.hasRun ? now : undefined;
    }
    t.not(at, undefined);
});

test("one idle worker does not make several throttled runs stop while the first of them is still stopping", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const request = { cpuMillis: 40_000, memoryMb: 200_000, accelerators: 0 };
    const jobs = workers.map((worker, index) => {
        const job = createJob(`a${index}`, createBestEffort({ tasks: 1, request }));
        const run = assign(worker, [...job.tasks()][0]);
        run.fire("accepted", { now: 0 });
        run.setSpeed(5, 0);
        return job;
    });
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const usable = [...workers, createWorker("idle")];
    for (let now = 10_000; now <= 10_300; now += 100) {
        queue.placeWaiting(jobs, usable, 100, now, now);
        host.moved.forEach(run => !run.isEnding && run.fire("stop", { now }));
    }
    t.is(host.moved.length, 1);
});

test("a suspected best-effort task is not left without a run while its image interferes strongly on all workers", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    const [task] = [...job.tasks()];
    const suspects = SuspectTable.create();
    task.suspicion = TaskSuspicion.create("suspected");
    suspects.update(task);
    const queue = StepQueue.create(QueueTable.create(), model, suspects, AssigningHost.create());
    const at = timeOfFirstRun(queue, job, workers);
    t.true(at !== undefined && at > 1_000 && at <= MAX_IDLE_MS);
    t.true(task.run!.speedPercent > 10 && task.run!.speedPercent < 60);
});
