import test from "ava";
import { StoreLatency } from "../storeLatency";

test("calls that are slower than the shortest one show a slow store, and are forgotten within seconds", t => {
    const latency = StoreLatency.create();
    t.is(latency.shortestMs, undefined);
    t.is(latency.excessMs(0), 0);
    latency.record(4, 0);
    latency.record(368, 1_000);
    t.is(latency.shortestMs, 4);
    t.is(latency.excessMs(1_000), 364);
    latency.record(4, 2_000);
    t.is(latency.excessMs(2_000), 182);
    t.true(latency.excessMs(8_000) < 4);
});

test("a call that waited for seconds counts as half a second", t => {
    const latency = StoreLatency.create();
    latency.record(4, 0);
    latency.record(2_000, 0);
    t.is(latency.excessMs(0), 500);
});
