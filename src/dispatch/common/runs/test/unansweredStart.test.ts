import test from "ava";
import { FailureController } from "../../failures/failureController";
import { Task } from "../../jobs/task";
import { createController, createTask, lose, sendStart, start } from "../../failures/test/failures";
import { createWorker } from "../../jobs/test/runs";

/** Time (ms) at which the call of a start that is sent at 0 times out. */
const TIMEOUT_MS = 800;

/** Records that 20 workers are at work for 60 s, of which none is lost. */
function measureUptime(failures: FailureController): void {
    for (let now = 0; now <= 60_000; now += 100) {
        failures.recordUptime(20, now);
    }
}

/** Starts a task on workers that do not answer, and loses them. @returns Number of the workers that were lost. */
function loseUnanswered(failures: FailureController, task: Task, max: number): number {
    let losses = 0;
    while (losses < max && task.job.state !== "failed") {
        losses += 1;
        const worker = createWorker(`${task.name}-${losses}`);
        sendStart(worker, task).fire("unanswered", { now: TIMEOUT_MS });
        lose(failures, worker);
    }
    return losses;
}

test("a sound task is not shown as failed after two silent workers", t => {
    const { host, suspects, failures } = createController();
    measureUptime(failures);
    const task = createTask("a");
    t.is(loseUnanswered(failures, task, 2), 2);
    t.deepEqual(host.failedJobs, []);
    t.false(suspects.has(task));
});

test("a task that crashes its workers before they answer is given up after five", t => {
    const { host, failures } = createController();
    measureUptime(failures);
    const task = createTask("a");
    t.is(loseUnanswered(failures, task, 6), 5);
    t.deepEqual(host.failedJobs, [task.job]);
});

test("a start without an answer is evidence if the worker was heard of later", t => {
    const { failures } = createController();
    const task = createTask("a");
    const worker = createWorker("w1");
    sendStart(worker, task).fire("unanswered", { now: TIMEOUT_MS });
    worker.lastListSentAt = 100;
    lose(failures, worker);
    t.is(task.suspicion?.state, "accused");
});

test("a task that a lost worker had just started is suspected alone beside one whose start was not answered", t => {
    const { suspects, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    const worker = createWorker("w1");
    start(worker, task, 0);
    sendStart(worker, neighbor).fire("unanswered", { now: 20 + TIMEOUT_MS });
    lose(failures, worker);
    t.is(task.suspicion?.state, "accused");
    t.false(suspects.has(neighbor));
});

// An order that waited in the queue of a busy leader was taken for the cause of a crash.
test("a start that is not answered yet is no evidence against its task", t => {
    const { suspects, failures } = createController();
    const [task, neighbor] = [createTask("a"), createTask("b")];
    const worker = createWorker("w1");
    start(worker, task, 0);
    sendStart(worker, neighbor);
    lose(failures, worker);
    t.is(task.suspicion?.state, "accused");
    t.false(suspects.has(neighbor));
    t.is(neighbor.lossesInARow, 1);
});

test("a start that is not answered yet is evidence if a list was requested after it and answered", t => {
    const { failures } = createController();
    const task = createTask("a");
    const worker = createWorker("w1");
    sendStart(worker, task);
    worker.lastListSentAt = 100;
    lose(failures, worker);
    t.is(task.suspicion?.state, "accused");
});
