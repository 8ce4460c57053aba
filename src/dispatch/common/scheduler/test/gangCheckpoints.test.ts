import test from "ava";
import { SchedulerFixture } from "./schedulerFixture";
import { createStep } from "../../jobs/test/runs";
import { ListedRun } from "../../workers/workerMessages";

/** Time for which the gang is at work before one of its workers is lost, in ms. */
const WORK_MS = 12_000;

// Losses of runs that were at work for long do not count in a row, by which the member of the lost worker was told from the others.
test("a gang that was at work for long resumes from the checkpoint of a member whose worker was not lost", t => {
    const fixture = SchedulerFixture.create(createStep("x", false, { tasks: 2, mode: "gang", maxPerWorker: 1 }));
    fixture.advance(500);
    t.is(fixture.starts.length, 2);
    const runOf = (task: string, run: number): ListedRun => ({
        task,
        run,
        checkpoint: "before",
        percent: 50,
        latencyOrUsage: 0,
    });
    const starts = fixture.starts.splice(0);
    for (const { worker, order } of starts) {
        fixture.lists.set(worker, { incarnation: 1, running: [runOf(order.task, order.run)], ended: [] });
    }
    fixture.advance(WORK_MS);
    const lost = starts.find(({ order }) => order.task.endsWith(".0"))!;
    const other = starts.find(each => each !== lost)!;
    const { task, run } = other.order;
    const end = { number: 1, task, run, end: "broken" as const, checkpoint: "after" };
    fixture.lists.set(other.worker, { incarnation: 1, running: [], ended: [end] });
    fixture.lists.set(lost.worker, { incarnation: 2, running: [], ended: [] });
    fixture.advance(2_000);
    t.deepEqual(
        fixture.starts.map(({ order }) => order.checkpoint),
        ["after", "after"],
    );
});
