import test from "ava";
import { WorkerEffect } from "../../../dispatch/common/workers/workerMessages";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { FenceChecker } from "../fenceChecker";
import { JobRuleChecker } from "../jobRuleChecker";
import { createWorkerEntry } from "../jobTrialPlan";
import { TrialSchedule } from "../trialSchedule";

const WORKER = createWorkerEntry(0, "w0", 0, "w0");

/** Orders that an incarnation of a worker accepts, and what is reported. */
class Fixture {
    readonly reports: string[] = [];
    private readonly checker = FenceChecker.create(detail => this.reports.push(detail));
    private worker = createWorker();

    accept(sender: string, effect: WorkerEffect): void {
        this.checker.recordAccepted(this.worker, sender, effect);
    }

    restartWorker(): void {
        this.worker = createWorker();
    }
}

function createWorker(): LeasedWorker {
    const planRun = () => ({ ms: Number.POSITIVE_INFINITY, end: "done" as const });
    return LeasedWorker.create(WORKER, 0, 1, planRun, JobRuleChecker.create(TrialSchedule.create()));
}

function createList(fence: number, isProbe?: boolean, leaseUntil?: number): WorkerEffect {
    return { kind: "list", worker: WORKER, order: { fence, recordedUpTo: 0, waitMs: 0, isProbe, leaseUntil } };
}

function createStop(fence: number): WorkerEffect {
    return { kind: "stop", worker: WORKER, order: { task: "1.0.0.0", run: 1, fence } };
}

test("fences that rise from leader to leader are allowed", t => {
    const fixture = new Fixture();
    fixture.accept("n0-1", createList(16));
    fixture.accept("n0-1", createStop(16));
    fixture.accept("n0-1", createList(17));
    fixture.accept("n1-1", createList(32));
    t.deepEqual(fixture.reports, []);
});

test("a fence of two leaders is reported, whatever the order", t => {
    const fixture = new Fixture();
    fixture.accept("n0-1", createList(16));
    fixture.accept("n1-1", createStop(16));
    t.deepEqual(fixture.reports, ["w0 accepts fence 16 of n1-1 and of n0-1"]);
});

test("a restarted instance is another leader", t => {
    const fixture = new Fixture();
    fixture.accept("n0-1", createList(16));
    fixture.accept("n0-2", createList(16));
    t.is(fixture.reports.length, 1);
});

test("a fence after a higher one is reported", t => {
    const fixture = new Fixture();
    fixture.accept("n0-1", createList(16));
    fixture.accept("n1-1", createList(32));
    fixture.accept("n0-1", createStop(16));
    t.deepEqual(fixture.reports, ["w0 accepts fence 16 of n0-1 after 32"]);
});

test("a new leader may ask for the fence of the former one, but not after a higher one, and may extend no lease", t => {
    const fixture = new Fixture();
    fixture.accept("n0-1", createList(16));
    fixture.accept("n1-1", createList(16, true));
    t.deepEqual(fixture.reports, []);
    fixture.accept("n1-1", createList(16, true, 5_000));
    t.deepEqual(fixture.reports, ["w0 accepts fence 16 of n1-1 and of n0-1"]);
    fixture.accept("n0-1", createList(17));
    fixture.accept("n1-1", createList(16, true));
    t.is(fixture.reports.at(-1), "w0 accepts fence 16 of n1-1 after 17");
});

test("a restarted worker has seen no fence", t => {
    const fixture = new Fixture();
    fixture.accept("n1-1", createList(32));
    fixture.restartWorker();
    fixture.accept("n0-1", createList(16));
    t.deepEqual(fixture.reports, []);
});
