import test from "ava";
import { ActiveJob } from "../../jobs/activeJob";
import { IdleReport, IdleReporter } from "../idleReporter";
import { createBestEffort, createWorker, place, report } from "../../jobs/test/runs";

const PASS_INTERVAL_MS = 100;

function reviewFor(reporter: IdleReporter, jobs: readonly ActiveJob[], from: number, until: number): void {
    for (let now = from; now < until; now += PASS_INTERVAL_MS) {
        reporter.review(jobs, now);
    }
}

test("a job whose runs are all at 0% is told from one without a run", t => {
    const reporter = IdleReporter.create();
    const reports: IdleReport[] = [];
    reporter.onDidReview(each => reports.push(each));
    const worker = createWorker();
    const paused = place(worker, "paused", createBestEffort({}));
    const idle = place(worker, "idle", createBestEffort({}));
    const working = place(worker, "working", createBestEffort({}));
    const jobs = [paused, idle, working].map(run => run.task.job);
    idle.task.run = undefined;
    paused.setSpeed(0, 0);
    for (let now = 0; now <= 6_000; now += 500) {
        report(paused, 0, now);
        report(working, 0, now);
        reviewFor(reporter, jobs, now, now + 500);
    }
    t.is(reports.length, 2);
    const { jobs: count, idle: idleCount, paused: pausedCount, idleJob, pausedJob } = reports[1];
    t.deepEqual([count, idleCount, pausedCount], [3, 1, 1]);
    t.deepEqual([idleJob, pausedJob], ["idle", "paused"]);
    t.is(reports[1].idleMs, 5_000);
    t.is(reports[1].pausedMs, 5_000);
});
