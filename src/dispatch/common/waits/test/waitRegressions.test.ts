import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { FailureController, FailureHost } from "../../failures/failureController";
import { LatencyModel } from "../../placement/latencyModel";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { WorkerContact } from "../../workers/workerContact";
import {
    AssigningHost,
    assign,
    createBestEffort,
    createJob,
    createQueue,
    createStep,
    createWorker,
    place,
    report,
} from "../../jobs/test/runs";

/** Adds a run with reserved CPU to each worker. */
function fill(workers: readonly WorkerContact[], cpuMillis: number, memoryMb: number, now: number): void {
    for (const worker of workers) {
        const step = createStep("other", false, {
            usesSpareCpu: false,
            request: { cpuMillis, memoryMb, accelerators: 0 },
        });
        report(place(worker, `o-${worker.entry.id}`, step), 0, now);
    }
}

// The bound did not hold for tasks that last while most of the CPU was reserved.
test("a task that lasts is not left without a run in a service that is nearly full", t => {
    const workers = Array.from({ length: 4 }, (_, i) => createWorker(`w${i}`));
    fill(workers, 50_000, 10_000, 0);
    const queue = createQueue(LatencyModel.create());
    const job = createJob("l", createStep("web", true));
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += 100) {
        queue.placeWaiting([job], workers, 0, now, now);
        at = job.hasRun ? now : undefined;
    }
    t.true(at !== undefined && at <= 6_000, `waited ${at}`);
});

// Only the first task of a step was looked at.
test("a task that lasts does not wait for one of its step that has just lost its run", t => {
    const worker = createWorker("w0");
    const queue = createQueue(LatencyModel.create());
    const job = createJob("l", createStep("web", true, { tasks: 2 }));
    const [a, b] = [...job.tasks()];
    assign(worker, a);
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += 100) {
        if (now === 2_200) {
            worker.runs.delete(a.name);
            a.run = undefined;
            job.recordChange();
        }
        if (a.run !== undefined && now < 2_200) {
            report(a.run, 10, now);
        }
        queue.placeWaiting([job], [worker], 0, now, now);
        at = b.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at <= 3_000, `waited ${at}`);
});

// A worker that is too small was kept for the task for good.
test("a task that lasts and fits on no worker does not keep other jobs out", t => {
    const workers = [createWorker("w0", { capacity: { cpuMillis: 64_000, memoryMb: 50_000, accelerators: 0 } })];
    const queue = createQueue(LatencyModel.create());
    const lasting = createJob(
        "l",
        createStep("web", true, { request: { cpuMillis: 8_000, memoryMb: 60_000, accelerators: 0 } }),
    );
    const job = createJob("b", createBestEffort({ tasks: 1 }));
    for (let now = 0; now <= 3_000; now += 100) {
        queue.placeWaiting([lasting], workers, 100, now, now);
    }
    for (let now = 3_000; now <= 20_000 && !job.hasRun; now += 100) {
        queue.placeWaiting([lasting, job], workers, 100, now, now);
    }
    t.true(job.hasRun);
});

// The extra starts were counted from the limit, which may be far below the starts in flight.
test("a job that has to have a run starts although the limit on starts has fallen below those in flight", t => {
    const workers = [createWorker()];
    const queue = createQueue(LatencyModel.create());
    const job = createJob("a", createBestEffort({ tasks: 1 }));
    for (let now = 0; now <= 10_000 && !job.hasRun; now += 100) {
        queue.placeWaiting([job], workers, -8, now, now);
    }
    t.true(job.hasRun);
});

// Each repeated stop counted as a start that may still be answered.
test("a run that never started and is being stopped does not keep the other tasks of its job waiting", t => {
    const lost = createWorker("lost");
    const workers = [createWorker("w0")];
    const queue = createQueue(LatencyModel.create());
    const job = createJob("a", createBestEffort({ tasks: 2 }));
    const [a, b] = [...job.tasks()];
    const run = assign(lost, a);
    run.fire("unanswered", { now: 0 });
    run.fire("unlisted", { now: 0 });
    t.is(run.state, "stopping");
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += 100) {
        if (now % 1_000 === 0) {
            run.changedAt = now; // as WorkerPool.retryStops does
            run.fire("stop-due", { now });
        }
        queue.placeWaiting([job], workers, 0, now, now);
        at = b.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at <= 3_000, `waited ${at}`);
});

class NoopHost extends FailureHost {
    override onJobFailed(): void {}
    override onSuspicionChange(): void {}
    override logDecision(): void {}
}

