import test from "ava";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { createBestEffortDraft } from "../colocationPlan";
import { JobRuleChecker } from "../jobRuleChecker";
import { createWorkerEntry, QUEUE } from "../jobTrialPlan";
import { Random } from "../random";
import { TrialSchedule } from "../trialSchedule";

const JOB = "1";

/** Longest time for which an accepted job may wait with room free, in ms. */
const MAX_WAIT_MS = 3_000;

/** Interval between two reviews, in ms. */
const REVIEW_INTERVAL_MS = 100;

/** A best-effort job of two steps with one task each that was accepted, and two workers of 64,000 MB. */
class Fixture {
    private readonly schedule = TrialSchedule.create();
    readonly checker = JobRuleChecker.create(this.schedule);
    readonly workers = [0, 1].map(index =>
        LeasedWorker.create(
            createWorkerEntry(index, `w${index}`, 0, `w${index}`),
            0,
            1,
            () => ({ ms: Number.POSITIVE_INFINITY, end: "done" as const }),
            this.checker,
        ),
    );

    /** @param memoryMb What a task requests. @param sideStepMb What a task of a third step requests, which is ready at once. */
    constructor(memoryMb = 20_000, sideStepMb?: number) {
        const draft = createBestEffortDraft(Random.create(1));
        const request = { cpuMillis: 4_000, memoryMb, accelerators: 0 };
        const chain = draft.steps.map(step => ({ ...step, tasks: 1, request }));
        const sideSteps =
            sideStepMb === undefined ? [] : [{ ...chain[0], request: { ...request, memoryMb: sideStepMb } }];
        const steps = [...chain, ...sideSteps];
        this.checker.recordSubmission({ id: JOB, queue: QUEUE, acceptedAtMs: 0, ...draft, steps });
        this.checker.accepted.add(JOB);
        this.review();
    }

    private review(): void {
        this.checker.reviewColocation(this.workers);
        this.schedule.add(REVIEW_INTERVAL_MS, () => this.review());
    }

    /** Lets another job, which only the checker of waits considers, hold memory of a worker, and CPU that it reserves. */
    occupy(worker: LeasedWorker, memoryMb: number, cpuMillis = 0): void {
        const draft = createBestEffortDraft(Random.create(2));
        const request = { cpuMillis, memoryMb, accelerators: 0 };
        const steps = draft.steps.slice(0, 1).map(step => ({ ...step, tasks: 1, request, usesSpareCpu: false }));
        this.checker.recordSubmission({ id: "2", queue: QUEUE, acceptedAtMs: 0, ...draft, steps });
        this.checker.onStart(worker, "2.0.0.0", 1);
    }

    /** Loses a worker, which reports no end of its runs. */
    lose(worker: LeasedWorker): void {
        this.workers.splice(this.workers.indexOf(worker), 1);
    }

    at(ms: number, perform: () => void): void {
        this.schedule.add(ms, perform);
    }

    /** @returns The rules that are broken up to a time. */
    brokenRules(untilMs: number): string[] {
        this.schedule.runUntil(untilMs);
        return this.checker.violations.map(each => each.rule);
    }
}

test("an accepted job without a run for longer than the bound breaks the rule once", t => {
    const fixture = new Fixture();
    t.deepEqual(fixture.brokenRules(MAX_WAIT_MS + REVIEW_INTERVAL_MS - 1), []);
    t.deepEqual(fixture.brokenRules(2 * MAX_WAIT_MS), ["bounded-wait"]);
});

test("a job waits anew after a run and for its next step", t => {
    const fixture = new Fixture();
    const [worker] = fixture.workers;
    fixture.at(2_500, () => fixture.checker.onStart(worker, "1.0.0.0", 1));
    fixture.at(2_900, () => fixture.checker.onEnd(worker, "1.0.0.0", 1, "stopped"));
    fixture.at(5_500, () => fixture.checker.onStart(worker, "1.0.0.0", 2));
    fixture.at(6_500, () => fixture.checker.onEnd(worker, "1.0.0.0", 2, "done"));
    t.deepEqual(fixture.brokenRules(9_500), []);
    t.deepEqual(fixture.brokenRules(10_000), ["bounded-wait"]);
});

