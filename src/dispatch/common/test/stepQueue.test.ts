import test from "ava";
import { StepSpec } from "../../../jobs/common/jobSpec";
import { QueueTable } from "../../../jobs/common/queueTable";
import { ActiveJob } from "../activeJob";
import { LatencyModel } from "../latencyModel";
import { Run } from "../run";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../suspectTable";
import { Task } from "../task";
import { WaitReport } from "../waitReporter";
import { WorkerContact } from "../workerContact";
import { assign, createJob, createStep, createWorker } from "./runs";

function assignTo(task: Task, worker: WorkerContact): Run {
    return assign(worker, task);
}

/** Places the waiting tasks of two jobs in one pass. @returns Number of tasks of the second job that are placed. */
function placeBehind(first: ActiveJob, second: ActiveJob, workers: readonly WorkerContact[]): number {
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), SuspectTable.create(), assignTo);
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
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), SuspectTable.create(), assignTo);
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
