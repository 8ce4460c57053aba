import test from "ava";
import { LatencyModel } from "../../placement/latencyModel";
import { ThrottleController } from "../throttleController";
import { createStep, createWorker, place, report, TARGET_MS } from "../../jobs/test/runs";

test("runs that interfere are throttled, others keep their speed", t => {
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const heavy = place(worker, "b", createStep("heavy", false));
    const light = place(worker, "c", createStep("light", false));
    const model = LatencyModel.create([
        ["web", "heavy", 12, 0.01],
        ["web", "light", 0, 0.01],
    ]);
    const controller = ThrottleController.create(model, (run, percent) => run.setSpeed(percent, 1_000));
    report(latencyCritical, TARGET_MS, 1_000);
    report(heavy, 8_000, 1_000);
    report(light, 8_000, 1_000);
    model.update(worker, 1_000);
    controller.review(worker, 1_000);
    t.true(heavy.speedPercent < 100);
    t.is(light.speedPercent, 100);
});

test("runs next to a task that stays over its target are throttled to 0, even if the model predicts no interference", t => {
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const neighbor = place(worker, "b", createStep("unknown", false));
    const model = LatencyModel.create([["web", "unknown", 0, 0]]);
    const controller = ThrottleController.create(model, (run, percent) => run.setSpeed(percent, 0));
    for (let now = 1_000; now <= 3_000; now += 500) {
        report(latencyCritical, TARGET_MS * 1.05, now);
        report(neighbor, 8_000, now);
        controller.review(worker, now);
    }
    t.is(neighbor.speedPercent, 0);
});

test("a task that is always reported at its target counts as over it, since reports are rounded", t => {
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const neighbor = place(worker, "b", createStep("unknown", false));
    const controller = ThrottleController.create(LatencyModel.create([["web", "unknown", 10, 0]]), (run, percent) =>
        run.setSpeed(percent, 0),
    );
    for (let now = 1_000; now <= 3_000; now += 500) {
        report(latencyCritical, TARGET_MS, now);
        report(neighbor, 8_000, now);
        controller.review(worker, now);
    }
    t.is(neighbor.speedPercent, 0);
});

test("a speed that the worker may not have applied is ordered again", t => {
    const worker = createWorker();
    const run = place(worker, "b", createStep("batch", false));
    const ordered: number[] = [];
    const controller = ThrottleController.create(LatencyModel.create(), (each, percent) => {
        ordered.push(percent);
        each.setSpeed(percent, 0);
    });
    run.fire("accepted", { now: 0 });
    run.isSpeedConfirmed = false;
    controller.review(worker, 1_000);
    controller.review(worker, 2_000);
    t.deepEqual(ordered, [100]);
});

test("an excluded worker is tried again although long-running tasks run there", t => {
    const worker = createWorker();
    place(worker, "a", createStep("web", true));
    worker.updateClock(1_000, 1_000, 1_000);
    for (let failures = 0; failures < 3; failures++) {
        worker.trust.recordFailure({ now: 1_000, familyFailureRate: 0 });
    }
    t.false(worker.isUsable(1_000));
    worker.updateClock(60_000, 60_000, 60_000);
    worker.giveUpRuns(60_000);
    worker.trust.tick(60_000);
    t.true(worker.isUsable(60_000));
});

test("speeds stay between 0 and 100 percent when little headroom is left", t => {
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const neighbors = ["b", "c", "d"].map(id => place(worker, id, createStep("heavy", false)));
    const model = LatencyModel.create([["web", "heavy", 3, 0.01]]);
    const ordered: number[] = [];
    const controller = ThrottleController.create(model, (run, percent) => {
        ordered.push(percent);
        run.setSpeed(percent, 1_000);
    });
    report(latencyCritical, TARGET_MS / 1.3, 1_000);
    neighbors.forEach(run => report(run, 1_000, 1_000));
    model.update(worker, 1_000);
    controller.review(worker, 1_000);
    t.true(ordered.length > 0);
    t.true(ordered.every(percent => percent >= 0 && percent <= 100));
});

test("a run that is stopped by an outdated estimate of its interference gets some speed again", t => {
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const neighbor = place(worker, "b", createStep("batch", false));
    const model = LatencyModel.create([["web", "batch", 30, 0.01]]);
    neighbor.setSpeed(0, 0);
    let maxSpeed = 0;
    const controller = ThrottleController.create(model, (run, percent) => run.setSpeed(percent, 0));
    for (let now = 500; now <= 120_000; now += 500) {
        // The neighbor does not interfere at all: the tail is the same at any speed.
        report(latencyCritical, TARGET_MS / 1.6, now);
        report(neighbor, (8_000 * neighbor.speedPercent) / 100, now);
        model.update(worker, now);
        controller.review(worker, now);
        maxSpeed = Math.max(maxSpeed, neighbor.speedPercent);
    }
    t.log(`estimate ${model.interference("web", "batch", 1)}, speed ${maxSpeed}`);
    t.true(maxSpeed > 0);
});
