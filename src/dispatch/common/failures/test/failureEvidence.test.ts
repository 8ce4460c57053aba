import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { FailureController } from "../failureController";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../../waits/stepQueue";
import { Task } from "../../jobs/task";
import { TaskSuspicion } from "../taskSuspicion";
import { WorkerContact } from "../../workers/workerContact";
import { createController, createTask, inherit, lose, measureLosses } from "./failures";
import { AssigningHost, assign, createWorker, report } from "../../jobs/test/runs";

/** Starts a task on a worker whose loss comes to light 8 s later. */
function loseLate(failures: FailureController, worker: WorkerContact, task: Task, startedAt: number): void {
    assign(worker, task, startedAt).fire("accepted", { now: startedAt });
    for (let now = startedAt; now <= startedAt + 8_000; now += 100) {
        failures.recordUptime(30, now);
    }
    lose(failures, worker);
}

// A loss was taken to follow within a second of the start, also one that came to light many seconds after it.
test("losses of workers that were silent for seconds before are weaker evidence", t => {
    const { host, failures } = createController();
    measureLosses(failures, 30, 5);
    const task = createTask("a");
    const losses = [0, 8_000, 16_000].map(startedAt => {
        loseLate(failures, createWorker(`w${startedAt}`), task, startedAt);
        return task.suspicion?.state;
    });
    t.deepEqual(losses, ["accused", "accused-again", "convicted"]);
    t.deepEqual(host.failedJobs, [task.job]);
});

// The start of an inherited run was taken to be as recent as the change of leader.
test("the loss of an inherited run is weaker evidence than that of one that the leader has just started", t => {
    const { host, failures } = createController();
    measureLosses(failures, 30, 10);
    const task = createTask("a");
    for (const id of ["w1", "w2"]) {
        const worker = createWorker(id);
        inherit(worker, task);
        task.suspicion ??= TaskSuspicion.create("suspected");
        lose(failures, worker);
    }
    t.is(task.suspicion?.state, "accused-again");
    t.deepEqual(host.failedJobs, []);
});

// Tasks that crash their workers crashed a quarter more of them, since each crash comes to light only when the worker is back.
test("losses of workers at whose address nothing listened soon after the start are strong evidence", t => {
    const { host, failures } = createController();
    measureLosses(failures, 30, 5);
    const task = createTask("a");
    for (const startedAt of [0, 8_000]) {
        t.deepEqual(host.failedJobs, []);
        const worker = createWorker(`w${startedAt}`);
        worker.refusedAt = startedAt + 500;
        loseLate(failures, worker, task, startedAt);
    }
    t.deepEqual(host.failedJobs, [task.job]);
});

// Tasks were given up after five losses in a row, each of them one of many in a few seconds.
test("a last attempt waits while workers are lost every few seconds, and not for long after that", t => {
    const { suspects, failures } = createController();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    const workers = Array.from({ length: 6 }, (_, index) => createWorker(`w${index}`));
    const task = createTask("a");
    task.lossesInARow = 4;
    suspects.update(task);
    let at: number | undefined;
    for (let now = 0; now <= 30_000 && at === undefined; now += 100) {
        failures.recordUptime(workers.length, now);
        if (now <= 15_000 && now % 500 === 0) {
            const lost = createWorker(`lost${now}`);
            report(assign(lost, createTask(`other${now}`), now - 5_000), 0, now);
            lose(failures, lost);
        }
        queue.placeWaiting(now < 5_000 ? [] : [task.job], workers, 100, now, 1_700_000_000_000 + now);
        at = task.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at > 15_000 && at <= 18_100, `waited until ${at}`);
});
