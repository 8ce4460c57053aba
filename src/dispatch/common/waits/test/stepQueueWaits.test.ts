import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { ObjectiveOrder } from "../objectiveOrder";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import {
    AssigningHost,
    assign,
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

/**
 * Time without any run after which a run must be assigned while workers have room, in ms: callers accept 3 s, of which a leader
 * that is late may take half a second.
 */
const MAX_IDLE_MS = 3_000 - 500;

const PASS_INTERVAL_MS = 100;

/** Runs passes until a job has a run. @returns Time from the first pass in ms, or `undefined` if it has none after 20 s. */
function waitForRun(
    queue: StepQueue,
    job: ActiveJob,
    workers: readonly WorkerContact[],
    from = 0,
    others: readonly ActiveJob[] = [],
): number | undefined {
    for (let now = from; now <= from + 20_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([...others, job], workers, 100, now, now);
        if (job.hasRun) {
            return now - from;
        }
    }
    return undefined;
}

/** Ends the run of a task as done. */
function finish(task: Task, workers: readonly WorkerContact[]): void {
    workers.forEach(worker => worker.runs.delete(task.name));
    task.run = undefined;
    task.job.markDone(task);
}

// Each task of a job waited for full speed again.
test("a best-effort job whose tasks run one after the other does not wait for long between two of them", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    let now = 0;
    for (let ended = 0; ended < 6; ended++) {
        const waitedMs = waitForRun(queue, job, workers, now);
        t.true(waitedMs !== undefined && waitedMs <= MAX_IDLE_MS, `task ${ended} waited ${waitedMs} ms`);
        now += waitedMs ?? 0;
        const task = [...job.tasks()].find(each => each.run !== undefined)!;
        report(task.run!, 0, now + 1_000);
        queue.placeWaiting([job], workers, 100, now + 1_000, now + 1_000);
        finish(task, workers);
        now += 1_100;
    }
});

// Each leader let all jobs wait for full speed again.
test("a new leader does not let a best-effort job wait again that was accepted long ago", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    queue.placeWaiting([job], workers, 100, 0, 60_000);
    t.true(job.hasRun);
});

const OTHERWISE_CLOSED: Readonly<Record<string, Partial<StepSpec>>> = {
    "more than half of its memory is in use": { request: { cpuMillis: 1_000, memoryMb: 150_000, accelerators: 0 } },
    "its spare CPU is less than a quarter of what the task requests": {
        request: { cpuMillis: 54_000, memoryMb: 1_000, accelerators: 0 },
    },
};

// The bound held only on workers with half of their memory and a quarter of the requested CPU to spare.
for (const [name, overrides] of Object.entries(OTHERWISE_CLOSED)) {
    test(`a best-effort job is not left without a run where it fits on one worker only, and ${name}`, t => {
        const model = LatencyModel.create(HEAVY_MODEL);
        const workers = createBusyWorkers(model);
        place(workers[0], "b", createStep("other", false, { ...overrides, usesSpareCpu: false }));
        const request = { cpuMillis: 56_000, memoryMb: 60_000, accelerators: 0 };
        const job = createJob("a", createBestEffort({ request, requiredLabel: "big" }));
        const big = createWorker("big", { labels: ["big"] });
        place(big, "web-big", createStep("web", true));
        place(big, "c", createStep("other", false, { ...overrides, usesSpareCpu: false }));
        const waitedMs = waitForRun(createQueue(model), job, [...workers, big]);
        t.true(waitedMs !== undefined && waitedMs <= MAX_IDLE_MS, `waited ${waitedMs} ms`);
    });
}

// Jobs that cannot be in time any more came last, for as long as others arrived.
test("a job that has long been without a run goes before those that arrive", t => {
    const workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    const queue = createQueue(LatencyModel.create());
    const late = createJob("late", createStep("batch", false, { usesSpareCpu: false, estimateMs: 1_000_000 }));
    let waitedMs: number | undefined;
    for (let now = 0; now <= 20_000 && waitedMs === undefined; now += PASS_INTERVAL_MS) {
        const arriving = createJob(`c${now}`, createStep("short", false, { usesSpareCpu: false, estimateMs: 10 }));
        queue.placeWaiting([late, arriving], workers, 1, now, 0);
        workers.forEach(worker => [...arriving.tasks()].forEach(task => worker.runs.delete(task.name)));
        waitedMs = late.hasRun ? now : undefined;
    }
    t.true(waitedMs !== undefined && waitedMs <= MAX_IDLE_MS, `waited ${waitedMs} ms`);
});

