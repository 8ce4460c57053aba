import test from "ava";
import { createStep, createWorker, place, readingOf } from "../../jobs/test/runs";

test("a worker on trial is not left unused because a best-effort run there makes no progress", t => {
    const worker = createWorker();
    worker.updateClock(1_000, 0, 0);
    const run = place(worker, "a", createStep("batch", false));
    run.fire("accepted", { now: 0 });
    run.setSpeed(0, 0);
    t.true(worker.isUsable(0));
    for (let failure = 0; failure < 3; failure++) {
        worker.trust.recordFailure({ now: 0, familyFailureRate: 0 });
    }
    worker.trust.tick(30_000);
    t.is(worker.trust.state, "trial");
    t.true(worker.isUsable(600_000));
});

test("a worker on trial runs one task at a time, also if that one is a best-effort run with some speed", t => {
    const worker = createWorker();
    worker.updateClock(1_000, 0, 0);
    for (let failure = 0; failure < 3; failure++) {
        worker.trust.recordFailure({ now: 0, familyFailureRate: 0 });
    }
    worker.trust.tick(30_000);
    const run = place(worker, "a", createStep("batch", false));
    run.fire("accepted", { now: 30_000 });
    t.false(worker.isUsable(30_000));
    run.setSpeed(5, 30_000);
    t.false(worker.isUsable(30_000));
    // Until the order is known to have arrived, the run may be at any speed.
    run.setSpeed(0, 30_000);
    run.isSpeedConfirmed = false;
    t.false(worker.isUsable(30_000));
});

test("an answer that is handled late does not shorten the starts that follow", t => {
    const [onTime, late] = [createWorker(), createWorker()];
    onTime.updateClock(10_000, 9_990, 10_000);
    late.updateClock(10_000, 9_990, 11_000, 10_000);
    t.is(late.clockReadingIn(1_500, 11_000), onTime.clockReadingIn(1_500, 11_000));
});

test("the rack of a run that an earlier leader started is known once the entry of its worker is read", t => {
    const worker = createWorker("w1", { rack: "" });
    const run = place(worker, "a", createStep("x", false));
    t.is(run.rack, "");
    worker.updateEntry(readingOf({ ...worker.entry, rack: "r7" }, 100), 100);
    t.is(run.rack, "r7");
});
