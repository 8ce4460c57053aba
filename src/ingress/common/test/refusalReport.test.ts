import test from "ava";
import { RefusalReport } from "../refusalReport";

test("a reason is reported at once, and then at most once in ten seconds with the number since", t => {
    const report = RefusalReport.create();
    const refusal = { port: "calls", reason: "slow-request" } as const;
    report.record(refusal);
    t.deepEqual(report.take(0), [{ ...refusal, count: 1 }]);
    for (let now = 100; now < 10_000; now += 100) {
        report.record(refusal);
        t.deepEqual(report.take(now), []);
    }
    t.deepEqual(report.take(10_000), [{ ...refusal, count: 99 }]);
    t.deepEqual(report.take(30_000), []);
});
