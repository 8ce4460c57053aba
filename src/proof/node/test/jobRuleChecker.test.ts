import test from "ava";
import { JobDraft } from "../../../jobs/common/jobCall";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { JobRuleChecker } from "../jobRuleChecker";
import { createDraft, createWorkerEntry, QUEUE, simulateRun } from "../jobTrialPlan";
import { Random } from "../random";
import { TrialSchedule } from "../trialSchedule";

const DEADLY_TASK = "1.0.0.0";
const OTHER_TASK = "2.0.0.0";

/** A checker that knows a job with a deadly task and another one, and a worker that crashes under the tasks it runs. */
class Fixture {
    readonly checker = JobRuleChecker.create(TrialSchedule.create());
    private readonly draft: JobDraft = createDraft(Random.create(1));
    private runCount = 0;

    constructor() {
        this.checker.recordSubmission({ id: "1", queue: QUEUE, acceptedAtMs: 0, ...this.draft }, DEADLY_TASK);
        this.checker.recordSubmission({ id: "2", queue: QUEUE, acceptedAtMs: 0, ...this.draft });
    }

    crashUnder(tasks: readonly string[]): void {
        this.runCount += 1;
        const worker = LeasedWorker.create(createWorkerEntry(0, "w0", 0, "w0"), 0, 1, simulateRun, this.checker);
        tasks.forEach(task => {
            worker.start({ task, run: this.runCount, payload: "", validUntil: 1_000, epoch: 1, checkpoint: "" }, 0);
        });
        this.checker.recordCrash(worker);
        worker.crash();
    }

    get rules(): string[] {
        return this.checker.violations.map(each => each.rule);
    }
}

test("a job may be shown as failed after two crashes under its deadly task, not after one", t => {
    const fixture = new Fixture();
    fixture.crashUnder([DEADLY_TASK]);
    fixture.checker.onStateReturned("1", "failed");
    t.deepEqual(fixture.rules, ["shown-done"]);
    fixture.crashUnder([DEADLY_TASK]);
    fixture.checker.onStateReturned("1", "failed");
    t.deepEqual(fixture.rules, ["shown-done"]);
});

test("a job that only shared workers with a deadly task may not be shown as failed", t => {
    const fixture = new Fixture();
    fixture.crashUnder([DEADLY_TASK, OTHER_TASK]);
    fixture.crashUnder([DEADLY_TASK, OTHER_TASK]);
    t.is(fixture.checker.sharedCrashes, 1);
    fixture.checker.onStateReturned("2", "failed");
    t.deepEqual(fixture.rules, ["shown-done"]);
});

test("the third start after three crashes under a task breaks its budget", t => {
    const fixture = new Fixture();
    for (let start = 1; start <= 5; start++) {
        fixture.crashUnder([DEADLY_TASK, OTHER_TASK]);
    }
    t.deepEqual(fixture.rules, []);
    fixture.crashUnder([DEADLY_TASK, OTHER_TASK]);
    t.deepEqual(fixture.rules, ["crash-budget"]);
});
