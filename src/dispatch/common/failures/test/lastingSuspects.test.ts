import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { MAX_LOSSES_IN_A_ROW } from "../suspectTable";
import { StepQueue } from "../../waits/stepQueue";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { createController, createTask, lose, start } from "./failures";
import { assign, AssigningHost, createJob, createStep, createWorker, place, report } from "../../jobs/test/runs";

/** Time for which a task that lasts may be without a run, in ms. */
const MAX_IDLE_MS = 3_000;

/** Time in ms since the Unix epoch at which the measurements begin. */
const WALL_START_MS = 1_700_000_000_000;

/** Four workers and the tasks that wait for them. */
class Fixture {
    private readonly controller = createController();
    readonly workers = Array.from({ length: 4 }, (_, index) => createWorker(`w${index}`));
    private readonly queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        this.controller.suspects,
        AssigningHost.create(),
    );
    private lostWorkers = 0;

    /** Loses a worker that had just started these tasks. */
    loseUnder(...tasks: readonly Task[]): void {
        this.lostWorkers += 1;
        const worker = createWorker(`lost${this.lostWorkers}`);
        tasks.forEach(task => start(worker, task, 0));
        lose(this.controller.failures, worker);
    }

    /** Lets a worker try an accused task, which no report shows to be survived. */
    tryAccused(worker: WorkerContact, id: string): void {
        const task = createTask(id);
        this.loseUnder(task);
        assign(worker, task);
    }

    /** Fills workers with tasks that last and have been at work for long. */
    fill(workers: readonly WorkerContact[]): void {
        const request = { cpuMillis: 64_000, memoryMb: 1_000, accelerators: 0 };
        workers.forEach((worker, index) => {
            report(place(worker, `full${index}`, createStep("full", true, { request })), 0, 30_000);
        });
    }

    /** Reviews the evidence against a task. */
    review(task: Task): void {
        this.controller.failures.reviewEvidence(task);
    }

    /** Loses a worker with all its runs. */
    lose(worker: WorkerContact): void {
        lose(this.controller.failures, worker);
    }

    /** @returns Time until a task of the jobs has a run, in ms; infinite if it has none within 10 s. */
    waitOf(task: Task, jobs: readonly ActiveJob[], onPass?: (now: number) => void): number {
        return this.waitOfAll([task], jobs, onPass);
    }

    /** @returns Time until all of these tasks have a run, in ms; infinite if not all have one within 10 s. */
    waitOfAll(
        tasks: readonly Task[],
        jobs: readonly ActiveJob[],
        onPass: (now: number) => void = () => undefined,
    ): number {
        for (let now = 0; now <= 10_000; now += 100) {
            onPass(now);
            this.queue.placeWaiting(jobs, this.workers, 100, now, WALL_START_MS + now);
            if (tasks.every(task => task.run !== undefined)) {
                return now;
            }
        }
        return Number.POSITIVE_INFINITY;
    }
}

function createLasting(id: string, tasks = 1): ActiveJob {
    return createJob(id, createStep(id, true, { tasks }), WALL_START_MS);
}

/** @returns A job whose tasks last and have run before. */
function createInterrupted(id: string, tasks = 1): ActiveJob {
    const job = createLasting(id, tasks);
    [...job.tasks()].forEach(task => (task.highestRun = 1));
    return job;
}

// Half of the workers were reserved or on probation, so the task was not tried at all.
test("a task that lasts with one shared loss does not wait for a probation beside a worker with room", t => {
    const fixture = new Fixture();
    const job = createLasting("a");
    const [task] = [...job.tasks()];
    fixture.loseUnder(task, createTask("other"));
    fixture.tryAccused(fixture.workers[0], "x");
    fixture.tryAccused(fixture.workers[1], "y");
    const waitedMs = fixture.waitOf(task, [job]);
    t.true(waitedMs <= MAX_IDLE_MS, String(waitedMs));
    t.true(["w2", "w3"].includes(task.run?.record.worker ?? ""));
});

// While an accused task of a job was tried, no other one of it started.
test("a task that lasts with one shared loss does not wait for an accused one of its job", t => {
    const fixture = new Fixture();
    const job = createLasting("a", 2);
    const [accused, task] = [...job.tasks()];
    fixture.loseUnder(task, createTask("other"));
    fixture.loseUnder(accused);
    const tried = assign(fixture.workers[0], accused);
    const waitedMs = fixture.waitOf(task, [job], now => report(tried, 0, now));
    t.true(waitedMs <= MAX_IDLE_MS, String(waitedMs));
});

test("a task that lasts keeps to probation after a second loss", t => {
    const fixture = new Fixture();
    const job = createLasting("a");
    const [task] = [...job.tasks()];
    fixture.loseUnder(task, createTask("other"));
    fixture.loseUnder(task, createTask("another"));
    fixture.tryAccused(fixture.workers[0], "x");
    fixture.tryAccused(fixture.workers[1], "y");
    t.is(fixture.waitOf(task, [job]), Number.POSITIVE_INFINITY);
});

