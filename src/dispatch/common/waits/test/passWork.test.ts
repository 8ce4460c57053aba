import test from "ava";
import { JobSpec, StepSpec } from "../../../../jobs/common/jobSpec";
import { ActiveJob } from "../../jobs/activeJob";
import { ActiveTask } from "../../jobs/activeTask";
import { LatencyModel } from "../../placement/latencyModel";
import { Run } from "../../runs/run";
import { WorkerContact } from "../../workers/workerContact";
import {
    assign,
    createBestEffort,
    createJob,
    createQueue,
    createStep,
    createWorker,
    report,
} from "../../jobs/test/runs";

/** How much more the reads of twice as many tasks may be: the rest does not depend on the tasks. */
const MAX_GROWTH = 2.5;
const STARTS_PER_PASS = 8;

let reads = 0;
countReads(ActiveTask.prototype, "run");
countReads(Run.prototype, "state");

/** Counts the reads of a property, so that the work of a pass is measured without a clock. */
function countReads(prototype: object, name: string): void {
    const { get, ...rest } = Object.getOwnPropertyDescriptor(prototype, name)!;
    const counted = function (this: unknown): unknown {
        reads += 1;
        return get!.call(this);
    };
    Object.defineProperty(prototype, name, { ...rest, get: counted });
}

function createScheduledJob(step: StepSpec, occurrences: number): ActiveJob {
    const { spec } = createJob("a", step);
    const scheduled: JobSpec = { ...spec, occurrences, intervalMs: 1 };
    const job = ActiveJob.create(scheduled, 0, undefined);
    job.openDue(occurrences);
    return job;
}

/** @returns Reads of the tasks in passes over a job of which some tasks run, and others start in each pass. */
function measureReads(job: ActiveJob, workers: readonly WorkerContact[], running: number): number {
    const queue = createQueue(LatencyModel.create());
    const runs = [...job.tasks()].slice(0, running).map((task, index) => assign(workers[index % workers.length], task));
    // The state of a run is read while it is not reported.
    runs.filter((_, index) => index % 2 === 0).forEach(run => report(run, 0, 1_000));
    reads = 0;
    for (let now = 1_000; now < 1_300; now += 100) {
        queue.placeWaiting([job], workers, STARTS_PER_PASS, now, now);
    }
    return reads;
}

const SMALL = { cpuMillis: 10, memoryMb: 1, accelerators: 0 };
const createWorkers = () => Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));

const JOBS: Readonly<Record<string, (size: number) => ActiveJob>> = {
    "occurrences that are all due": size =>
        createScheduledJob(createStep("short", false, { usesSpareCpu: false, request: SMALL }), size),
    "best-effort occurrences that are all due": size => createScheduledJob(createBestEffort({ request: SMALL }), size),
    "tasks of one step": size => createJob("a", createBestEffort({ request: SMALL, tasks: size })),
};

// Each waiting occurrence looked at all tasks of its job, so that a leader hung in one pass over a job of 20,000 of them (review/11).
for (const [name, create] of Object.entries(JOBS)) {
    for (const ratio of [0.001, 0.25]) {
        test.serial(`a pass takes work in proportion to the ${name}, ${ratio * 100}% of which run`, t => {
            const [some, twice] = [1_000, 2_000].map(size => measureReads(create(size), createWorkers(), size * ratio));
            t.true(twice <= MAX_GROWTH * some, `${some} and ${twice} reads`);
        });
    }
}
