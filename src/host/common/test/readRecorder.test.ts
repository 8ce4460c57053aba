import test from "ava";
import { ReadRecorder } from "../readRecorder";

test("what was read is reported by stream, with the slowest transfer", t => {
    const recorder = ReadRecorder.create();
    t.is(recorder.takeReport(0), undefined);
    recorder.record("jobs", { bytes: 100, durationMs: 1 });
    recorder.record("operator", { bytes: 350_000, durationMs: 1_200.4 });
    recorder.record("progress-1", { bytes: 10, durationMs: 2 });
    recorder.record("progress", { bytes: 5, durationMs: 2 });
    t.is(recorder.takeReport(4_999), undefined);
    t.deepEqual(recorder.takeReport(5_000), {
        overMs: 5_000,
        reads: 4,
        jobsBytes: 100,
        operatorBytes: 350_000,
        progressBytes: 15,
        slowest: "operator",
        slowestMs: 1_200,
    });
});

test("each report begins with the one before", t => {
    const recorder = ReadRecorder.create();
    recorder.takeReport(0);
    recorder.record("workers", { bytes: 100, durationMs: 30 });
    recorder.takeReport(5_000);
    recorder.record("workers", { bytes: 7, durationMs: 3 });
    t.deepEqual(recorder.takeReport(10_000), {
        overMs: 5_000,
        reads: 1,
        workersBytes: 7,
        slowest: "workers",
        slowestMs: 3,
    });
});
