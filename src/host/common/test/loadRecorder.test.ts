import test from "ava";
import { LoadRecorder } from "../loadRecorder";

test("a report has the delays and the work since the one before", t => {
    const recorder = LoadRecorder.create();
    for (let now = 0; now < 5_000; now += 100) {
        recorder.recordDelay(now === 1_200 || now === 1_400 || now === 3_000 ? 600 : 20, now);
    }
    recorder.recordWork("pass", 40);
    recorder.recordWork("pass", 2.4);
    recorder.recordWork("start-answer", 3);
    recorder.recordWork("stop-answer", 4);
    [300, 20].forEach(ms => recorder.recordOrderWait("stop", ms));
    t.is(recorder.takeReport(4_900), undefined);
    t.deepEqual(recorder.takeReport(5_000), {
        overMs: 5_000,
        medianMs: 20,
        p99Ms: 600,
        mostMs: 600,
        halfSeconds: 10,
        lateHalfSeconds: 2,
        passMs: 42,
        otherMs: 7,
        stopWaitMs: 300,
    });
    t.is(recorder.takeReport(10_000), undefined);
});

test("a report has the starts in flight of a loop that schedules", t => {
    const recorder = LoadRecorder.create();
    recorder.recordDelay(0, 0);
    const report = recorder.takeReport(5_000, { inFlight: 20, window: 32, tookMs: 180.4 });
    t.like(report, { startsInFlight: 20, startWindow: 32, startMs: 180 });
    recorder.recordDelay(0, 5_000);
    t.false("startMs" in recorder.takeReport(10_000, { inFlight: 0, window: 128, tookMs: undefined })!);
});

test("a report has what the process took and the bytes that were sent", t => {
    const recorder = LoadRecorder.create();
    recorder.recordDelay(0, 0);
    recorder.recordSent("start", 1_000);
    recorder.recordSent("start", 500);
    recorder.recordSent("append", 200);
    recorder.recordSent("read", 0);
    t.like(
        recorder.takeReport(5_000, undefined, () => ({ busyMs: 1_234.4, cpuMs: 600.2, gcMs: 80.6 })),
        {
            busyMs: 1_234,
            cpuMs: 600,
            gcMs: 81,
            startBytes: 1_500,
            appendBytes: 200,
            requests: 4,
        },
    );
    recorder.recordDelay(0, 5_000);
    t.false("startBytes" in recorder.takeReport(10_000)!);
});

test("what was recorded before a reset is not reported", t => {
    const recorder = LoadRecorder.create();
    recorder.recordDelay(900, 0);
    recorder.recordWork("tick", 10);
    recorder.reset();
    recorder.recordDelay(0, 1_000);
    const report = recorder.takeReport(6_000);
    t.is(report?.mostMs, 0);
    t.is(report?.tickMs, undefined);
});
