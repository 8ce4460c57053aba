import test from "ava";
import { StartWindow } from "../startWindow";

test("a late start halves the number of starts in flight, and each start in time raises it a little", t => {
    const window = StartWindow.create();
    t.is(window.limitOf(128), 128);
    window.recordLate(128, 0);
    t.is(window.limitOf(128), 64);
    for (let index = 0; index < 20; index++) {
        window.recordInTime();
    }
    t.is(window.limitOf(128), 74);
    for (let index = 0; index < 500; index++) {
        window.recordInTime();
    }
    t.is(window.limitOf(128), 128);
});

test("late starts that were sent before the number was lowered do not lower it again", t => {
    const window = StartWindow.create();
    [0, 100, 1_400].forEach(now => window.recordLate(128, now));
    t.is(window.limitOf(128), 64);
    window.recordLate(128, 1_500);
    t.is(window.limitOf(128), 32);
});

test("some starts are sent, however many came too late", t => {
    const window = StartWindow.create();
    for (let now = 0; now < 60_000; now += 1_500) {
        window.recordLate(128, now);
    }
    t.is(window.limitOf(128), 8);
});
