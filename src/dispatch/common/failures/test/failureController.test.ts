import test from "ava";
import { decodeProgress, encodeProgress } from "../../../../jobs/common/jobRecord";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { FailureController } from "../failureController";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../../waits/stepQueue";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { AssigningHost, createWorker, report } from "../../jobs/test/runs";
import { createController, createTask, inherit, lose, measureLosses, start, SURVIVED_MS } from "./failures";

test("a task that crashes its workers is given up after three that had started nothing else", t => {
    const { host, failures } = createController();
    const task = createTask("a");
    const neighbor = createTask("b");
    const first = createWorker("w1");
    start(first, neighbor, 0);
    start(first, task, 0);
    lose(failures, first);
    t.is(task.suspicion?.state, "suspected");
    for (const id of ["w2", "w3", "w4"]) {
        t.deepEqual(host.failedJobs, []);
        const worker = createWorker(id);
        start(worker, task, 0);
        lose(failures, worker);
    }
    t.deepEqual(host.failedJobs, [task.job]);
    t.is(task.job.state, "failed");
    t.is(neighbor.job.state, "queued");
});

test("a task that only shared a worker with the guilty one is cleared when a worker survives its start", t => {
    const { host, suspects, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    for (const id of ["w1", "w2", "w3", "w4"]) {
        const worker = createWorker(id);
        start(worker, task, 0);
        start(worker, neighbor, 0);
        lose(failures, worker);
    }
    t.true(suspects.has(neighbor));
    const worker = createWorker("w5");
    report(start(worker, neighbor, 0), 0, SURVIVED_MS);
    failures.reviewSurvival(worker);
    t.false(suspects.has(neighbor));
    t.is(neighbor.suspicion?.state, "cleared");
    t.deepEqual(host.failedJobs, []);
});

/** Starts tasks side by side on a worker and loses it. */
function loseTogether(failures: FailureController, worker: WorkerContact, tasks: readonly Task[]): void {
    tasks.forEach(task => start(worker, task, 0));
    lose(failures, worker);
}

/** Starts a task on a worker, which survives it. */
function survive(failures: FailureController, worker: WorkerContact, task: Task): void {
    report(start(worker, task, 0), 0, SURVIVED_MS);
    failures.reviewSurvival(worker);
}

test("the guilty one of two tasks crashes no worker more for having shared the first one", t => {
    const { host, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    loseTogether(failures, createWorker("w1"), [task, neighbor]);
    survive(failures, createWorker("w2"), neighbor);
    t.is(task.suspicion?.state, "accused");
    loseTogether(failures, createWorker("w3"), [task]);
    loseTogether(failures, createWorker("w4"), [task]);
    t.deepEqual(host.failedJobs, [task.job]);
});

test("tasks that are done leave the last one of a lost worker accused", t => {
    const { failures } = createController();
    const [task, ...neighbors] = ["a", "b", "c"].map(createTask);
    loseTogether(failures, createWorker("w1"), [task, ...neighbors]);
    failures.recordSuccess(neighbors[0]);
    t.is(task.suspicion?.state, "suspected");
    failures.recordSuccess(neighbors[1]);
    t.is(task.suspicion?.state, "accused");
});

test("tasks whose only loss an accused task explains start among others again", t => {
    const { suspects, failures } = createController();
    const [task, explained, other, guilty, last] = ["a", "b", "c", "d", "e"].map(createTask);
    loseTogether(failures, createWorker("w1"), [task, explained, other]);
    loseTogether(failures, createWorker("w2"), [guilty, last]);
    loseTogether(failures, createWorker("w3"), [other, guilty]);
    t.true(suspects.has(explained) && suspects.has(other));
    loseTogether(failures, createWorker("w4"), [task]);
    t.false(suspects.has(explained));
    t.true(suspects.has(other));
});

test("no task is accused of the loss of a worker that may only have been out of reach", t => {
    const { failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    const worker = createWorker("w1");
    [task, neighbor].forEach(each => start(worker, each, 0));
    failures.reviewLoss(worker, [...worker.runs.values()], "lease-expired");
    failures.recordSuccess(neighbor);
    t.is(task.suspicion?.state, "suspected");
});

test("runs whose start the worker has survived are not suspected beside one that has just started", t => {
    const { suspects, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    const worker = createWorker("w1");
    report(start(worker, neighbor, 0), 0, SURVIVED_MS);
    start(worker, task, SURVIVED_MS);
    lose(failures, worker);
    t.is(task.suspicion?.state, "accused");
    t.false(suspects.has(neighbor));
});

test("a task that crashes its workers some time after the start is given up, too", t => {
    const { host, failures } = createController();
    const task = createTask("a");
    for (let loss = 0; loss < 5 && host.failedJobs.length === 0; loss++) {
        const worker = createWorker(`w${loss}`);
        if (task.suspicion?.recorded === undefined) {
            start(worker, createTask(`n${loss}`), 900);
        }
        report(start(worker, task, 0), 0, 1_000);
        failures.reviewSurvival(worker);
        lose(failures, worker);
    }
    t.deepEqual(host.failedJobs, [task.job]);
});

/** Starts a task beside others whose starts the worker has survived, reports it at an age and loses the worker. */
function loseAt(failures: FailureController, worker: WorkerContact, task: Task, ageMs: number): void {
    const run = start(worker, task, 0);
    report(run, 0, ageMs);
    failures.reviewSurvival(worker);
    lose(failures, worker);
}

test("a task that crashes its workers after some seconds is given up, also by a new leader", t => {
    const { host, failures } = createController();
    let task = createTask("a");
    for (let loss = 1; loss <= 5; loss++) {
        t.deepEqual(host.failedJobs, []);
        loseAt(failures, createWorker(`w${loss}`), task, 5_000);
        const progress = decodeProgress(encodeProgress(task.job.progress(1)))!;
        if (loss < 5) {
            task = ActiveJob.create(task.job.spec, 0, progress).find(task.name)!;
        }
    }
    t.deepEqual(host.failedJobs, [task.job]);
});

test("a task is not given up for losses of workers between which it worked for long or reported a failure", t => {
    const { host, failures } = createController();
    const [task, failing] = [createTask("a"), createTask("b")];
    for (let loss = 1; loss <= 8; loss++) {
        const worker = createWorker(`w${loss}`);
        loseAt(failures, worker, task, loss % 3 === 0 ? 20_000 : 5_000);
        loseAt(failures, worker, failing, 5_000);
        if (loss === 4) {
            failures.recordFailure(failing, 9, worker);
        }
    }
    t.deepEqual(host.failedJobs, []);
    t.is(failing.lossesInARow, 4);
});

test("a task that lost four workers with others at work has the next one for itself", t => {
    const { host, suspects, failures } = createController();
    const task = createTask("a");
    const workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    const place = (tasks: readonly Task[], now: number) =>
        queue.placeWaiting(
            tasks.map(each => each.job),
            workers,
            100,
            now,
            now,
        );
    for (let loss = 1; loss <= 4; loss++) {
        loseAt(failures, createWorker(`l${loss}`), task, 5_000);
    }
    t.is(task.lossesInARow, 4);
    // Each worker has a run whose start it has survived.
    const others = workers.map((worker, index) => {
        const other = createTask(`b${index}`);
        report(start(worker, other, 0), 0, 20_000);
        return other;
    });
    place([task], 20_000);
    t.is(task.run, undefined);
    workers.forEach((worker, index) => worker.runs.delete(others[index].name));
    place([task], 20_500);
    const worker = workers.find(each => each.runs.has(task.name))!;
    report(task.run!, 0, 25_500);
    failures.reviewSurvival(worker);
    place(
        Array.from({ length: 30 }, (_, index) => createTask(`c${index}`)),
        25_500,
    );
    t.is(worker.runs.size, 1);
    report(task.run!, 0, 31_500);
    failures.reviewSurvival(worker);
    place(
        Array.from({ length: 30 }, (_, index) => createTask(`d${index}`)),
        31_500,
    );
    t.true(worker.runs.size > 1);
    t.deepEqual(host.failedJobs, []);
});

test("a task on its last attempt starts beside runs that last, also under a new leader", t => {
    const { suspects, failures } = createController();
    const former = createTask("a");
    for (let loss = 1; loss <= 4; loss++) {
        loseAt(failures, createWorker(`l${loss}`), former, 5_000);
    }
    const progress = decodeProgress(encodeProgress(former.job.progress(1)))!;
    const task = ActiveJob.create(former.job.spec, 0, progress).find(former.name)!;
    suspects.update(task);
    t.true(suspects.startsApart(task));
    const worker = createWorker("w1");
    report(start(worker, createTask("b"), 0), 0, 20_000);
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    for (let now = 20_000; now <= 22_500; now += 500) {
        t.is(task.run, undefined);
        queue.placeWaiting([task.job], [worker], 100, now, now);
    }
    t.not(task.run, undefined);
});

/** Loses workers that had just started only this task, until its job has ended. @returns Their number. */
function loseAlone(failures: FailureController, task: Task, max: number): number {
    let losses = 0;
    while (losses < max && task.job.state !== "failed") {
        losses += 1;
        const worker = createWorker(`${task.name}-${losses}`);
        start(worker, task, 0);
        lose(failures, worker);
    }
    return losses;
}

test("a task that crashes its workers is given up after two while hardly any worker is lost otherwise", t => {
    const { host, failures } = createController();
    measureLosses(failures, 30, 5);
    t.is(loseAlone(failures, createTask("a"), 5), 2);
    t.is(host.failedJobs.length, 1);
});

// Three workers in a row were lost under a task by coincidence, and its job was shown as failed.
test("a task is given up only after five losses in a row while each worker is lost every few seconds", t => {
    const { host, failures } = createController();
    measureLosses(failures, 6, 80);
    const task = createTask("a");
    t.is(loseAlone(failures, task, 6), 5);
    t.deepEqual(host.failedJobs, [task.job]);
});

/** Loses a worker on which one run is survived up to an age (ms) and another task has just been started. */
function loseBeside(failures: FailureController, survived: Task, ageMs: number, started: Task): void {
    const worker = createWorker(`${survived.name}-${started.name}`);
    report(start(worker, survived, 0), 0, ageMs);
    failures.reviewSurvival(worker);
    start(worker, started, ageMs);
    lose(failures, worker);
}

// Two of the five losses in a row under a task were crashes under tasks that had been accused before.
test("a task is not given up for losses of workers under tasks that were accused before", t => {
    const { host, failures } = createController();
    measureLosses(failures, 6, 80);
    const task = createTask("a");
    const guilty = ["b", "c"].map(createTask);
    guilty.forEach(each => loseAlone(failures, each, 2));
    for (const ageMs of [600, 1_200, 1_800]) {
        loseAt(failures, createWorker(`w${ageMs}`), task, ageMs);
    }
    guilty.forEach((each, index) => loseBeside(failures, task, 2_400 + index * SURVIVED_MS, each));
    t.deepEqual(host.failedJobs, []);
    t.is(task.lossesInARow, 4);
    loseAt(failures, createWorker("w4"), task, 1_000);
    t.deepEqual(host.failedJobs, [task.job]);
});

// A task that crashes its workers after some seconds would otherwise be started more often than the limit allows.
test("one loss that another task was wrongly accused of counts", t => {
    const { host, failures } = createController();
    measureLosses(failures, 6, 80);
    const [task, neighbor] = [createTask("a"), createTask("b")];
    loseAlone(failures, neighbor, 2);
    for (let loss = 1; loss <= 4; loss++) {
        loseAt(failures, createWorker(`w${loss}`), task, 3_500);
    }
    loseBeside(failures, task, 3_500, neighbor);
    t.deepEqual(host.failedJobs, [task.job]);
});

test("the evidence against a task is kept over a change of leader", t => {
    const { host, failures } = createController();
    const task = createTask("a");
    const worker = createWorker("w1");
    for (const state of ["accused", "accused-again"] as const) {
        start(worker, task, 0);
        lose(failures, worker);
        t.is(task.suspicion?.state, state);
    }
    const progress = decodeProgress(encodeProgress(task.job.progress(1)))!;
    const successor = ActiveJob.create(task.job.spec, 0, progress).find(task.name)!;
    t.is(successor.suspicion?.state, "accused-again");
    start(worker, successor, 0);
    lose(failures, worker);
    t.deepEqual(host.failedJobs, [successor.job]);
});

test("a loss is attributed to an accused task rather than to others that had just been started", t => {
    const { suspects, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    const [first, second] = [createWorker("w1"), createWorker("w2")];
    start(first, task, 0);
    lose(failures, first);
    start(second, task, 0);
    start(second, neighbor, 0);
    lose(failures, second);
    t.is(task.suspicion?.state, "accused-again");
    t.false(suspects.has(neighbor));
});

test("a new leader does not suspect the inherited runs of a worker that was lost with the former leader", t => {
    const { suspects, failures } = createController();
    const worker = createWorker("w1");
    const tasks = ["a", "b"].map(createTask);
    tasks.forEach(task => inherit(worker, task));
    report(tasks[0].run!, 0, 100);
    lose(failures, worker);
    t.true(suspects.isEmpty);
    t.deepEqual(
        tasks.map(task => task.lossesInARow),
        [1, 1],
    );
});

test("a suspected task that crashes its workers is given up although the leader changes after each crash", t => {
    const { host, failures } = createController();
    let task = createTask("a");
    const first = createWorker("w0");
    start(first, task, 0);
    start(first, createTask("n0"), 0);
    lose(failures, first);
    for (const state of ["accused", "accused-again", "convicted"]) {
        t.deepEqual(host.failedJobs, []);
        const progress = decodeProgress(encodeProgress(task.job.progress(1)))!;
        task = ActiveJob.create(task.job.spec, 0, progress).find(task.name)!;
        const worker = createWorker(`w-${state}`);
        inherit(worker, task);
        inherit(worker, createTask(`n-${state}`));
        lose(failures, worker);
        t.is(task.suspicion?.state, state as never);
    }
    t.deepEqual(host.failedJobs, [task.job]);
});

test("a task that only shared a worker with the guilty one is cleared by a new leader", t => {
    const { suspects, failures } = createController();
    const neighbor = createTask("b");
    const lost = createWorker("w1");
    start(lost, createTask("a"), 0);
    start(lost, neighbor, 0);
    lose(failures, lost);
    const progress = decodeProgress(encodeProgress(neighbor.job.progress(1)))!;
    const job = ActiveJob.create(neighbor.job.spec, 0, progress);
    const successor = job.find(neighbor.name)!;
    suspects.update(successor);
    t.true(suspects.has(successor));
    const worker = createWorker("w2");
    const run = start(worker, successor, 0);
    report(run, 0, SURVIVED_MS);
    failures.reviewSurvival(worker);
    t.false(suspects.has(successor));
    t.is(successor.suspicion?.state, "cleared");
    report(run, 0, 20_000);
    failures.reviewSurvival(worker);
    t.is(decodeProgress(encodeProgress(job.progress(2)))?.tasks?.[0]?.lossesInARow ?? 0, 0);
});

test("evidence is recorded in the form that the version before reads", t => {
    const { failures } = createController();
    const task = createTask("a");
    loseAlone(failures, task, 2);
    const [, , , , tasks] = JSON.parse(encodeProgress(task.job.progress(1))) as unknown[];
    t.deepEqual(tasks, [["a.0.0.0", 0, "", 0, "accused-again", 2]]);
});

test("progress that was recorded without evidence can be read", t => {
    const recorded = JSON.stringify([1, "running", {}, [], [["a.0.0.0", 1, "", 2]]]);
    t.deepEqual(decodeProgress(recorded)?.tasks, [
        { task: "a.0.0.0", failures: 1, checkpoint: "", lastRun: 2, suspicion: undefined, lossesInARow: 0 },
    ]);
});

test("a suspected task starts alone on its worker, and no other task follows until it is cleared", t => {
    const { suspects, failures } = createController();
    const tasks = Array.from({ length: 6 }, (_, index) => createTask(`t${index}`));
    const lost = createWorker("lost");
    tasks.slice(0, 2).forEach(task => start(lost, task, 0));
    lose(failures, lost);
    const workers = Array.from({ length: 8 }, (_, index) => createWorker(`w${index}`));
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    const jobs = tasks.map(task => task.job);
    queue.placeWaiting(jobs, workers, 100, 0, 0);
    const workerOf = (task: Task) => workers.find(worker => worker.runs.has(task.name))!;
    const [first, second] = tasks;
    t.not(workerOf(first), workerOf(second));
    t.deepEqual([...workerOf(first).runs.keys()], [first.name]);
    t.deepEqual([...workerOf(second).runs.keys()], [second.name]);

    report(first.run!, 0, SURVIVED_MS);
    failures.reviewSurvival(workerOf(first));
    const late = Array.from({ length: 60 }, (_, index) => createTask(`u${index}`));
    queue.placeWaiting(
        late.map(task => task.job),
        workers,
        100,
        SURVIVED_MS,
        SURVIVED_MS,
    );
    t.true(workerOf(first).runs.size > 1);
    t.is(workerOf(second).runs.size, 1);
});
