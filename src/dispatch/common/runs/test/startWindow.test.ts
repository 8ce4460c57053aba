import test from "ava";
import { StartWindow } from "../startWindow";

const MOST = 128;

const TOO_LATE = { outcome: "too-late", tookMs: 1_500 } as const;

/** Records starts that were carried out, evenly over 2 s. @returns The time (ms) of the last one. */
function recordStarts(window: StartWindow, count: number, tookMs: number): number {
    for (let index = 1; index <= count; index++) {
        window.recordAnswer({ outcome: "done", tookMs }, MOST, (index * 2_000) / count);
    }
    return 2_000;
}

test("a late start halves the number of starts in flight, and each start in time raises it a little", t => {
    const window = StartWindow.create();
    t.is(window.limitOf(MOST), 128);
    window.recordAnswer(TOO_LATE, MOST, 0);
    t.is(window.limitOf(MOST), 64);
    for (let index = 0; index < 20; index++) {
        window.recordAnswer({ outcome: "done", tookMs: 100 }, MOST, index);
    }
    t.is(window.limitOf(MOST), 74);
    for (let index = 0; index < 500; index++) {
        window.recordAnswer({ outcome: "done", tookMs: 100 }, MOST, index);
    }
    t.is(window.limitOf(MOST), 128);
});

test("late starts that were sent before the number was lowered do not lower it again", t => {
    const window = StartWindow.create();
    [0, 100, 1_400].forEach(now => window.recordAnswer(TOO_LATE, MOST, now));
    t.is(window.limitOf(MOST), 64);
    window.recordAnswer(TOO_LATE, MOST, 1_500);
    t.is(window.limitOf(MOST), 32);
});

test("some starts are sent, however many came too late", t => {
    const window = StartWindow.create();
    for (let now = 0; now < 60_000; now += 1_500) {
        window.recordAnswer(TOO_LATE, MOST, now);
    }
    t.is(window.limitOf(MOST), 8);
});

test("starts that wait for a late loop are not sent as long as they would wait", t => {
    const window = StartWindow.create();
    const now = recordStarts(window, 200, 1_200);
    window.review({ delayMs: 525, intervalMs: 100 }, now);
    // 100 starts a second; of 1.2 s, each waits 0.4 s too long for the loop, and that twice.
    t.is(window.limitOf(MOST), 50);
});

test("a slow network does not lower the number of starts in flight while the loop is on time", t => {
    const window = StartWindow.create();
    const now = recordStarts(window, 200, 1_200);
    window.review({ delayMs: 40, intervalMs: 100 }, now);
    t.is(window.limitOf(MOST), 128);
});

test("the number of starts in flight rises again when starts are quick", t => {
    const window = StartWindow.create();
    const now = recordStarts(window, 200, 1_200);
    window.review({ delayMs: 500, intervalMs: 100 }, now);
    for (let index = 0; index < 1_000; index++) {
        window.recordAnswer({ outcome: "done", tookMs: 100 }, MOST, now + index);
    }
    t.is(window.limitOf(MOST), 128);
});

test("a late leader without answers to starts sends as many as before", t => {
    const window = StartWindow.create();
    window.review({ delayMs: 500, intervalMs: 100 }, 0);
    t.is(window.limitOf(MOST), 128);
});
