import test from "ava";
import { Candidate } from "../candidate";
import { FamilySpread } from "../familySpread";
import { InterferenceModel } from "../interferenceModel";
import { LearnedPlacement } from "../learnedPlacement";
import { LearnedUsage } from "../learnedUsage";
import { DEFAULT_WEIGHTS } from "../policyWeights";
import { Task } from "../task";
import { WorkerTrust } from "../workerTrust";

const REQUEST = {
    key: "k",
    team: "t",
    family: "loud",
    urgency: "normal",
    idempotency: "idempotent",
    cpus: 2,
    memoryGb: 2,
    accelerators: 0,
    durationMs: 1_000,
    dueAt: 0,
    payload: "",
} as const;

const TASK: Task = {
    number: 1,
    request: REQUEST,
    submittedAt: 0,
    state: "queued",
    attempts: 0,
    evictions: 0,
    checkpoint: "",
    result: "",
    assignment: undefined,
    failedOn: [],
    lossesInARow: 0,
};

function candidate(worker: string, services: Candidate["services"]): Candidate {
    return {
        worker,
        rack: "r",
        failureDomain: "d",
        capacity: { slots: 8, connections: 64, cpus: 64, memoryGb: 64, accelerators: 0 },
        freeSlots: 8,
        free: { cpus: 60, memoryGb: 60, accelerators: 0 },
        batch: [],
        services,
        serviceUtilization: 0,
        spread: FamilySpread.create(),
    };
}

test("interference is attributed to the class that causes it, despite noise in the measurements", t => {
    const model = InterferenceModel.create();
    for (let index = 0; index < 600; index++) {
        const loud = index % 3;
        const calm = (index * 7) % 4;
        const noise = ((index * 13) % 11) / 100 - 0.05;
        const slowdown = Math.exp(0.4 * loud + noise);
        model.observe("quotes", slowdown, [
            { name: "loud", load: loud },
            { name: "calm", load: calm },
        ]);
    }
    t.true(Math.abs(model.effect("quotes", "loud") - 0.4) < 0.1, String(model.effect("quotes", "loud")));
    t.true(model.effect("quotes", "calm") < 0.08, String(model.effect("quotes", "calm")));
});

test("a pair without observations is estimated from the aggressor's other pairs", t => {
    const model = InterferenceModel.create();
    for (let index = 0; index < 300; index++) {
        model.observe("quotes", Math.exp(0.5), [{ name: "loud", load: 1 }]);
    }
    t.true(model.effect("proofs", "loud") > model.effect("proofs", "unknown"));
});

test("a task is kept away from a service that it slows down when tail latency has the highest weight", t => {
    const model = InterferenceModel.create();
    for (let index = 0; index < 300; index++) {
        model.observe("quotes", Math.exp(0.5), [{ name: "loud", load: 1 }]);
        model.observe("archive", 1.001, [{ name: "loud", load: 1 }]);
    }
    const policy = LearnedPlacement.create(model, () => ({ tailLatency: 10, throughput: 1, evictions: 1 }));
    const near = candidate("near", [{ name: "quotes", load: 3 }]);
    const far = candidate("far", [{ name: "archive", load: 3 }]);
    t.is(policy.choose(TASK, REQUEST, [near, far])?.worker, "far");
});

test("a family is spread over racks and failure domains", t => {
    const policy = LearnedPlacement.create(InterferenceModel.create(), () => DEFAULT_WEIGHTS);
    const spread = FamilySpread.create();
    spread.add("loud", "r", "d");
    const taken = { ...candidate("taken", []), spread };
    const other = { ...candidate("other", []), spread, rack: "r2", failureDomain: "d2" };
    t.is(policy.choose(TASK, REQUEST, [taken, other])?.worker, "other");
});

test("reservations follow reported usage rather than a wrong declaration, and cover the usage", t => {
    const model = LearnedUsage.create();
    t.is(model.reserve(REQUEST, []).cpus, 2);
    for (let index = 0; index < 200; index++) {
        model.observe("loud", { cpus: 9 + (index % 2), memoryGb: 1 });
    }
    const { cpus, memoryGb } = model.reserve(REQUEST, []);
    t.true(cpus >= 9.5 && cpus < 13, String(cpus));
    t.true(memoryGb < 2, String(memoryGb));
});

test("a model that must not reserve less than the declaration keeps unused declared memory", t => {
    const model = LearnedUsage.create(() => false);
    for (let index = 0; index < 200; index++) {
        model.observe("loud", { cpus: 9, memoryGb: 1 });
    }
    t.true(model.reserve(REQUEST, []).cpus > 8);
    t.is(model.reserve(REQUEST, []).memoryGb, 2);
});

test("a worker is excluded for failing tasks that succeed elsewhere, not for tasks that fail everywhere", t => {
    const bad = WorkerTrust.create();
    const good = WorkerTrust.create();
    for (let index = 0; index < 5; index++) {
        bad.recordFailure({ now: index, familyFailureRate: 0 });
        good.recordFailure({ now: index, familyFailureRate: 0.95 });
    }
    t.is(bad.state, "excluded");
    t.is(good.state, "trusted");
    bad.tick(40_000);
    t.is(bad.state, "trial");
    bad.recordSuccess(40_001);
    t.is(bad.state, "trusted");
});

test("a task whose declaration fits on a worker is not kept out by what was learned of a family with uneven usage", t => {
    const largestWorker = { cpus: 16, memoryGb: 64, accelerators: 0 };
    const request = { ...REQUEST, memoryGb: 60 };
    const model = LearnedUsage.create();
    for (let index = 0; index < 200; index++) {
        model.observe(request.family, { cpus: 2, memoryGb: index % 2 === 0 ? 5 : 60 });
    }
    // A task that is not placed is not measured, so the estimate never changes again.
    const { memoryGb } = model.reserve(request, [largestWorker]);
    t.true(memoryGb <= largestWorker.memoryGb, String(memoryGb));
});
