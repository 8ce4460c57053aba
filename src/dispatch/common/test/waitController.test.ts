import test from "ava";
import { ActiveJob } from "../activeJob";
import { Task } from "../task";
import { WaitController } from "../waitController";
import { WorkerContact } from "../workerContact";
import { ANY_WORKER_PERCENT } from "../waitPolicy";
import { assign, createBestEffort, createJob, createStep, createWorker, place, report } from "./runs";

const INTERVAL_MS = 100;

/** A job of two tasks, and the passes of a leader. */
class Fixture {
    readonly waits = WaitController.create();
    readonly job: ActiveJob = createJob("a", createBestEffort({ tasks: 2 }));
    readonly tasks: readonly Task[] = [...this.job.tasks()];

    /** Runs passes from one time up to, but not including, another, in ms. */
    pass(workers: readonly WorkerContact[], from: number, until: number): void {
        for (let now = from; now < until; now += INTERVAL_MS) {
            this.waits.updateRoom(workers, now);
            this.waits.updateJob(this.job, [...this.job.groups], now, now);
        }
    }

    isDue(now: number, task = this.tasks[0]): boolean {
        return this.waits.isDue([...this.job.groups][0], task, "svc", now);
    }

    minSpeedPercent(now: number): number {
        return this.waits.minSpeedPercent([...this.job.groups][0], this.tasks[0], "svc", now);
    }
}

/** Lets tasks with reserved CPU use a share of a worker of 64 cores. */
function occupy(worker: WorkerContact, ratio: number): void {
    const request = { cpuMillis: 64_000 * ratio, memoryMb: 1_000, accelerators: 0 };
    place(worker, `o-${worker.entry.id}`, createStep("other", false, { usesSpareCpu: false, request }));
}

test("a job is due in time for a run within 3 s, and accepts any worker then", t => {
    const fixture = new Fixture();
    fixture.pass([createWorker()], 0, 2_400);
    t.is(fixture.minSpeedPercent(1_000), 100);
    t.false(fixture.isDue(1_000));
    t.true(fixture.isDue(2_400));
    t.is(fixture.minSpeedPercent(2_400), ANY_WORKER_PERCENT);
});

test("no job is due while more than half of its service is in use, and the wait counts from the time with room", t => {
    const fixture = new Fixture();
    const worker = createWorker();
    occupy(worker, 0.6);
    fixture.pass([worker], 0, 10_000);
    t.false(fixture.isDue(9_900));
    t.is(fixture.minSpeedPercent(2_900), 100);
    t.is(fixture.minSpeedPercent(9_900), 0);
    worker.runs.clear();
    fixture.pass([worker], 10_000, 13_000);
    t.false(fixture.isDue(11_500));
    t.true(fixture.isDue(13_000));
});

// A task that moved counted on both workers for a moment, and the wait began again.
test("the time with room does not begin again when a service seems full for a moment", t => {
    const fixture = new Fixture();
    const worker = createWorker();
    fixture.pass([worker], 0, 2_000);
    occupy(worker, 0.6);
    fixture.pass([worker], 2_000, 2_400);
    t.false(fixture.isDue(2_300));
    worker.runs.clear();
    fixture.pass([worker], 2_400, 2_800);
    t.true(fixture.isDue(2_800));
});

// The workers that confirm ends at the moment were left out, and the others alone seemed full.
test("a worker that is not usable for a moment still counts", t => {
    const fixture = new Fixture();
    const [full, free] = [createWorker("w1"), createWorker("w2")];
    occupy(full, 0.6);
    fixture.pass([full, free], 0, 1_000);
    fixture.pass([full], 1_000, 2_500);
    t.true(fixture.isDue(2_500));
});

test("a job is not due while one of its runs is reported, and is once its worker is silent", t => {
    const fixture = new Fixture();
    const worker = createWorker();
    const run = assign(worker, fixture.tasks[1]);
    report(run, 0, 100);
    fixture.pass([worker], 100, 4_000);
    t.false(fixture.isDue(4_000));
    fixture.pass([worker], 4_000, 6_600);
    t.true(fixture.isDue(6_600));
});
