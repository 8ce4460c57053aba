import test from "ava";
import { decodeProgress, encodeProgress } from "../../../../jobs/common/jobRecord";
import { ActiveJob } from "../../jobs/activeJob";
import { assign, createWorker, report } from "../../jobs/test/runs";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { createController, createTask, inherit, start } from "./failures";

const WORKERS = 30;
const TICK_MS = 100;

/** Interval between the lists of a worker, in ms. */
const LIST_INTERVAL_MS = 500;

/** A fleet that is listed regularly, and of which workers are lost. */
class Fleet {
    private readonly controller = createController();
    readonly workers = Array.from({ length: WORKERS }, (_, index) => createWorker(`w${index}`));
    private readonly lost = new Set<WorkerContact>();
    private now = 0;

    private constructor() {
        this.workers.forEach((worker, index) => {
            report(start(worker, createTask(`sound${index}`), 0), 0, 20_000);
        });
    }

    /** @returns A fleet of which no worker was lost for a minute. */
    static create(): Fleet {
        const fleet = new Fleet();
        fleet.advance(60_000);
        return fleet;
    }

    get failedJobs(): readonly ActiveJob[] {
        return this.controller.host.failedJobs;
    }

    get decisions(): readonly string[] {
        return this.controller.host.decisions;
    }

    get suspects() {
        return this.controller.suspects;
    }

    /** Lists all workers that are not lost for a time in ms. */
    advance(ms: number): void {
        const until = this.now + ms;
        for (; this.now < until; this.now += TICK_MS) {
            this.controller.failures.recordUptime(WORKERS - this.lost.size, this.now);
            this.workers.forEach((worker, index) => {
                if (!this.lost.has(worker) && (this.now + index * TICK_MS) % LIST_INTERVAL_MS === 0) {
                    this.list(worker);
                }
            });
        }
    }

    list(worker: WorkerContact): void {
        worker.recordList(this.now);
        this.controller.failures.reviewSurvival(worker);
    }

    /** Starts a task on a worker. */
    start(task: Task, index: number): void {
        assign(this.workers[index], task, this.now).fire("accepted", { now: this.now });
    }

    /** Workers stop answering, and leave the next list unanswered. */
    silence(...indices: number[]): void {
        for (const index of indices) {
            this.lost.add(this.workers[index]);
            this.workers[index].onNoAnswer(this.now + LIST_INTERVAL_MS);
        }
    }

    /** The loss of workers comes to light. */
    reveal(cause: "restarted" | "lease-expired", ...indices: number[]): void {
        for (const index of indices) {
            const worker = this.workers[index];
            this.controller.failures.reviewLoss(worker, [...worker.runs.values()], cause);
            worker.runs.forEach(run => (run.task.run = undefined));
            worker.runs.clear();
        }
    }

    /** Silent workers answer again, with a run that is survived. */
    restore(...indices: number[]): void {
        for (const index of indices) {
            const worker = this.workers[index];
            this.lost.delete(worker);
            report(start(worker, createTask(`restored${index}-${this.now}`), this.now), 0, this.now);
            this.list(worker);
        }
    }
}

const TENTH = Array.from({ length: 10 }, (_, index) => index);

// The losses of each cut were left out of the rate of losses, so that those under the task looked improbable.
test("a task is not given up for losses that were all part of cuts", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    for (let cut = 0; cut < 6; cut++) {
        if (!fleet.suspects.isHeld(task)) {
            fleet.start(task, 0);
        }
        fleet.silence(...TENTH);
        fleet.advance(800);
        fleet.reveal("restarted", ...TENTH);
        fleet.restore(...TENTH);
        fleet.advance(1_400);
    }
    t.deepEqual(fleet.failedJobs, []);
    t.is(fleet.decisions.filter(each => each.startsWith("workers-cut")).length, 6);
    t.false(fleet.suspects.has(task));
    t.is(task.lossesInARow, 3);
    t.true(fleet.suspects.isHeld(task));
    fleet.advance(5_000);
    t.false(fleet.suspects.isHeld(task));
});

