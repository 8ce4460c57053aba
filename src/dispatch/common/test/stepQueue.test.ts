import test from "ava";
import { StepSpec } from "../../../jobs/common/jobSpec";
import { QueueTable } from "../../../jobs/common/queueTable";
import { ActiveJob } from "../activeJob";
import { LatencyModel } from "../latencyModel";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../suspectTable";
import { WaitReport } from "../waitReporter";
import { WorkerContact } from "../workerContact";
import { assign, AssigningHost, createJob, createStep, createWorker, place, report, TARGET_MS } from "./runs";

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

function createBestEffort(overrides: Partial<StepSpec>): StepSpec {
    return createStep("batch", false, overrides);
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
    assign(workers[0], [...createJob("b", blocker).tasks()][0]);
    for (let now = 0; now <= 4_000; now += 500) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    const counts = { workers: 3, otherKind: 2, noRoom: 1, noHeadroom: 0, interference: 0, noSpareCpu: 0, ownLimit: 0 };
    t.deepEqual(reports, [{ task: "a.0.0.0", waitedMs: 2_000, oldestEstimateMs: undefined, ...counts }]);
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

/** Interference of which a worker's neighbor can bear about a third. */
const HEAVY_MODEL = [["web", "batch", 12, 0.01]] as const;

/** @returns Workers with a latency-critical task each, which has some headroom. */
function createBusyWorkers(model: LatencyModel, headroom = 1.6): WorkerContact[] {
    const workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    for (const worker of workers) {
        report(place(worker, `web-${worker.entry.id}`, createStep("web", true)), TARGET_MS * (1 / headroom), 500);
        model.update(worker, 500);
    }
    return workers;
}

function createQueue(model: LatencyModel, host = AssigningHost.create()): StepQueue {
    return StepQueue.create(QueueTable.create(), model, SuspectTable.create(), host);
}

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

/** Longest time without any run that a caller can be expected to accept while workers have room, in ms. */
const MAX_IDLE_MS = 10_000;

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