// Each last attempt of a job that was due took a worker for itself, up to the last one.
test("last attempts of suspected tasks leave workers to other jobs", t => {
    const suspects = SuspectTable.create();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, AssigningHost.create());
    const last = Array.from({ length: 6 }, (_, i) =>
        createJob(`l${i}`, createStep("x", false, { usesSpareCpu: false })),
    );
    last.forEach(job =>
        [...job.tasks()].forEach(task => {
            task.lossesInARow = 4;
            suspects.update(task);
        }),
    );
    const other = createJob("other", createStep("y", false, { usesSpareCpu: false }));
    const workers = Array.from({ length: 4 }, (_, i) => createWorker(`w${i}`));
    let at: number | undefined;
    for (let now = 0; now <= 30_000 && at === undefined; now += 100) {
        workers.forEach(w => w.runs.forEach(run => report(run, 0, now)));
        queue.placeWaiting(now < 5_000 ? last : [...last, other], workers, 100, now, 1_700_000_000_000 + now, workers);
        at = other.hasRun ? now - 5_000 : undefined;
    }
    t.true(at !== undefined && at <= 3_000, `waited ${at}`);
});

test("an accused task on a silent worker does not keep another suspected task of its job waiting", t => {
    const suspects = SuspectTable.create();
    const failures = FailureController.create(QueueTable.create(), suspects, new NoopHost());
    const host = AssigningHost.create();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, host);
    const job = createJob("a", createStep("x", false, { usesSpareCpu: false, tasks: 2 }));
    const [a, b] = [...job.tasks()];
    for (const n of [0, 1, 2]) {
        const lost = createWorker(`lost${n}`);
        assign(lost, a).fire("accepted", { now: 0 });
        if (n === 0) {
            assign(lost, b).fire("accepted", { now: 0 });
        }
        failures.reviewLoss(lost, [...lost.runs.values()], "lease-expired");
        a.run = undefined;
        b.run = undefined;
    }
    const silent = createWorker("silent");
    report(assign(silent, a), 0, 0);
    const workers = Array.from({ length: 4 }, (_, i) => createWorker(`w${i}`));
    let at: number | undefined;
    for (let now = 0; now <= 20_000 && at === undefined; now += 100) {
        queue.placeWaiting([job], workers, 100, now, 1_700_000_000_000 + now, [...workers, silent]);
        at = b.run === undefined ? undefined : now;
    }
    t.true(at !== undefined && at <= 3_000, `waited ${at}`);
});

test("a pass is requested for when a job has to have a run, also if its tasks are suspected", t => {
    const suspects = SuspectTable.create();
    const failures = FailureController.create(QueueTable.create(), suspects, new NoopHost());
    const host = AssigningHost.create();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, host);
    const job = createJob("a", createStep("x", false, { usesSpareCpu: false, requiredLabel: "none" }));
    const [a] = [...job.tasks()];
    const lost = createWorker("lost");
    assign(lost, a).fire("accepted", { now: 0 });
    failures.reviewLoss(lost, [...lost.runs.values()], "lease-expired");
    a.run = undefined;
    queue.placeWaiting([job], [createWorker()], 100, 0, 0);
    t.deepEqual(host.requestedPasses, [2_300]);
});

test("a last attempt is not put off because its worker was not usable for a moment", t => {
    const suspects = SuspectTable.create();
    const host = AssigningHost.create();
    const queue = StepQueue.create(QueueTable.create(), LatencyModel.create(), suspects, host);
    const job = createJob("a", createStep("x", false, { usesSpareCpu: false }));
    const [task] = [...job.tasks()];
    task.lossesInARow = 4;
    suspects.update(task);
    const workers = Array.from({ length: 4 }, (_, i) => createWorker(`w${i}`));
    workers.forEach(w =>
        report(
            place(
                w,
                `o-${w.entry.id}`,
                createStep("other", false, { request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } }),
            ),
            0,
            10_000,
        ),
    );
    let at: number | undefined;
    for (let now = 10_000; now <= 40_000 && at === undefined; now += 100) {
        workers.forEach(w => w.runs.forEach(run => report(run, 0, now)));
        const usable = now % 2_000 === 0 ? [] : workers;
        queue.placeWaiting([job], usable, 100, now, 1_700_000_000_000 + now, workers);
        at = job.hasRun ? now - 10_000 : undefined;
    }
    t.true(at !== undefined && at <= 3_000, `waited ${at}`);
});

// LOST: runs that end before they are listed did not count, so jobs of short tasks always seemed to have waited longest.
test("a job whose last run ended before it was listed goes after one that has waited longer", t => {
    const order: string[] = [];
    const host = AssigningHost.create((task, worker, now) => {
        order.push(task.job.spec.id);
        return assign(worker, task, now);
    });
    const queue = createQueue(LatencyModel.create(), host);
    const [short, other] = ["short", "other"].map(id => createJob(id, createBestEffort({ tasks: 2 })));
    for (let now = 0; now <= 2_400 && order.length === 0; now += 100) {
        if (now === 1_000) {
            short.lastEndAt = now;
            short.recordChange();
        }
        queue.placeWaiting([short, other], now < 2_400 ? [] : [createWorker()], 0, now, now, [createWorker()]);
    }
    t.deepEqual(order, ["other", "short"]);
});
