import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { MeasuredWork, WorkClock } from "../workClock";

test.serial("work within other work counts once", t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const meter = WorkClock.create<"outer" | "inner">();
    const work: MeasuredWork<"outer" | "inner">[] = [];
    meter.onDidWork(each => work.push(each));
    const result = meter.measure("outer", () => {
        clock.tick(10);
        meter.measure("inner", () => clock.tick(5));
        meter.measure("inner", () => clock.tick(3));
        clock.tick(1);
        return "done";
    });
    t.is(result, "done");
    t.is(meter.lastMs("inner"), 3);
    t.is(meter.lastMs("outer"), 11);
    t.deepEqual(work, [
        { kind: "inner", durationMs: 5 },
        { kind: "inner", durationMs: 3 },
        { kind: "outer", durationMs: 11 },
    ]);
});

test.serial("work that throws is measured", t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const meter = WorkClock.create<"bad">();
    const work: MeasuredWork<"bad">[] = [];
    meter.onDidWork(each => work.push(each));
    t.throws(() =>
        meter.measure("bad", () => {
            clock.tick(2);
            throw new Error("bad");
        }),
    );
    t.deepEqual(work, [{ kind: "bad", durationMs: 2 }]);
});
