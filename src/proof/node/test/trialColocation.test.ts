import test from "ava";
import { ThrottleOrder } from "../../../dispatch/common/workers/workerMessages";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { ColocationPlan } from "../colocationPlan";
import { JobRuleChecker } from "../jobRuleChecker";
import { createWorkerEntry, QUEUE } from "../jobTrialPlan";
import { TrialColocation } from "../trialColocation";
import { TrialSchedule } from "../trialSchedule";

const LATENCY_CRITICAL_TASK = "1.0.0.0";
const BEST_EFFORT_TASK = "3.0.0.0";

/** Work of the best-effort task, in ms. */
const WORK_MS = 20_000;

/** Interval between two reviews, in ms. */
const REVIEW_INTERVAL_MS = 50;

/** A latency-critical task and a best-effort task beside it on one worker. */
class Fixture {
    readonly schedule = TrialSchedule.create();
    readonly checker = JobRuleChecker.create(this.schedule);
    readonly worker: LeasedWorker;

    constructor(plan: Partial<ColocationPlan> = {}) {
        const colocation = TrialColocation.create(1, { heavyRatio: 1, bestEffortEveryMs: 1_000, ...plan }, 1);
        for (const id of ["1", "2", "3"]) {
            this.checker.recordSubmission({ id, queue: QUEUE, acceptedAtMs: 0, ...colocation.nextDraft(id).draft });
        }
        const planRun = (task: string) =>
            task === BEST_EFFORT_TASK
                ? { ms: WORK_MS, end: "done" as const, checkpointMs: 500 }
                : { ms: Number.POSITIVE_INFINITY, end: "done" as const };
        const entry = createWorkerEntry(0, "w0", 0, "w0");
        this.worker = LeasedWorker.create(entry, 0, 1, planRun, this.checker, colocation);
        this.review();
    }

    start(task: string, checkpoint = "", run = 1): void {
        this.worker.start({ task, run, payload: "", validUntil: 1_000_000, fence: 1, checkpoint }, this.schedule.now);
    }

    throttle(percent: number, order: Partial<ThrottleOrder> = {}): string {
        return this.worker.throttle({ task: BEST_EFFORT_TASK, run: 1, fence: 1, percent, ...order }, this.schedule.now);
    }

    stop(): void {
        this.worker.stop({ task: BEST_EFFORT_TASK, run: 1, fence: 1 }, this.schedule.now);
    }

    at(ms: number, perform: () => void): void {
        this.schedule.add(ms - this.schedule.now, perform);
    }

    percentOf(task: string): number | undefined {
        return this.worker.listRuns(this.schedule.now).find(each => each.task === task)?.percent;
    }

    reportOf(task: string): number {
        return this.worker.listRuns(this.schedule.now).find(each => each.task === task)!.latencyOrUsage;
    }

    private review(): void {
        this.worker.renewLease(
            { fence: 1, leaseUntil: this.schedule.now + 6_000, recordedUpTo: 0, waitMs: 0 },
            this.schedule.now,
        );
        this.checker.reviewColocation([this.worker]);
        this.schedule.add(REVIEW_INTERVAL_MS, () => this.review());
    }
}

test("a throttled run makes progress in proportion to its speed, from 100 ms after the order", t => {
    const fixture = new Fixture();
    fixture.start(BEST_EFFORT_TASK);
    fixture.schedule.runUntil(2_000);
    t.is(fixture.percentOf(BEST_EFFORT_TASK), 10);
    t.is(fixture.throttle(20), "done");
    fixture.schedule.runUntil(2_100);
    const percent = fixture.percentOf(BEST_EFFORT_TASK)!;
    fixture.schedule.runUntil(12_100);
    t.is(fixture.percentOf(BEST_EFFORT_TASK)! - percent, 10);
    t.is(fixture.throttle(0), "done");
    fixture.schedule.runUntil(13_000);
    t.is(fixture.reportOf(BEST_EFFORT_TASK), 0);
});