// A task was given up for the first loss of a cut that came to light, its second one.
test("a verdict waits until other workers have been listed since the loss", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    fleet.start(task, 0);
    fleet.silence(0);
    fleet.advance(3_000);
    fleet.reveal("restarted", 0);
    t.is(task.suspicion?.state, "accused");
    fleet.start(task, 1);
    fleet.silence(...TENTH.slice(1));
    fleet.advance(300);
    fleet.reveal("restarted", 1);
    t.deepEqual(fleet.failedJobs, []);
    t.true(fleet.suspects.isHeld(task));
    fleet.advance(300);
    fleet.reveal("restarted", ...TENTH.slice(2));
    fleet.advance(5_000);
    t.deepEqual(fleet.failedJobs, []);
    t.is(task.suspicion?.state, "accused");
    t.false(fleet.suspects.isHeld(task));
});

test("a task that crashes two workers alone is given up once all others have been listed", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    for (const index of [0, 1]) {
        t.deepEqual(fleet.failedJobs, []);
        fleet.start(task, index);
        fleet.silence(index);
        fleet.advance(300);
        fleet.reveal("restarted", index);
        fleet.advance(1_000);
    }
    t.deepEqual(fleet.failedJobs, [task.job]);
    t.is(task.job.state, "failed");
});

// Leases that lapsed five times let a job fail although its worker was up all the time.
test("a loss by an expired lease is taken back when the same incarnation answers again", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    fleet.list(fleet.workers[0]);
    fleet.workers[0].updateIncarnation(1, 0, 0);
    for (let lapse = 0; lapse < 8; lapse++) {
        fleet.start(task, 0);
        fleet.silence(0);
        fleet.advance(6_000);
        fleet.reveal("lease-expired", 0);
        t.is(task.lossesInARow, 1);
        fleet.restore(0);
        t.is(task.lossesInARow, 0);
        t.false(fleet.suspects.has(task));
    }
    t.deepEqual(fleet.failedJobs, []);
});

test("a loss by an expired lease counts once another incarnation answers", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    fleet.workers[0].updateIncarnation(1, 0, 0);
    fleet.start(task, 0);
    fleet.silence(0);
    fleet.advance(6_000);
    fleet.reveal("lease-expired", 0);
    fleet.workers[0].updateIncarnation(2, 0, 0);
    fleet.restore(0);
    t.is(task.lossesInARow, 1);
});

test("a run that was stopped before its worker was lost is no evidence", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    fleet.start(task, 0);
    const [run] = [...fleet.workers[0].runs.values()].filter(each => each.task === task);
    run.fire("stop", { now: 60_000 });
    run.fire("stop-confirmed", { now: 60_000 });
    fleet.silence(0);
    fleet.advance(1_000);
    fleet.reveal("restarted", 0);
    t.is(task.lossesInARow, 0);
    t.false(fleet.suspects.has(task));
});

// The sixth start of a task that crashes its workers followed a change of leader while a verdict was awaited.
test("a new leader does not start a task again whose verdict was awaited", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    task.lossesInARow = 4;
    fleet.start(task, 0);
    fleet.silence(0);
    fleet.advance(6_000);
    fleet.reveal("lease-expired", 0);
    t.deepEqual(fleet.failedJobs, []);
    const progress = decodeProgress(encodeProgress(task.job.progress(1)))!;
    const { failures, host } = createController();
    const successor = ActiveJob.create(task.job.spec, 0, progress).find(task.name)!;
    failures.reviewEvidence(successor);
    t.deepEqual(host.failedJobs, [successor.job]);
});

