import test from "ava";
import { ActiveJob } from "../../jobs/activeJob";
import { BestEffortPolicy } from "../bestEffortPolicy";
import { LatencyModel } from "../latencyModel";
import { PlacementOffer } from "../placementPolicy";
import { RejectionTable } from "../rejectionTable";
import { Task } from "../../jobs/task";
import { createJob, createStep, createWorker, place, report, TARGET_MS } from "../../jobs/test/runs";

/** Time between two reports, in ms. */
const REPORT_INTERVAL_MS = 500;

/** Priority of tasks that are less urgent than the latency-critical ones, which have 0. */
const LOWER_PRIORITY = 2;

function createTask(priority: number): Task {
    const job: ActiveJob = createJob("b", createStep("batch", false), 0, priority);
    return [...job.tasks()][0];
}

const MODEL = LatencyModel.create([["web", "batch", 3, 0.01]]);

/** @returns What a worker offers beside a latency-critical task with this headroom, whose load had the same recent peak in all tests. */
function offerBeside(priority: number, headroom: number, spreadRatio: number): PlacementOffer {
    const worker = createWorker();
    const [image, cpuMillis] = ["web", 8_000];
    const neighbor = { image, cpuMillis, priority: 0, headroom, declinePerS: 0, minHeadroom: 1.6, spreadRatio };
    const forecast = { freeCapacity: worker.freeCapacity(), latencyCritical: [neighbor] };
    return BestEffortPolicy.create(MODEL).assess(createTask(priority), worker, forecast);
}

test("load pattern: the load of a task jumps within seconds, and a task of a lower priority leaves it headroom for that", t => {
    const limits = [0, LOWER_PRIORITY].map(priority =>
        [0.02, 0.15].map(spreadRatio => offerBeside(priority, 1.6, spreadRatio).limit),
    );
    t.deepEqual(limits, [
        [undefined, undefined],
        [undefined, "interference"],
    ]);
});

test("load pattern: of two jobs with the same peak, a task of a lower priority goes beside the one whose load is low now", t => {
    const [atPeak, pastPeak] = [1.9, 3].map(headroom => offerBeside(LOWER_PRIORITY, headroom, 0.15).cost);
    t.true(atPeak > pastPeak);
    t.is(offerBeside(0, 1.9, 0.15).cost, offerBeside(0, 3, 0.15).cost);
});

test("reports that jump widen the spread of a job", t => {
    const [steady, jumping] = [0.01, 0.3].map(ratio => {
        const model = LatencyModel.create();
        const worker = createWorker();
        const run = place(worker, "web", createStep("web", true));
        for (let count = 1; count <= 100; count++) {
            report(run, TARGET_MS / (2 + 2 * (count % 4 === 0 ? ratio : 0)), count * REPORT_INTERVAL_MS);
            model.update(worker, count * REPORT_INTERVAL_MS);
        }
        return model.spreadRatio(run);
    });
    t.true(steady < 0.1 && jumping > 0.1, `${steady}, ${jumping}`);
});

test("a task of a higher priority is searched for although a less urgent one found no worker", t => {
    const rejections = RejectionTable.create();
    rejections.add(createTask(LOWER_PRIORITY), "svc", 100);
    t.true(rejections.covers(createTask(LOWER_PRIORITY), "svc", 100));
    t.false(rejections.covers(createTask(0), "svc", 100));
});
