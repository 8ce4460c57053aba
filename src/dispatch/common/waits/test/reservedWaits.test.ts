import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { TaskSuspicion } from "../../failures/taskSuspicion";
import { WorkerContact } from "../../workers/workerContact";
import { AssigningHost, createJob, createQueue, createStep, createWorker, place, report } from "../../jobs/test/runs";

/** Time without any run after which a task that lasts must be assigned, in ms: callers accept 3 s, of which the leader takes some. */
const MAX_IDLE_MS = 3_000 - 500;

/** Time after which the test gives up, in ms. */
const MAX_WAIT_MS = 8_000;

const PASS_INTERVAL_MS = 100;

/** Time after which the reserve follows the measured demand, in ms. */
const OBSERVATION_MS = 4_000;

/** @returns Ten workers of 64 cores, of which the first eight are full, and the others have this much CPU left, in cores. */
function createWorkers(leftCores: number): WorkerContact[] {
    return Array.from({ length: 10 }, (_, index) => {
        const worker = createWorker(`w${index}`);
        const usedCores = index < 8 ? 64 : 64 - leftCores;
        const request = { cpuMillis: usedCores * 1_000, memoryMb: 1_000, accelerators: 0 };
        if (usedCores > 0) {
            place(worker, `l${index}`, createStep("l", true, { request }));
        }
        return worker;
    });
}

/** @returns A job of short tasks whose demand reserves two of ten workers; it can run on none of them. */
function createUrgentJob(): ActiveJob {
    const request = { cpuMillis: 64_000, memoryMb: 1_000, accelerators: 0 };
    const demand = { tasks: 20, estimateMs: 10_000, usesSpareCpu: false, requiredLabel: "other" };
    return createJob("urgent", createStep("urgent", false, { ...demand, request }));
}

/** @returns Time until a new task of 8 cores that lasts is assigned, in ms; infinite if it is not. */
function waitBesideReserve(leftCores: number): number {
    const queue = createQueue(LatencyModel.create());
    const workers = createWorkers(leftCores);
    const urgent = createUrgentJob();
    for (let now = 0; now < OBSERVATION_MS; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([urgent], workers, 100, now, now);
    }
    const job = createJob("lasting", createStep("lasting", true), OBSERVATION_MS);
    for (let now = OBSERVATION_MS; now <= OBSERVATION_MS + MAX_WAIT_MS; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([urgent, job], workers, 100, now, now);
        if (job.hasRun) {
            return now - OBSERVATION_MS;
        }
    }
    return Number.POSITIVE_INFINITY;
}

test("a task that lasts does not wait for long beside workers that are reserved for short tasks and have room for two", t => {
    const waitedMs = waitBesideReserve(64);
    t.true(waitedMs > 0 && waitedMs <= MAX_IDLE_MS, String(waitedMs));
});

test("a new task that lasts leaves a reserved worker without room for two to short tasks", t => {
    t.is(waitBesideReserve(12), Number.POSITIVE_INFINITY);
});

/** Interval at which a short task ends on a worker, in ms. */
const SHORT_END_INTERVAL_MS = 500;

/**
 * @param hasRun Whether the task that lasts ran before.
 * @param isSuspected Whether a worker was lost under it and others.
 * @returns Time until a task of 13 cores that lasts is assigned, in ms, on workers with two short tasks of 8 cores each, which end one
 * after the other while others wait; infinite if it is not.
 */
function waitBehindShortTasks(hasRun: boolean, isSuspected = false): number {
    const suspects = SuspectTable.create();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    const workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    const lasting = { cpuMillis: 48_000, memoryMb: 1_000, accelerators: 0 };
    workers.forEach((worker, index) => place(worker, `l${index}`, createStep("l", true, { request: lasting })));
    const arriving = createJob("short", createStep("short", false, { usesSpareCpu: false, tasks: 400 }));
    const request = { cpuMillis: 13_000, memoryMb: 1_000, accelerators: 0 };
    const job = createJob("lasting", createStep("lasting", true, { request }));
    const task = job.find("lasting.0.0.0")!;
    task.highestRun = hasRun ? 1 : 0;
    task.suspicion = isSuspected ? TaskSuspicion.create("suspected") : undefined;
    suspects.update(task);
    queue.placeWaiting([arriving], workers, 100, 0, 0);
    for (let now = 0; now <= MAX_WAIT_MS; now += PASS_INTERVAL_MS) {
        workers.forEach(worker => worker.runs.forEach(run => report(run, 8_000, now)));
        queue.placeWaiting([arriving, job], workers, 100, now, now);
        if (job.hasRun) {
            return now;
        }
        if (now % SHORT_END_INTERVAL_MS === 0) {
            workers.forEach(endOldestShortRun);
        }
    }
    return Number.POSITIVE_INFINITY;
}

function endOldestShortRun(worker: WorkerContact): void {
    const run = [...worker.runs.values()].find(({ task }) => task.step.mode !== "long-running");
    if (run !== undefined) {
        worker.runs.delete(run.task.name);
        run.task.run = undefined;
        run.task.job.markDone(run.task);
    }
}

// Short tasks took each gap that was too small for it.
test("a task that lasts and has lost its worker does not wait for long behind short tasks that need less", t => {
    const waitedMs = waitBehindShortTasks(true);
    t.true(waitedMs <= MAX_IDLE_MS + 2 * SHORT_END_INTERVAL_MS, String(waitedMs));
});

// LOST: only tasks that are not suspected kept room, while short tasks took each gap.
test("a task that lasts and is suspected since its worker was lost does not wait longer behind short tasks", t => {
    const waitedMs = waitBehindShortTasks(true, true);
    t.true(waitedMs <= MAX_IDLE_MS + 2 * SHORT_END_INTERVAL_MS, String(waitedMs));
});

test("a task that lasts and never ran leaves the CPU that short tasks release to them", t => {
    t.is(waitBehindShortTasks(false), Number.POSITIVE_INFINITY);
});
