import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { Run } from "../../runs/run";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import {
    assign,
    AssigningHost,
    createBestEffort,
    createBusyWorkers,
    createJob,
    createQueue,
    createWorker,
    HEAVY_MODEL,
} from "../../jobs/test/runs";

/** Assigns the tasks of a best-effort job to workers, one each. @returns Its runs, all throttled since the start. */
function assignThrottled(job: ActiveJob, workers: readonly WorkerContact[]): Run[] {
    return [...job.tasks()].map((task, index) => {
        const run = assign(workers[index], task);
        run.fire("accepted", { now: 0 });
        run.setSpeed(5, 0);
        return run;
    });
}

/** Ends the run of a task. */
function end(run: Run, workers: readonly WorkerContact[]): void {
    workers.forEach(worker => worker.runs.delete(run.task.name));
    run.task.run = undefined;
}

/** @returns The worker on which a task has its run, if any. */
function workerOf(task: Task): string | undefined {
    return task.run?.record.worker;
}

test("an idle worker with room for several throttled runs is the destination of one of them at a time", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const jobs = workers.map((worker, index) => {
        const job = createJob(`a${index}`, createBestEffort({ tasks: 1 }));
        assignThrottled(job, [worker]);
        return job;
    });
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const usable = [...workers, createWorker("idle")];
    queue.placeWaiting(jobs, usable, 100, 10_000, 10_000);
    t.is(host.moved.length, 1);
    const [moved] = host.moved;
    moved.fire("stop", { now: 10_000 });
    queue.placeWaiting(jobs, usable, 100, 10_100, 10_100);
    t.is(host.moved.length, 1);
    end(moved, usable);
    queue.placeWaiting(jobs, usable, 100, 10_200, 10_200);
    t.is(workerOf(moved.task), "idle");
    queue.placeWaiting(jobs, usable, 100, 10_300, 10_300);
    t.is(host.moved.length, 2);
});

const WAITING_STEPS: Readonly<Record<string, Partial<StepSpec>>> = {
    task: {},
    "task whose data is on its rack": { dataRack: "r1" },
    gang: { mode: "gang", tasks: 2 },
};
for (const [name, overrides] of Object.entries(WAITING_STEPS)) {
    test(`a worker that is held for a moved task is not given to a waiting best-effort ${name}`, t => {
        const model = LatencyModel.create(HEAVY_MODEL);
        const workers = createBusyWorkers(model);
        const job = createJob("a", createBestEffort({ tasks: 1 }));
        const [run] = assignThrottled(job, workers);
        const host = AssigningHost.create();
        const queue = createQueue(model, host);
        const usable = [...workers, createWorker("idle")];
        queue.placeWaiting([job], usable, 100, 10_000, 10_000);
        t.deepEqual(host.moved, [run]);
        run.fire("stop", { now: 10_000 });
        const waiting = createJob("b", createBestEffort(overrides), 10_100);
        queue.placeWaiting([job, waiting], usable, 100, 10_100, 10_100);
        t.false(waiting.hasRun);
        end(run, usable);
        queue.placeWaiting([job, waiting], usable, 100, 10_200, 10_200);
        t.is(workerOf(run.task), "idle");
        queue.placeWaiting([job, waiting], usable, 100, 10_300, 10_300);
        t.true([...waiting.tasks()].every(task => workerOf(task) === "idle"));
    });
}

test("a throttled gang moves once workers without its members have room for all of them", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const job = createJob("a", createBestEffort({ tasks: 2, mode: "gang", maxPerWorker: 1 }));
    const runs = assignThrottled(job, workers);
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const usable = [...workers, createWorker("idle1")];
    queue.placeWaiting([job], usable, 100, 10_000, 10_000);
    t.deepEqual(host.moved, []);
    usable.push(createWorker("idle2"));
    queue.placeWaiting([job], usable, 100, 10_100, 10_100);
    t.deepEqual(host.moved, runs);
    runs.forEach(run => run.fire("stop", { now: 10_100 }));
    queue.placeWaiting([job], usable, 100, 10_200, 10_200);
    runs.forEach(run => end(run, usable));
    queue.placeWaiting([job], usable, 100, 10_300, 10_300);
    t.deepEqual([...job.tasks()].map(workerOf).sort(), ["idle1", "idle2"]);
});

test("a throttled gang does not move to workers of its own members", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const idle = createWorker("idle");
    const job = createJob("a", createBestEffort({ tasks: 2, mode: "gang" }));
    const runs = assignThrottled(job, [workers[0], idle]);
    runs[1].setSpeed(100, 0);
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    const usable = [...workers, idle];
    queue.placeWaiting([job], usable, 100, 10_000, 10_000);
    t.deepEqual(host.moved, []);
    queue.placeWaiting([job], [...usable, createWorker("other")], 100, 10_100, 10_100);
    t.deepEqual(host.moved, runs);
});

test("idle workers with room for two throttled gangs are the destinations of one of them at a time", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model);
    const jobs = [workers.slice(0, 2), workers.slice(2)].map((own, index) => {
        const job = createJob(`a${index}`, createBestEffort({ tasks: 2, mode: "gang" }));
        assignThrottled(job, own);
        return job;
    });
    const host = AssigningHost.create();
    const queue = createQueue(model, host);
    queue.placeWaiting(jobs, [...workers, createWorker("idle")], 100, 10_000, 10_000);
    t.is(host.moved.length, 2);
    t.is(new Set(host.moved.map(run => run.task.job)).size, 1);
});

test("a throttled run does not move to its own worker", t => {
    const worker = createWorker();
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    const [run] = assignThrottled(job, [worker]);
    const host = AssigningHost.create();
    const queue = createQueue(LatencyModel.create(), host);
    queue.placeWaiting([job], [worker], 100, 10_000, 10_000);
    t.deepEqual(host.moved, []);
    queue.placeWaiting([job], [worker, createWorker("other")], 100, 10_100, 10_100);
    t.deepEqual(host.moved, [run]);
});

test("a gang is as slow as its slowest member: it moves to workers that are faster than that one", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const workers = createBusyWorkers(model, 2);
    const job = createJob("a", createBestEffort({ tasks: 2, mode: "gang", maxPerWorker: 1 }));
    const runs = assignThrottled(job, workers);
    runs[0].setSpeed(0, 0);
    runs[1].setSpeed(60, 0);
    const host = AssigningHost.create();
    createQueue(model, host).placeWaiting([job], workers, 100, 10_000, 10_000);
    t.deepEqual(host.moved, runs);
});
