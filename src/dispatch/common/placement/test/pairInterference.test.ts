import test from "ava";
import { LatencyModel } from "../latencyModel";
import { PairInterference } from "../pairInterference";
import { createStep, createWorker, place, report, TARGET_MS } from "../../jobs/test/runs";

/** Share of the worker's CPU that a neighbor uses, and the variance of the rest of a report. */
const SHARE = 0.125;
const REPORT_VARIANCE = 0.05;

/** Loss of headroom when a heavy or light neighbor uses all CPU. */
const HEAVY = 14;
const LIGHT = 0.5;

/** Headroom of the latency-critical tasks beside nothing. */
const HEADROOM = 3;

function learn(estimate: PairInterference, actual: number, reports: number): void {
    for (let count = 0; count < reports; count++) {
        estimate.update((actual - estimate.mean) * SHARE, SHARE, REPORT_VARIANCE);
    }
}

/** Whether an estimate is nearer to the actual loss than to that of the other class. */
function isOfClass(estimate: PairInterference, actual: number): boolean {
    return estimate.mean > (LIGHT + HEAVY) / 2 === actual > (LIGHT + HEAVY) / 2;
}

test("four reports beside a pair tell whether it is light or heavy", t => {
    for (const actual of [LIGHT, HEAVY]) {
        const estimate = PairInterference.create();
        learn(estimate, actual, 4);
        t.true(isOfClass(estimate, actual), `${estimate.mean} instead of ${actual}`);
    }
});

test("a pair whose class was learned wrong changes it, but not with a single report", t => {
    for (const [learned, actual] of [
        [LIGHT, HEAVY],
        [HEAVY, LIGHT],
    ]) {
        const estimate = PairInterference.restore(learned, 0.01);
        learn(estimate, actual, 1);
        t.true(isOfClass(estimate, learned));
        learn(estimate, actual, 11);
        t.true(isOfClass(estimate, actual), `${estimate.mean} instead of ${actual}`);
    }
});

test("an estimate that is stored as mean and variance is restored", t => {
    for (const reports of [0, 1, 2, 10]) {
        for (const actual of [LIGHT, HEAVY]) {
            const estimate = PairInterference.create();
            learn(estimate, actual, reports);
            const restored = PairInterference.restore(estimate.mean, estimate.variance);
            t.true(Math.abs(restored.mean - estimate.mean) < 1, `${restored.mean} instead of ${estimate.mean}`);
        }
    }
});

test("load pattern: a heavy run ends within the period of a report, and the light one beside it is not blamed", t => {
    const model = LatencyModel.create([
        ["web", "heavy", HEAVY, 0.01],
        ["web", "light", LIGHT, 0.2],
    ]);
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const light = place(worker, "b", createStep("light", false));
    const reportAt = (now: number, headroom: number) => {
        report(latencyCritical, TARGET_MS / headroom, now);
        report(light, 8_000, now);
        model.update(worker, now);
    };
    let now = 0;
    for (; now <= 10_000; now += 500) {
        reportAt(now, HEADROOM - LIGHT * SHARE);
    }
    const before = model.interference("web", "light", 1);
    for (let count = 0; count < 4; count++) {
        const heavy = place(worker, `c${count}`, createStep("heavy", false));
        report(heavy, 8_000, now);
        reportAt((now += 500), HEADROOM - (LIGHT + HEAVY) * SHARE);
        worker.runs.delete(heavy.task.name);
        model.update(worker, now + 10);
        reportAt((now += 460), HEADROOM - LIGHT * SHARE - (HEAVY * SHARE * 3) / 4);
    }
    t.true(model.interference("web", "light", 1) < before + 1);
});
