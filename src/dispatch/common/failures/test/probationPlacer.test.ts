import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { FailureController, FailureHost } from "../failureController";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../../waits/stepQueue";
import { SuspectTable } from "../suspectTable";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { assign, AssigningHost, createJob, createStep, createWorker, report } from "../../jobs/test/runs";

const PASS_INTERVAL_MS = 20;

/** Interval between the lists of a worker, in ms. */
const LIST_INTERVAL_MS = 500;

/** Time after which a long-running task that has no run breaks the users' rule, in ms. */
const MAX_INTERRUPTION_MS = 6_000;

class NoopHost extends FailureHost {
    override onJobFailed(): void {}
    override onSuspicionChange(): void {}
    override logDecision(): void {}
}

/** Time for which an accepted job may have nothing running while its service has room, in ms. */
const MAX_IDLE_MS = 3_000;

/** Time in ms since the Unix epoch at which the measurements begin. */
const WALL_START_MS = 1_700_000_000_000;

/** @param acceptedAtMs Time in ms since the Unix epoch. @returns A job with a step of tasks of one core. */
function createWideJob(id: string, tasks: number, isLongRunning: boolean, acceptedAtMs?: number): ActiveJob {
    const request = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 };
    const mode = isLongRunning ? "long-running" : "independent";
    return createJob(id, createStep(id, false, { tasks, request, mode, usesSpareCpu: false }), acceptedAtMs);
}

/**
 * Loses a rack of 8 of 33 workers with ten runs each, none of which is proven, and lets the tasks start again. All
 * starts are survived.
 * @returns Time after which all tasks had a run again, in ms.
 */
function measureInterruption(jobs: readonly ActiveJob[]): number {
    const suspects = SuspectTable.create();
    const failures = FailureController.create(QueueTable.create(), suspects, new NoopHost());
    const tasks = jobs.flatMap(job => [...job.tasks()]);
    const lost = Array.from({ length: 8 }, (_, index) => createWorker(`lost${index}`));
    tasks.forEach((task, index) => assign(lost[index % lost.length], task).fire("accepted", { now: 0 }));
    for (const worker of lost) {
        failures.reviewLoss(worker, [...worker.runs.values()], "lease-expired");
        worker.runs.forEach(run => (run.task.run = undefined));
    }
    const workers = Array.from({ length: 25 }, (_, index) => createWorker(`w${index}`));
    const startedAt = new Map<Task, number>();
    let now = 0;
    const host = AssigningHost.create((task, worker) => {
        startedAt.set(task, now);
        return assign(worker, task);
    });
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, host);
    for (; startedAt.size < tasks.length && now < 120_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting(jobs, workers, 1_000, now, WALL_START_MS + now);
        workers.forEach((worker, index) => list(worker, index, now, startedAt, failures));
    }
    return now;
}

function list(
    worker: WorkerContact,
    index: number,
    now: number,
    startedAt: ReadonlyMap<Task, number>,
    failures: FailureController,
): void {
    if ((now + index * PASS_INTERVAL_MS) % LIST_INTERVAL_MS === 0) {
        worker.runs.forEach(run => report(run, 0, now - startedAt.get(run.task)!));
        failures.reviewSurvival(worker);
    }
}

test("after the loss of a rack, all tasks of wide long-running jobs have a run again in time", t => {
    const jobs = Array.from({ length: 4 }, (_, index) => createWideJob(`j${index}`, 20, true));
    const interruptionMs = measureInterruption(jobs);
    t.true(interruptionMs <= MAX_INTERRUPTION_MS, `${interruptionMs} ms`);
});

test("after the loss of a rack, the tasks of many jobs have a run again in time", t => {
    const jobs = Array.from({ length: 80 }, (_, index) => createWideJob(`j${index}`, 1, false));
    const interruptionMs = measureInterruption(jobs);
    t.true(interruptionMs <= MAX_INTERRUPTION_MS, `${interruptionMs} ms`);
});

test("after the loss of a rack, jobs with room for their tasks are without a run only as long as callers accept", t => {
    const jobs = Array.from({ length: 80 }, (_, index) => createWideJob(`j${index}`, 1, false, WALL_START_MS));
    const interruptionMs = measureInterruption(jobs);
    t.true(interruptionMs <= MAX_IDLE_MS, `${interruptionMs} ms`);
});
