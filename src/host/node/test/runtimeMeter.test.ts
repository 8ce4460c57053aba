import test from "ava";
import { RuntimeMeter } from "../runtimeMeter";

const BUSY_MS = 200;

/** Creates garbage for some time, and lets the loop turn meanwhile. */
async function work(): Promise<void> {
    const until = performance.now() + BUSY_MS;
    let kept: object[] = [];
    while (performance.now() < until) {
        kept = [...kept.slice(-100), { at: performance.now(), text: "x".repeat(100) }];
        if (kept.length % 50 === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

test("what the process takes is measured from one call to the next", async t => {
    const meter = RuntimeMeter.create();
    const collections: number[] = [];
    meter.onDidCollect(ms => collections.push(ms));
    await work();
    await new Promise(resolve => setTimeout(resolve, 20));
    const use = meter.take();
    t.true(use.busyMs > 0 && use.cpuMs > 0 && use.gcMs > 0);
    t.is(
        use.gcMs,
        collections.reduce((sum, each) => sum + each, 0),
    );
    t.true(meter.take().cpuMs < use.cpuMs);
    meter.dispose();
});
