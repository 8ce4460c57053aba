import test from "ava";
import { DelayReport, LoopDelay } from "../loopDelay";

const TICK_MS = 25;

/** Records ticks that are handled late for a while. @returns The time after the last. */
function recordTicks(delay: LoopDelay, from: number, durationMs: number, delayMs: number): number {
    for (let now = from; now < from + durationMs; now += TICK_MS) {
        delay.record(now - delayMs, now);
    }
    return from + durationMs;
}

test("the summary has the median and the largest delay of the latest events", t => {
    const delay = LoopDelay.create();
    t.deepEqual(delay.summary, { medianMs: 0, mostMs: 0 });
    [10, 30, 20].forEach((ms, index) => delay.record(1_000 + index - ms, 1_000 + index));
    t.deepEqual(delay.summary, { medianMs: 20, mostMs: 30 });
    delay.record(4_000, 4_005);
    t.deepEqual(delay.summary, { medianMs: 5, mostMs: 5 });
});

test("the summary is that of the latest 256 delays within 2 s, whatever their order", t => {
    const delay = LoopDelay.create();
    const recorded: { readonly at: number; readonly ms: number }[] = [];
    for (let index = 0; index < 2_000; index++) {
        // Events follow each other closely, then rarely.
        const now = index < 1_500 ? index * 4 : 6_000 + (index - 1_500) * 30;
        const ms = (index * 7_919) % 701;
        recorded.push({ at: now, ms });
        delay.record(now - ms, now);
        if (index % 50 === 0) {
            const kept = recorded.slice(-256).filter(each => now - each.at <= 2_000);
            const sorted = kept.map(each => each.ms).sort((a, b) => a - b);
            const medianMs = sorted[Math.floor((sorted.length - 1) / 2)];
            t.deepEqual(delay.summary, { medianMs, mostMs: sorted[sorted.length - 1] });
        }
    }
});

test("an event that is handled before it is due has no delay", t => {
    const delay = LoopDelay.create();
    delay.record(1_000, 990);
    t.is(delay.summary.mostMs, 0);
});

test("the loop is late while half of the events are, and on time again when nearly none is", t => {
    const delay = LoopDelay.create();
    const reports: DelayReport[] = [];
    delay.onDidChange(report => reports.push(report));
    let now = recordTicks(delay, 0, 3_000, 5);
    t.is(delay.state, "on-time");
    now = recordTicks(delay, now, 3_000, 150);
    t.is(delay.state, "late");
    // Between the two bounds, the state stays.
    now = recordTicks(delay, now, 3_000, 70);
    t.is(delay.state, "late");
    recordTicks(delay, now, 3_000, 10);
    t.is(delay.state, "on-time");
    t.deepEqual(
        reports.map(report => report.state),
        ["late", "on-time"],
    );
    t.true(reports[1].afterMs > 5_000 && reports[1].afterMs < 7_000);
});

test("one long delay suffices to be late", t => {
    const delay = LoopDelay.create();
    const now = recordTicks(delay, 0, 1_000, 0);
    delay.record(now - 600, now);
    t.is(delay.state, "late");
});

test("each delay is reported", t => {
    const delay = LoopDelay.create();
    const delays: number[] = [];
    delay.onDidRecord(ms => delays.push(ms));
    delay.record(10, 15);
    delay.record(20, 20);
    t.deepEqual(delays, [5, 0]);
});
