import test from "ava";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { createLatencyCriticalDraft } from "../colocationPlan";
import { JobRuleChecker } from "../jobRuleChecker";
import { createWorkerEntry, QUEUE } from "../jobTrialPlan";
import { TrialSchedule } from "../trialSchedule";

const JOB = "1";
const TASK = "1.0.0.0";

/** Time after its last run, and of calm after that, from which a task that lasts may not be without a run, in ms. */
const GRACE_MS = 6_000;
const MAX_CALM_GAP_MS = 3_000;

/** Time after a disruption from which none is near, in ms. */
const STABLE_WINDOW_MS = 4_000;

/** Interval between two reviews, in ms. */
const REVIEW_INTERVAL_MS = 100;

/** An accepted job with one task that lasts, and a worker that the task does not fit on. */
class Fixture {
    private readonly schedule = TrialSchedule.create();
    readonly checker = JobRuleChecker.create(this.schedule);
    private readonly worker = LeasedWorker.create(
        createWorkerEntry(0, "w0", 0, "w0"),
        0,
        1,
        () => ({ ms: Number.POSITIVE_INFINITY, end: "done" as const }),
        this.checker,
    );

    constructor() {
        const draft = createLatencyCriticalDraft(0, 2, { reserved: { cpuMillis: 20_000, memoryMb: 70_000 } });
        this.checker.recordSubmission({ id: JOB, queue: QUEUE, acceptedAtMs: 0, ...draft });
        this.checker.accepted.add(JOB);
        this.review();
    }

    private review(): void {
        this.checker.reviewColocation([this.worker]);
        this.schedule.add(REVIEW_INTERVAL_MS, () => this.review());
    }

    at(ms: number, perform: () => void): void {
        this.schedule.add(ms, perform);
    }

    start(run: number): void {
        this.checker.onStart(this.worker, TASK, run);
    }

    stop(run: number): void {
        this.checker.onEnd(this.worker, TASK, run, "stopped");
    }

    /** @returns How often the rule of tasks that last is broken up to a time. */
    countBreaches(untilMs: number): number {
        this.schedule.runUntil(untilMs);
        return this.checker.violations.filter(each => each.rule === "lasting-run").length;
    }
}

test("a task that lasts breaks the rule once in each long time without a run, however full the service is", t => {
    const fixture = new Fixture();
    fixture.start(1);
    fixture.at(1_000, () => fixture.stop(1));
    const firstMs = 1_000 + GRACE_MS + MAX_CALM_GAP_MS;
    fixture.at(20_000, () => fixture.start(2));
    fixture.at(21_000, () => fixture.stop(2));
    t.is(fixture.countBreaches(firstMs), 0);
    t.is(fixture.countBreaches(20_999), 1);
    t.is(fixture.countBreaches(40_000), 2);
});

test("a task that lasts may be without a run before its first one, and when it runs again in time", t => {
    const fixture = new Fixture();
    fixture.at(20_000, () => fixture.start(1));
    fixture.at(21_000, () => fixture.stop(1));
    fixture.at(21_000 + GRACE_MS + MAX_CALM_GAP_MS, () => fixture.start(2));
    t.is(fixture.countBreaches(60_000), 0);
});

test("the time of a task that lasts without a run counts from 4 s after a disruption", t => {
    const fixture = new Fixture();
    fixture.start(1);
    fixture.at(1_000, () => fixture.stop(1));
    fixture.at(9_000, () => fixture.checker.recordDisruption(1_000));
    t.is(fixture.countBreaches(10_000 + STABLE_WINDOW_MS + MAX_CALM_GAP_MS), 0);
    t.is(fixture.countBreaches(10_000 + STABLE_WINDOW_MS + MAX_CALM_GAP_MS + REVIEW_INTERVAL_MS), 1);
});

test("a task that lasts of a cancelled job needs no run", t => {
    const fixture = new Fixture();
    fixture.start(1);
    fixture.at(1_000, () => fixture.stop(1));
    fixture.at(2_000, () => fixture.checker.cancellations.recordAcknowledgement(JOB));
    t.is(fixture.countBreaches(30_000), 0);
});