test("a job that is done, cancelled or has failed too often does not wait", t => {
    for (const end of ["done", "failed", "cancelled"] as const) {
        const fixture = new Fixture();
        const [worker] = fixture.workers;
        if (end === "cancelled") {
            fixture.checker.cancellations.recordAcknowledgement(JOB);
        } else {
            const tasks = end === "done" ? ["1.0.0.0", "1.0.1.0"] : ["1.0.0.0", "1.0.0.0", "1.0.0.0"];
            tasks.forEach((task, index) => {
                fixture.checker.onStart(worker, task, index + 1);
                fixture.checker.onEnd(worker, task, index + 1, end);
            });
        }
        t.deepEqual(fixture.brokenRules(30_000), [], end);
    }
});

test("a wait does not count while half of the CPU and of the memory is in use or only one such task has room", t => {
    const full = new Fixture(1_000);
    full.occupy(full.workers[0], 64_000, 16_000);
    t.deepEqual(full.brokenRules(30_000), []);
    const wide = new Fixture(40_000);
    wide.occupy(wide.workers[0], 30_000);
    t.deepEqual(wide.brokenRules(30_000), []);
    const free = new Fixture(30_000);
    free.occupy(free.workers[0], 30_000);
    t.deepEqual(free.brokenRules(30_000), ["bounded-wait"]);
});

test("a wait counts while less than half of one resource is in use, however much of the other is", t => {
    const withoutMemory = new Fixture();
    withoutMemory.occupy(withoutMemory.workers[0], 64_000, 15_900);
    t.deepEqual(withoutMemory.brokenRules(30_000), ["bounded-wait"]);
    const withoutCpu = new Fixture();
    withoutCpu.occupy(withoutCpu.workers[0], 63_900, 16_000);
    t.deepEqual(withoutCpu.brokenRules(30_000), ["bounded-wait"]);
});

test("a wait counts if there is room for any step that is ready", t => {
    t.deepEqual(new Fixture(65_000).brokenRules(30_000), []);
    t.deepEqual(new Fixture(65_000, 20_000).brokenRules(30_000), ["bounded-wait"]);
});

test("only runs on workers that are alive are at work", t => {
    const full = new Fixture();
    full.occupy(full.workers[0], 64_000, 16_000);
    full.lose(full.workers[0]);
    t.deepEqual(full.brokenRules(30_000), ["bounded-wait"]);
    const lost = new Fixture();
    lost.checker.onStart(lost.workers[0], "1.0.0.0", 1);
    lost.lose(lost.workers[0]);
    t.deepEqual(lost.brokenRules(30_000), ["bounded-wait"]);
});

test("a wait does not count from a disruption until 4 s after its end", t => {
    const fixture = new Fixture();
    fixture.at(2_000, () => fixture.checker.recordDisruption(3_000));
    t.deepEqual(fixture.brokenRules(12_000), []);
    t.deepEqual(fixture.brokenRules(12_500), ["bounded-wait"]);
});

test("a violation says on one line what the leader last said about the job", t => {
    const unheard = new Fixture();
    unheard.brokenRules(4_000);
    const room = "0% of the CPU and 0% of the memory in use";
    t.true(unheard.checker.violations[0].detail.includes(`although its service has room, ${room}; `));
    t.regex(unheard.checker.violations[0].detail, /^1 has nothing running .*; the leader said nothing about it$/);
    const heard = new Fixture();
    heard.checker.reports.record("job-waits", { task: "1.0.0.0", waitedMs: 100 }, 1_000);
    heard.checker.reports.record("job-waits", { task: "1.0.0.0", waitedMs: 2_100, noRoom: 1 }, 3_000);
    heard.checker.reports.record("job-waits", { task: "2.0.0.0", waitedMs: 5_000 }, 3_000);
    heard.checker.reports.record("run-ended", { task: "1.0.0.1", outcome: "done" }, 900);
    heard.checker.reports.record("run-throttled", { task: "1.0.0.1" }, 3_000);
    heard.checker.reports.record("leader-load", { half: 1 }, 3_000);
    heard.brokenRules(4_000);
    const wait = 'at 3000 ms job-waits {"task":"1.0.0.0","waitedMs":2100,"noRoom":1}';
    const run = 'at 900 ms run-ended {"task":"1.0.0.1","outcome":"done"}';
    t.true(heard.checker.violations[0].detail.endsWith(`; the leader last said ${wait}, ${run}`));
});
