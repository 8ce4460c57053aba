import test from "ava";
import { LeasedWorker } from "../../../standin/common/leasedWorker";
import { JobRuleChecker } from "../jobRuleChecker";
import { createWorkerEntry, simulateRun } from "../jobTrialPlan";
import { TrialSchedule } from "../trialSchedule";
import { CrashFault, createCrashSeries, WorkerCrashes } from "../workerCrashes";

const checker = JobRuleChecker.create(TrialSchedule.create());
const WORKERS = Array.from({ length: 30 }, (_, index) =>
    LeasedWorker.create(createWorkerEntry(index, `w${index}`, 0, `w${index}`), 0, 1, simulateRun, checker),
);

function draw(fault: CrashFault) {
    const crashed = WorkerCrashes.create(1).draw(fault, WORKERS);
    return { workers: new Set(crashed.map(each => each.worker)), downMs: new Set(crashed.map(each => each.downMs)) };
}

test("one worker crashes", t => {
    t.is(draw("crash-one-800ms").workers.size, 1);
});

test("a third of the workers crashes and is back at two times", t => {
    const { workers, downMs } = draw("crash-third-either");
    t.is(workers.size, 10);
    t.deepEqual(
        [...downMs].sort((a, b) => a - b),
        [800, 3_000],
    );
});

test("all workers of a rack crash", t => {
    const { workers, downMs } = draw("crash-rack-3s");
    const racks = new Set([...workers].map(each => each.entry.rack));
    t.is(racks.size, 1);
    t.deepEqual(workers, new Set(WORKERS.filter(each => racks.has(each.entry.rack))));
    t.deepEqual([...downMs], [3_000]);
});

test("nothing crashes without workers", t => {
    t.deepEqual(WorkerCrashes.create(1).draw("crash-rack-800ms", []), []);
});

test("crashes follow one another in turn", t => {
    t.deepEqual(createCrashSeries(["crash-one-3s", "crash-rack-3s"], 6_000, 2_000, 5_000), [
        [6_000, "crash-one-3s"],
        [8_000, "crash-rack-3s"],
        [10_000, "crash-one-3s"],
    ]);
});
