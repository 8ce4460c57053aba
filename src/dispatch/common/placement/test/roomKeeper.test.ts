import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../latencyModel";
import { WorkerContact } from "../../workers/workerContact";
import {
    AssigningHost,
    assign,
    createJob,
    createQueue,
    createStep,
    createWorker,
    place,
    report,
} from "../../jobs/test/runs";

const PASS_INTERVAL_MS = 100;

/** A task that lasts and needs most of the memory of a worker. */
const LASTING = createStep("web", true, { request: { cpuMillis: 8_000, memoryMb: 180_000, accelerators: 0 } });
const BEST_EFFORT: Partial<StepSpec> = { request: { cpuMillis: 4_000, memoryMb: 60_000, accelerators: 0 } };

/** @returns A worker whose memory is held by four best-effort runs, of which the last one is throttled to 0. */
function createFullWorker(id: string, overrides: Partial<StepSpec> = {}): WorkerContact {
    const worker = createWorker(id);
    for (const index of [0, 1, 2, 3]) {
        const run = place(worker, `${id}-${index}`, createStep("batch", false, { ...BEST_EFFORT, ...overrides }));
        report(run, 50, 0);
        if (index === 3) {
            run.setSpeed(0, 0);
        }
    }
    return worker;
}

/** @returns A job whose only task ran before. */
function createLostJob(): ActiveJob {
    const job = createJob("lost", LASTING);
    [...job.tasks()][0].highestRun = 1;
    return job;
}

function runPasses(job: ActiveJob, workers: readonly WorkerContact[], host: AssigningHost): void {
    const queue = createQueue(LatencyModel.create(), host);
    for (let now = 0; now <= 3_000; now += PASS_INTERVAL_MS) {
        queue.placeWaiting([job], workers, 100, now, now);
    }
}

// LOST: its memory was held by throttled runs, which hardly ended.
test("best-effort runs are stopped on one worker for a task that lasts and has lost its run, throttled ones first", t => {
    const host = AssigningHost.create();
    const workers = [createFullWorker("w1"), createFullWorker("w2")];
    const job = createLostJob();
    runPasses(job, workers, host);
    t.is(host.preempted.length, 3);
    t.is(new Set(host.preempted.map(run => run.record.worker)).size, 1);
    t.is(host.preempted[0].speedPercent, 0);
    const worker = workers.find(each => each.entry.id === host.preempted[0].record.worker)!;
    host.preempted.forEach(run => worker.runs.delete(run.task.name));
    createQueue(LatencyModel.create(), host).placeWaiting([job], workers, 100, 4_000, 4_000);
    t.true(job.hasRun);
});

test("no run is stopped for a task that never ran, that lacks CPU, too, or whose memory they do not hold", t => {
    const host = AssigningHost.create();
    runPasses(createJob("new", LASTING), [createFullWorker("w1")], host);
    const busy = createFullWorker("w2");
    const request = { cpuMillis: 60_000, memoryMb: 1_000, accelerators: 0 };
    assign(busy, [...createJob("reserved", createStep("x", false, { usesSpareCpu: false, request })).tasks()][0]);
    runPasses(createLostJob(), [busy], host);
    const reserved = createFullWorker("w3", { usesSpareCpu: false });
    runPasses(createLostJob(), [reserved], host);
    const unsaved = createFullWorker("w4", { checkpoints: false });
    runPasses(createLostJob(), [unsaved], host);
    t.deepEqual(host.preempted, []);
});