// The start on a worker that cannot be reached held up all other tasks of its job.
test("a job whose only run is not confirmed by its worker does not wait for it with its other tasks", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const unreachable = createWorker("unreachable");
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 2 }));
    const [first, second] = [...job.tasks()];
    assign(unreachable, first).fire("unanswered", { now: 0 });
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
        at = second.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at <= MAX_IDLE_MS, `waited ${at} ms`);
});

test("one task of a job without a run is placed below full speed, the others wait for full speed", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    for (let now = 0; now <= 10_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
        [...job.tasks()].forEach(task => task.run !== undefined && report(task.run, 0, now));
    }
    t.is([...job.tasks()].filter(task => task.run !== undefined).length, 1);
});

/** How late a leader may handle each event while jobs still have a run in time, in ms. */
const LATE_LEADER_MS = 2_000;

// The wait for full speed began anew with each task of a step.
test("a job has used up its wait for full speed after one task, and a late leader starts the next ones in time", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    let now = waitForRun(queue, job, workers)!;
    for (let ended = 1; ended < 6; ended++) {
        const task = [...job.tasks()].find(each => each.run !== undefined)!;
        report(task.run!, 0, now + 1_000);
        queue.placeWaiting([job], workers, 100, now + 1_000, now + 1_000);
        finish(task, workers);
        now += 1_100;
        const waitedMs = waitForRun(queue, job, workers, now);
        t.true(waitedMs !== undefined && waitedMs <= 3_000 - LATE_LEADER_MS, `task ${ended} waited ${waitedMs} ms`);
        now += waitedMs ?? 0;
    }
});

/** Adds a run that it has reported to each worker, so that these shares of its CPU and its memory are in use. */
function occupy(workers: readonly WorkerContact[], cpuRatio: number, memoryRatio: number, now = 0): void {
    for (const worker of workers) {
        const { capacity } = worker.entry;
        const free = worker.freeCapacity();
        const request = {
            cpuMillis: free.cpuMillis - capacity.cpuMillis * (1 - cpuRatio),
            memoryMb: free.memoryMb - capacity.memoryMb * (1 - memoryRatio),
            accelerators: 0,
        };
        const step = createStep("other", false, { usesSpareCpu: false, request });
        report(place(worker, `o-${worker.entry.id}`, step), 0, now);
    }
}

function vacate(workers: readonly WorkerContact[]): void {
    workers.forEach(worker => worker.runs.delete(`o-${worker.entry.id}.0.0.0`));
}

// The leader counted a service as full from 55% of any resource on, and no bound held.
for (const [name, cpuRatio, memoryRatio] of [
    ["memory", 0.3, 0.57],
    ["CPU", 0.57, 0.3],
] as const) {
    test(`a job is not left without a run while ${name} is just over half in use, and the rest is not`, t => {
        const model = LatencyModel.create(HEAVY_MODEL);
        const workers = createBusyWorkers(model, 0.9);
        occupy(workers, cpuRatio, memoryRatio);
        const waitedMs = waitForRun(createQueue(model), createJob("a", createBestEffort({ tasks: 6 })), workers);
        t.true(waitedMs !== undefined && waitedMs <= MAX_IDLE_MS, `waited ${waitedMs} ms`);
    });
}

// The wait began anew each time that the leader saw the service over its threshold for a second.
test("a job is not left without a run while the use of its service crosses the half again and again", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 6 }));
    let waitedMs: number | undefined;
    for (let now = 0; now <= 20_000 && waitedMs === undefined; now += PASS_INTERVAL_MS) {
        vacate(workers);
        const isOverHalf = now % 3_000 >= 1_500;
        occupy(workers, isOverHalf ? 0.53 : 0.4, isOverHalf ? 0.57 : 0.45, now);
        queue.placeWaiting([job], workers, 100, now, now);
        waitedMs = job.hasRun ? now : undefined;
    }
    t.true(waitedMs !== undefined && waitedMs <= MAX_IDLE_MS, `waited ${waitedMs} ms`);
});

