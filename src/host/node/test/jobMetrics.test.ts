import test from "ava";
import { JobMetrics } from "../jobMetrics";

test("calls are counted by outcome, with a histogram of their latency", async t => {
    const metrics = JobMetrics.create();
    metrics.recordCall("submit", "accepted", 30);
    metrics.recordCall("submit", "accepted", 300);
    metrics.recordCall("submit", "unavailable", 1);
    const text = await metrics.text();
    t.true(text.includes('wigeonstall_call_seconds_count{request="submit",answer="accepted"} 2'));
    t.true(text.includes('wigeonstall_call_seconds_bucket{le="0.05",request="submit",answer="accepted"} 1'));
    t.true(text.includes('wigeonstall_call_seconds_count{request="submit",answer="unavailable"} 1'));
});

test("calls that were answered with unavailable are counted by reason", async t => {
    const metrics = JobMetrics.create();
    metrics.recordUnavailable("submit", "store-late");
    metrics.recordUnavailable("submit", "store-late");
    metrics.recordUnavailable("read", "jobs-late");
    const text = await metrics.text();
    t.true(text.includes('wigeonstall_calls_unavailable_total{request="submit",reason="store-late"} 2'));
    t.true(text.includes('wigeonstall_calls_unavailable_total{request="read",reason="jobs-late"} 1'));
});

test("the wait is observed for the first start of a task only", async t => {
    const metrics = JobMetrics.create();
    // An order to start is no start: the worker may reject it, and the task is started elsewhere.
    metrics.recordDecision("run-started", { task: "a", waitedMs: 40 });
    metrics.recordDecision("run-started", { task: "a", waitedMs: 80 });
    metrics.recordStart({ waitedMs: 80, place: undefined });
    metrics.recordStart({ waitedMs: undefined, place: undefined });
    const text = await metrics.text();
    t.true(text.includes("wigeonstall_start_wait_seconds_count 1"));
    t.true(text.includes('wigeonstall_decisions_total{decision="run-started",outcome=""} 2'));
});

test("starts are counted by whether they are on the rack that the task prefers, with the wait for it", async t => {
    const metrics = JobMetrics.create();
    metrics.recordDecision("run-started", { task: "a", place: "near", placeReason: "room", placeWaitMs: 200 });
    metrics.recordStart({ waitedMs: undefined, place: { kind: "near", reason: "room", waitedMs: 300 } });
    metrics.recordStart({ waitedMs: undefined, place: { kind: "elsewhere", reason: "costly", waitedMs: 0 } });
    metrics.recordStart({ waitedMs: undefined, place: undefined });
    const text = await metrics.text();
    t.true(text.includes('wigeonstall_placed_tasks_total{place="near",reason="room"} 1'));
    t.true(text.includes('wigeonstall_placed_tasks_total{place="elsewhere",reason="costly"} 1'));
    t.true(text.includes('wigeonstall_place_wait_seconds_bucket{le="0.25",place="near"} 0'));
    t.true(text.includes('wigeonstall_place_wait_seconds_count{place="near"} 1'));
});

test("gauges read their value at each collection", async t => {
    const metrics = JobMetrics.create();
    let jobs = 1;
    metrics.addGauge("jobs", "Jobs that are known.", () => jobs);
    jobs = 7;
    t.true((await metrics.text()).includes("wigeonstall_jobs 7"));
});

test("the delay of the loop and the time that its work takes are measured", async t => {
    const metrics = JobMetrics.create();
    metrics.recordLoopDelay(30);
    metrics.recordLoopDelay(700);
    metrics.recordWork("pass", 20);
    metrics.recordWork("pass", 5);
    const text = await metrics.text();
    t.true(text.includes('wigeonstall_loop_delay_seconds_bucket{le="0.5"} 1'));
    t.true(text.includes("wigeonstall_loop_delay_seconds_count 2"));
    t.true(text.includes('wigeonstall_work_seconds_total{kind="pass"} 0.025'));
});

test("the time that orders wait for a connection is measured", async t => {
    const metrics = JobMetrics.create();
    metrics.recordOrderWait("stop", 300);
    t.true((await metrics.text()).includes('wigeonstall_order_wait_seconds_sum{order="stop"} 0.3'));
});

test("the bytes that are read are counted by stream", async t => {
    const metrics = JobMetrics.create();
    metrics.recordRead("operator", 350_000);
    metrics.recordRead("operator", 24);
    t.true((await metrics.text()).includes('wigeonstall_read_bytes_total{stream="operator"} 350024'));
});

test("the time of garbage collections is summed up", async t => {
    const metrics = JobMetrics.create();
    metrics.recordCollection(12);
    metrics.recordCollection(8);
    t.true((await metrics.text()).includes("wigeonstall_gc_seconds_total 0.02"));
});