// The only worker with room was closed for an accused task, which waited for the runs there to be survived.
test("a task that lasts and has to run starts on a worker that is reserved for a suspected one", t => {
    const fixture = new Fixture();
    fixture.fill(fixture.workers.slice(1));
    place(fixture.workers[0], "unproven", createStep("short", false, { usesSpareCpu: false }));
    const accused = createTask("x");
    fixture.loseUnder(accused);
    const job = createLasting("a");
    const [task] = [...job.tasks()];
    const waitedMs = fixture.waitOf(task, [accused.job, job]);
    t.true(waitedMs <= MAX_IDLE_MS, String(waitedMs));
    t.is(accused.run, undefined);
});

// The only worker with room was closed for an accused task until that had survived its start.
test("sound tasks that last do not wait for room behind workers that are closed for suspects", t => {
    const fixture = new Fixture();
    const [worker, ...others] = fixture.workers;
    fixture.fill(others);
    fixture.tryAccused(worker, "x");
    const job = createInterrupted("a", 6);
    const waitedMs = fixture.waitOfAll([...job.tasks()], [job]);
    t.true(waitedMs <= MAX_IDLE_MS, String(waitedMs));
});

test("sound tasks that last do not wait for room behind workers that are reserved or try suspects", t => {
    const fixture = new Fixture();
    const [reserved, trier, ...others] = fixture.workers;
    fixture.fill(others);
    place(reserved, "unproven", createStep("short", false, { usesSpareCpu: false }));
    fixture.tryAccused(trier, "x");
    const accused = createInterrupted("y");
    const [accusedTask] = [...accused.tasks()];
    fixture.loseUnder(accusedTask);
    const job = createInterrupted("a", 12);
    const waitedMs = fixture.waitOfAll([...job.tasks()], [accused, job]);
    t.true(waitedMs <= MAX_IDLE_MS, String(waitedMs));
    t.is(accusedTask.run, undefined);
});

test("a worker that is lost under a suspected task and a sound one that lasts is evidence against the suspected one", t => {
    const fixture = new Fixture();
    const [worker, ...others] = fixture.workers;
    fixture.fill(others);
    const suspect = createTask("x");
    fixture.loseUnder(suspect);
    start(worker, suspect, 0);
    const job = createInterrupted("a");
    const [task] = [...job.tasks()];
    fixture.waitOf(task, [job]);
    t.is(task.run?.record.worker, worker.entry.id);
    task.run?.fire("accepted", { now: 0 });
    fixture.lose(worker);
    t.is(suspect.suspicion?.state, "accused-again");
    t.is(suspect.lossesInARow, 2);
    t.is(task.suspicion?.recorded, undefined);
});

// Whether it or the suspected task is the cause of a loss would be open.
test("a task that lasts and is not known to be sound keeps away from workers that try suspects", t => {
    const fixture = new Fixture();
    const [worker, ...others] = fixture.workers;
    fixture.fill(others);
    fixture.tryAccused(worker, "x");
    const unknown = createLasting("a");
    const lost = createInterrupted("b");
    const [lostTask] = [...lost.tasks()];
    lostTask.lossesInARow = 1;
    t.is(fixture.waitOf([...unknown.tasks()][0], [unknown, lost]), Number.POSITIVE_INFINITY);
    t.is(lostTask.run, undefined);
});

test("a sound task that lasts starts beside the suspects with the least evidence against them", t => {
    const fixture = new Fixture();
    const [accusedWorker, suspectedWorker, ...others] = fixture.workers;
    fixture.fill(others);
    fixture.tryAccused(accusedWorker, "x");
    const suspected = createTask("y");
    fixture.loseUnder(suspected, createTask("other"));
    assign(suspectedWorker, suspected);
    const job = createInterrupted("a");
    const [task] = [...job.tasks()];
    fixture.waitOf(task, [job]);
    t.is(task.run?.record.worker, suspectedWorker.entry.id);
});

// A task on its last attempt may be cleared of suspicion, and crash its worker later.
test("a sound task that lasts joins one on its last attempt only if no other suspect has room beside it", t => {
    const fixture = new Fixture();
    const [lastWorker, suspectedWorker, ...others] = fixture.workers;
    fixture.fill(others);
    const [last, suspected] = [createTask("x"), createTask("y")];
    last.lossesInARow = MAX_LOSSES_IN_A_ROW - 1;
    fixture.review(last);
    report(start(lastWorker, last, 0), 0, 5_000);
    fixture.loseUnder(suspected, createTask("other"));
    assign(suspectedWorker, suspected);
    const job = createInterrupted("a", 8);
    fixture.waitOfAll([...job.tasks()], [job]);
    const workers = [...job.tasks()].map(task => task.run?.record.worker);
    t.deepEqual(workers, [...Array.from({ length: 7 }, () => suspectedWorker.entry.id), lastWorker.entry.id]);
});
