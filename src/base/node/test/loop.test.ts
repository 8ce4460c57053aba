import FakeTimers from "@sinonjs/fake-timers";
import test, { ExecutionContext } from "ava";
import { Loop } from "../loop";

test("an error in an event or an effect is reported, and later events are handled", t => {
    const errors: string[] = [];
    const performed: string[] = [];
    const loop = Loop.create<string, string>(
        event => {
            if (event === "bad event") {
                throw new Error(event);
            }
            return event === "both" ? ["bad effect", "good effect"] : [event];
        },
        effect => {
            if (effect === "bad effect") {
                throw new Error(effect);
            }
            performed.push(effect);
        },
        error => errors.push((error as Error).message),
    );
    ["bad event", "both", "last"].forEach(event => loop.post(event));
    t.deepEqual(errors, ["bad event", "bad effect"]);
    t.deepEqual(performed, ["good effect", "last"]);
    loop.dispose();
});

/** @returns A loop whose events are the times at which they were due, and by how much it handled each later. */
function createTickLoop(t: ExecutionContext) {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const delays: number[] = [];
    const loop = Loop.create<number, never>(
        (dueAt, now) => {
            delays.push(now - dueAt);
            return [];
        },
        () => undefined,
        error => t.fail(String(error)),
    );
    return { clock, delays, loop };
}

test.serial("a tick says when it was due, also if the loop was busy then", t => {
    const { clock, delays, loop } = createTickLoop(t);
    loop.startTicking(
        dueAt => dueAt,
        () => 25,
    );
    clock.tick(50);
    // The process does something else at the time of the next tick.
    clock.jump(75);
    clock.tick(25);
    t.deepEqual(delays, [0, 0, 50, 0]);
    loop.dispose();
});

test.serial("a loop that is late has one tick waiting, which states when the first one was due", t => {
    const { clock, delays, loop } = createTickLoop(t);
    const waiting: number[] = [];
    loop.startTicking(
        dueAt => dueAt,
        () => 25,
        tick => waiting.push(tick),
    );
    clock.tick(100);
    t.is(waiting.length, 1);
    loop.post(waiting[0]);
    t.deepEqual(delays, [75]);
    clock.tick(25);
    t.is(waiting.length, 2);
    loop.dispose();
});

test.serial(
    "a changed interval applies from the next tick on, and a tick of the old one is not taken for a delay",
    t => {
        const { clock, delays, loop } = createTickLoop(t);
        let intervalMs = 50;
        loop.startTicking(
            dueAt => dueAt,
            () => intervalMs,
        );
        clock.tick(100);
        t.is(delays.length, 2);
        intervalMs = 25;
        clock.tick(50);
        t.is(delays.length, 3);
        clock.tick(100);
        t.is(delays.length, 7);
        t.deepEqual(new Set(delays), new Set([0]));
        loop.dispose();
        clock.tick(100);
        t.is(delays.length, 7);
    },
);
