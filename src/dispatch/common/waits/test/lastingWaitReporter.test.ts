import test from "ava";
import { LastingWaitReport } from "../lastingWaitReporter";
import { LatencyModel } from "../../placement/latencyModel";
import { assign, createJob, createQueue, createStep, createWorker, place } from "../../jobs/test/runs";

const PASS_INTERVAL_MS = 100;

test("a task that lasts and waits beside runs of its job is reported, with what the workers lack, until it runs", t => {
    const workers = ["a", "b", "c"].map(id => createWorker(id));
    const queue = createQueue(LatencyModel.create());
    const reports: LastingWaitReport[] = [];
    queue.onDidLastingWait(report => reports.push(report));
    const request = { cpuMillis: 13_000, memoryMb: 1_000, accelerators: 0 };
    const job = createJob("lasting", createStep("lasting", true, { tasks: 2, request, maxPerWorker: 1 }));
    assign(workers[0], [...job.tasks()][0], 0);
    const cpuHolder = createStep("l", true, { request: { cpuMillis: 60_000, memoryMb: 1_000, accelerators: 0 } });
    place(workers[1], "full", cpuHolder);
    const memoryHolder = createStep("l", true, { request: { cpuMillis: 1_000, memoryMb: 256_000, accelerators: 0 } });
    place(workers[2], "large", memoryHolder);
    for (let now = 0; now <= 6_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    t.like(reports[0], { waiting: 1, suspected: 0, task: "lasting.0.0.1", siblings: 1, cpuMillis: 13_000, closed: 0 });
    t.like(reports[0], { ownLimit: 1, lacksCpu: 1, lacksMemory: 1, oldestMs: 2_000 });
    t.is(reports.length, 3);
    workers[1].runs.clear();
    for (let now = 6_100; now <= 12_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
    t.deepEqual(reports.slice(3), [{ service: reports[0].service, waiting: 0, suspected: 0, interrupted: 0 }]);
});

test("the last report of a service says that no task waits any more", t => {
    const worker = createWorker("a");
    const queue = createQueue(LatencyModel.create());
    const reports: LastingWaitReport[] = [];
    queue.onDidLastingWait(report => reports.push(report));
    const job = createJob("lasting", createStep("lasting", true, { requiredLabel: "absent" }));
    for (let now = 0; now <= 2_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], [worker], 100, now, now);
    }
    job.state = "cancelled";
    const other = createJob("other", createStep("batch", false, { requiredLabel: "absent" }));
    for (let now = 2_100; now <= 9_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job, other], [worker], 100, now, now);
    }
    t.deepEqual(
        reports.map(each => each.waiting),
        [1, 0],
    );
});

// LOST: the line described a new task that waited, and said nothing of one that had lost its run.
test("of the tasks that last and wait, one that ran before is described, however long new ones have waited", t => {
    const worker = createWorker("a");
    const queue = createQueue(LatencyModel.create());
    const reports: LastingWaitReport[] = [];
    queue.onDidLastingWait(report => reports.push(report));
    const step = createStep("lasting", true, { requiredLabel: "absent" });
    const added = createJob("added", step);
    const known = createJob("known", step);
    for (let now = 0; now <= 7_900; now += PASS_INTERVAL_MS) {
        const isKnown = now >= 3_000;
        queue.placeWaiting(isKnown ? [added, known] : [added], [worker], 100, now, now);
        [...known.tasks()].forEach(task => (task.highestRun = 1));
    }
    t.like(reports.at(-1), { waiting: 2, interrupted: 1, task: "known.0.0.0" });
});