// Each of its crashes was taken for a part of the next cut, and none counted from the third loss on.
test("a task that crashes its workers ends although a cut follows shortly after each start", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    let starts = 0;
    let crashAt = 0;
    for (let at = 0; at < 80_000 && fleet.failedJobs.length === 0; at += TICK_MS) {
        if (at % 4_400 === 0 && at < 60_000) {
            fleet.silence(...TENTH);
        } else if (at % 4_400 === 800 && at < 60_800) {
            fleet.reveal("restarted", ...TENTH);
            fleet.restore(...TENTH);
        }
        if (task.run === undefined && !fleet.suspects.isHeld(task)) {
            fleet.start(task, 20);
            starts += 1;
            crashAt = at + 300;
        }
        if (at === crashAt) {
            fleet.silence(20);
        } else if (task.run !== undefined && at === crashAt + 800) {
            fleet.reveal("restarted", 20);
            fleet.restore(20);
        }
        fleet.advance(TICK_MS);
    }
    t.true(starts <= 5, `${starts} starts`);
    t.deepEqual(fleet.failedJobs, [task.job]);
});

// A recognised cut was not reviewed when its workers answered again, so that lapses counted as crashes.
test("lapses that are part of a cut are taken back when the same incarnations answer again", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    TENTH.forEach(index => fleet.workers[index].updateIncarnation(1, 0, 0));
    fleet.start(task, 0);
    fleet.silence(...TENTH);
    fleet.advance(6_000);
    fleet.reveal("lease-expired", ...TENTH);
    fleet.restore(...TENTH);
    t.true(fleet.decisions.some(each => each.startsWith("workers-cut")));
    t.is(task.lossesInARow, 0);
});

// The successor has never heard from the workers, so their losses were not compared with each other.
test("a job is not given up for a cut that changes the leader, too", t => {
    const { failures, host } = createController();
    const task = createTask("a");
    task.lossesInARow = 4;
    const listed = Array.from({ length: 20 }, (_, index) => createWorker(`listed${index}`));
    const lost = TENTH.map(index => createWorker(`lost${index}`));
    lost.forEach((worker, index) => inherit(worker, index === 0 ? task : createTask(`other${index}`)));
    for (let now = 0; now < 5_000; now += TICK_MS) {
        failures.recordUptime(WORKERS, now);
        for (const worker of now % LIST_INTERVAL_MS === 0 ? listed : []) {
            worker.recordList(now);
            failures.reviewSurvival(worker);
        }
        for (const worker of now === 800 ? lost : []) {
            failures.reviewLoss(worker, [...worker.runs.values()], "restarted");
        }
    }
    t.deepEqual(host.failedJobs, []);
});

// The worker has not answered this leader, which took any incarnation for a later one.
test("a loss of an inherited run is taken back when the recorded incarnation answers", t => {
    const { failures } = createController();
    const worker = createWorker("w");
    const task = createTask("a");
    inherit(worker, task);
    task.run!.updateIncarnation(7);
    failures.recordUptime(1, 6_000);
    failures.reviewLoss(worker, [task.run!], "lease-expired");
    t.is(task.lossesInARow, 1);
    worker.updateIncarnation(7, 7_000, 7_000);
    worker.recordList(7_000);
    failures.reviewSurvival(worker);
    t.is(task.lossesInARow, 0);
});

// A cut explains one loss beyond the third, since the starts of a task that crashes its workers have to end.
test("a task is given up when the fifth loss that counts is one of a second cut", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    task.lossesInARow = 4;
    for (const expected of [4, 5]) {
        t.deepEqual(fleet.failedJobs, []);
        fleet.start(task, 0);
        fleet.silence(...TENTH);
        fleet.advance(800);
        fleet.reveal("restarted", ...TENTH);
        t.is(task.lossesInARow, expected);
        fleet.restore(...TENTH);
        fleet.advance(10_000);
    }
    t.deepEqual(fleet.failedJobs, [task.job]);
});

// Some sound tasks of thousands lose two workers in such a series, which improbable as it is for each of them says little.
test("a task is not given up for two of many losses of workers one by one", t => {
    const fleet = Fleet.create();
    const task = createTask("a");
    const crash = (index: number) => {
        fleet.silence(index);
        fleet.advance(300);
        fleet.reveal("restarted", index);
        fleet.restore(index);
        fleet.advance(1_700);
    };
    for (let count = 0; count < WORKERS; count++) {
        crash(10 + (count % 15));
    }
    for (const index of [0, 1]) {
        fleet.start(task, index);
        crash(index);
    }
    t.deepEqual(fleet.failedJobs, []);
});
