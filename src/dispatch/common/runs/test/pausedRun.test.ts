import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../../waits/stepQueue";
import { AssigningHost, createWorker, report } from "../../jobs/test/runs";
import { createController, createTask, lose, start, SURVIVED_MS } from "../../failures/test/failures";

test("a suspected task is not cleared by a run that is paused before it has worked long enough", t => {
    const { suspects, failures } = createController();
    const task = createTask("a");
    const first = createWorker("w1");
    start(first, task, 0);
    lose(failures, first);
    const worker = createWorker("w2");
    const run = start(worker, task, 0);
    run.fire("accepted", { now: 0 });
    report(run, 0, 100);
    run.setSpeed(0, 100);
    const reportAt = (now: number) => {
        report(run, 0, now);
        failures.reviewSurvival(worker);
    };
    reportAt(20_000);
    t.true(suspects.has(task));
    run.setSpeed(50, 20_000);
    reportAt(20_100);
    t.true(suspects.has(task));
    reportAt(25_000);
    t.false(suspects.has(task));
});

test("a task that crashes its workers whenever its run is resumed is given up", t => {
    const { host, failures } = createController();
    const task = createTask("a");
    for (let loss = 1; loss <= 5 && host.failedJobs.length === 0; loss++) {
        const worker = createWorker(`w${loss}`);
        report(start(worker, createTask(`n${loss}`), 0), 0, SURVIVED_MS);
        const run = start(worker, task, 0);
        report(run, 0, 100);
        run.setSpeed(0, 100);
        report(run, 0, 20_000);
        failures.reviewSurvival(worker);
        run.setSpeed(100, 20_000);
        lose(failures, worker);
    }
    t.deepEqual(host.failedJobs, [task.job]);
});

test("a paused run is not held responsible for the loss of its worker", t => {
    const { host, suspects, failures } = createController();
    const task = createTask("a");
    for (let loss = 1; loss <= 6; loss++) {
        const worker = createWorker(`w${loss}`);
        const run = start(worker, task, 0);
        report(run, 0, 100);
        run.setSpeed(0, 100);
        report(run, 0, 5_000);
        lose(failures, worker);
    }
    t.true(suspects.isEmpty);
    t.deepEqual(host.failedJobs, []);
});

test("a run that was paused when its worker was lost is suspected if no report shows that the worker survived it", t => {
    const { suspects, failures } = createController();
    const task = createTask("a");
    const worker = createWorker("w1");
    const run = start(worker, task, 0);
    report(run, 0, 100);
    run.setSpeed(0, 100);
    lose(failures, worker);
    t.true(suspects.has(task));
});

test("a paused run of a suspected task does not keep other tasks from its worker", t => {
    const { suspects, failures } = createController();
    const task = createTask("a");
    const first = createWorker("w1");
    start(first, task, 0);
    lose(failures, first);
    const worker = createWorker("w2");
    const run = start(worker, task, 0);
    report(run, 0, 100);
    t.true(suspects.isOnProbation(worker));
    run.setSpeed(0, 100);
    report(run, 0, 5_000);
    t.false(suspects.isOnProbation(worker));
    run.setSpeed(20, 5_000);
    t.true(suspects.isOnProbation(worker));
});

test("a worker with a paused run that has not worked long enough can be used to try a suspected task", t => {
    const { suspects, failures } = createController();
    const [task, paused] = [createTask("a"), createTask("b")];
    const first = createWorker("w1");
    start(first, task, 0);
    lose(failures, first);
    const worker = createWorker("w2");
    const run = start(worker, paused, 0);
    report(run, 0, 100);
    run.setSpeed(0, 100);
    report(run, 0, 5_000);
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    queue.placeWaiting([task.job], [worker], 100, 5_000, 5_000);
    t.true(worker.runs.has(task.name));
});