test("an order to throttle another run or of an earlier leader has no effect", t => {
    const fixture = new Fixture();
    fixture.start(BEST_EFFORT_TASK);
    t.is(fixture.throttle(0, { run: 2 }), "superseded");
    t.is(fixture.throttle(0, { fence: 0 }), "fenced");
    fixture.schedule.runUntil(2_000);
    t.is(fixture.percentOf(BEST_EFFORT_TASK), 10);
});

test("a run resumes from the checkpoint that it wrote when it was stopped", t => {
    const fixture = new Fixture();
    fixture.start(BEST_EFFORT_TASK);
    fixture.at(2_000, () => fixture.stop());
    fixture.schedule.runUntil(2_300);
    const [end] = fixture.worker.ends;
    t.is(end.end, "stopped");
    t.is(Number(end.checkpoint), 2_150);
    fixture.start(BEST_EFFORT_TASK, end.checkpoint, 2);
    fixture.schedule.runUntil(3_300);
    t.is(fixture.percentOf(BEST_EFFORT_TASK), Math.floor((100 * (2_150 + 1_000 - 100)) / WORK_MS));
});

test("the tail latency rises beside a heavy neighbor and on a slow worker", t => {
    const fixture = new Fixture();
    fixture.start(LATENCY_CRITICAL_TASK);
    fixture.schedule.runUntil(1_000);
    t.is(fixture.percentOf(LATENCY_CRITICAL_TASK), 100);
    const alone = fixture.reportOf(LATENCY_CRITICAL_TASK);
    fixture.worker.setSlowness(10, fixture.schedule.now);
    fixture.schedule.runUntil(1_600);
    t.true(fixture.reportOf(LATENCY_CRITICAL_TASK) > 5 * alone);
    fixture.worker.setSlowness(1, fixture.schedule.now);
    fixture.start(BEST_EFFORT_TASK);
    fixture.schedule.runUntil(2_200);
    t.true(fixture.reportOf(LATENCY_CRITICAL_TASK) > 5 * alone);
    fixture.throttle(0);
    fixture.schedule.runUntil(3_000);
    t.true(fixture.reportOf(LATENCY_CRITICAL_TASK) < 2 * alone);
});

test("a heavy neighbor that keeps a task over its target for longer than allowed breaks the rule once", t => {
    const fixture = new Fixture();
    fixture.start(LATENCY_CRITICAL_TASK);
    fixture.start(BEST_EFFORT_TASK);
    fixture.schedule.runUntil(4_000);
    t.deepEqual(fixture.checker.violations, []);
    fixture.schedule.runUntil(9_000);
    t.deepEqual(
        fixture.checker.violations.map(each => each.rule),
        ["target-kept"],
    );
});

test("a heavy neighbor that is throttled in time, or near a disruption, breaks no rule", t => {
    const throttled = new Fixture();
    throttled.start(LATENCY_CRITICAL_TASK);
    throttled.start(BEST_EFFORT_TASK);
    throttled.at(3_500, () => throttled.throttle(0));
    throttled.schedule.runUntil(9_000);
    t.deepEqual(throttled.checker.violations, []);
    const disrupted = new Fixture();
    disrupted.checker.recordDisruption(5_000);
    disrupted.start(LATENCY_CRITICAL_TASK);
    disrupted.start(BEST_EFFORT_TASK);
    disrupted.schedule.runUntil(9_000 + 4_000);
    t.deepEqual(disrupted.checker.violations, []);
});

test("a task that is over its target on a slow worker is not kept there by a neighbor", t => {
    const fixture = new Fixture({ heavyRatio: 0 });
    fixture.worker.setSlowness(10, 0);
    fixture.start(LATENCY_CRITICAL_TASK);
    fixture.start(BEST_EFFORT_TASK);
    fixture.schedule.runUntil(9_000);
    t.deepEqual(fixture.checker.violations, []);
});