// The wait counted from the time at which the service had room, although callers had waited before.
test("a job that has waited while its service was full has a run as soon as there is room", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    occupy(workers, 0.9, 0.9);
    const queue = createQueue(model);
    const job = createJob(
        "a",
        createBestEffort({ tasks: 6, request: { cpuMillis: 8_000, memoryMb: 30_000, accelerators: 0 } }),
    );
    for (let now = 0; now < 10_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    t.false(job.hasRun);
    vacate(workers);
    const waitedMs = waitForRun(queue, job, workers, 10_000);
    t.true(waitedMs !== undefined && waitedMs <= 3_000 - LATE_LEADER_MS, `waited ${waitedMs} ms`);
});

// A run counted as at work for 4 s after its last report, and the wait began only then.
test("a job whose only run is not reported any more has another one within the time that callers accept", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 0.9);
    const silent = createWorker("silent");
    const queue = createQueue(model);
    const job = createJob("a", createBestEffort({ tasks: 2 }));
    const [first, second] = [...job.tasks()];
    report(assign(silent, first), 0, 0);
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
        at = second.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at <= MAX_IDLE_MS, `waited ${at} ms`);
});

// Starts of other tasks that were in flight kept it from starting.
test("a job that has to have a run starts although as many starts are in flight as the leader keeps up with", t => {
    const workers = [createWorker()];
    const queue = createQueue(LatencyModel.create());
    const jobs = ["a", "b"].map(id => createJob(id, createBestEffort({ tasks: 2 })));
    for (let now = 0; now < 2_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting(jobs, workers, 0, now, now);
        t.false(
            jobs.some(job => job.hasRun),
            `after ${now} ms`,
        );
    }
    queue.placeWaiting(jobs, workers, 0, 2_400, 2_400);
    t.true(jobs.every(job => [...job.tasks()].filter(task => task.run !== undefined).length === 1));
});

// Passes of a late leader are up to a second apart.
test("a pass is requested for when a job has to have a run", t => {
    const host = AssigningHost.create();
    const queue = createQueue(LatencyModel.create(), host);
    const job = createJob("a", createBestEffort({ requiredLabel: "none" }));
    queue.placeWaiting([job], [createWorker()], 100, 0, 0);
    queue.placeWaiting([job], [createWorker()], 100, 1_000, 1_000);
    t.deepEqual(host.requestedPasses, [2_300, 2_300]);
});

/** How much later than the jobs accept a leader is, in ms. */
const LATE_MS = 1_400;

/** @returns A queue of a leader that is late. */
function createLateQueue(): StepQueue {
    const pace = { delayMs: LATE_MS, startMs: 900 };
    const host = AssigningHost.create();
    return StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        host,
        ObjectiveOrder.create(),
        pace,
    );
}

/** @returns Jobs of six tasks, each with a run that its worker has just reported. */
function createRunningJobs(count: number, workers: readonly WorkerContact[], now: number): ActiveJob[] {
    return Array.from({ length: count }, (_, index) => {
        const job = createJob(`running-${index}`, createBestEffort({ tasks: 6, estimateMs: 1_000 }));
        report(assign(workers[index % workers.length], [...job.tasks()][0], now), 0, now);
        return job;
    });
}

function countRuns(job: ActiveJob): number {
    return job.runsLike(() => true).length;
}

// Their second runs went beyond the limit with each pass, and a late leader became later.
test("further runs of jobs that have one are started within the limit on starts, the first ones of others beyond it", t => {
    const workers = Array.from({ length: 8 }, (_, index) => createWorker(`w${index}`));
    const queue = createLateQueue();
    const running = createRunningJobs(12, workers, 5_000);
    const idle = createJob("idle", createBestEffort({ tasks: 6 }));
    queue.placeWaiting([...running, idle], workers, -20, 5_000, 5_000);
    t.deepEqual(running.map(countRuns), Array(12).fill(1));
    t.is(countRuns(idle), 1);
});

test("of jobs that need further runs under a late leader, those with the fewest runs get them first", t => {
    const workers = Array.from({ length: 8 }, (_, index) => createWorker(`w${index}`));
    const queue = createLateQueue();
    const running = createRunningJobs(4, workers, 5_000);
    running.slice(0, 3).forEach((job, index) => report(assign(workers[index], [...job.tasks()][1], 5_000), 0, 5_000));
    queue.placeWaiting(running, workers, 1, 5_000, 5_000);
    t.deepEqual(running.map(countRuns), [2, 2, 2, 2]);
});
