import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { DecisionEffect } from "../../scheduler/dispatchEffects";
import { EvacuationTable } from "../evacuationTable";
import { StartAdmission } from "../../runs/startAdmission";
import { createWorker } from "../../jobs/test/runs";

/** @returns An admission, and the data of its log lines of one name. */
function createAdmission(evacuations = EvacuationTable.create()) {
    const outbox = Outbox.create<DecisionEffect>();
    const admission = StartAdmission.create(QueueTable.create(), evacuations, () => undefined, outbox);
    const lines = (name: string) =>
        outbox
            .drain()
            .filter(each => each.name === name)
            .map(each => each.data);
    return { admission, lines };
}

/** @returns A worker that has answered and whose capacity is known. */
function createReachable(id: string) {
    const worker = createWorker(id);
    worker.updateClock(10_000, 0, 0);
    worker.entryWrittenAfter = 0;
    return worker;
}

test("workers that are alive and left out of a pass are counted by cause", t => {
    const [usable, full, unknown, leaving] = ["w1", "w2", "w3", "w4"].map(createReachable);
    full.backOff("no-room", 0);
    unknown.entryWrittenAfter = undefined;
    leaving.isRegistered = false;
    const { admission } = createAdmission();
    const passed = admission.usableWorkers([usable, full, unknown, leaving, createWorker("w5")], 0);
    t.deepEqual(passed, [usable]);
    t.deepEqual(admission.latestCounts, { alive: 4, usable: 1, rejecting: 1, capacityUnknown: 1, uncontacted: 1 });
});

test("the workers left out are logged every 5 s as means over the passes", t => {
    const worker = createReachable("w1");
    const { admission, lines } = createAdmission();
    admission.usableWorkers([worker], 0);
    t.deepEqual(lines("workers-left-out"), [{ passes: 1, alive: 1, usable: 1 }]);
    admission.usableWorkers([worker], 1_000);
    worker.backOff("unhealthy", 2_000);
    admission.usableWorkers([worker], 2_000);
    t.deepEqual(lines("workers-left-out"), []);
    admission.usableWorkers([worker], 3_100);
    admission.usableWorkers([createWorker("w2")], 5_000);
    t.deepEqual(lines("workers-left-out"), [{ passes: 4, alive: 1, usable: 0.5, rejecting: 0.3, uncontacted: 0.3 }]);
});

test("a worker that keeps too many ends is counted", t => {
    const worker = createReachable("w1");
    const { admission } = createAdmission();
    const end = { number: 1, task: "x.0.0.0", run: 1, end: "done" as const, checkpoint: "" };
    worker.updateKeptEnds(Array.from({ length: 250 }, () => end));
    admission.usableWorkers([worker], 2_000);
    t.deepEqual(admission.latestCounts, { alive: 1, manyEnds: 1 });
});

test("workers of an evacuated domain get no tasks, and are counted apart from those that are alive", t => {
    const evacuations = EvacuationTable.create();
    const { admission } = createAdmission(evacuations);
    const workers = ["w1", "w2", "w3"].map(createReachable);
    workers[2].isRegistered = false;
    const { failureDomain } = workers[0].entry;
    evacuations.set({ failureDomain, isEvacuated: true });
    t.deepEqual(admission.usableWorkers(workers, 0), []);
    t.deepEqual(admission.latestCounts, { evacuated: 2 });
    evacuations.retain(new Set());
    t.deepEqual(admission.usableWorkers(workers, 0), workers.slice(0, 2));
    t.deepEqual(admission.latestCounts, { alive: 2, usable: 2 });
});
