import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { AgendaLoop } from "../agendaLoop";

test.serial("a process that is late handles urgent events first, and reads its input between two turns", async t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const handled: string[] = [];
    const waits: number[] = [];
    const loop = AgendaLoop.create<string, never, "urgent" | "usual">({
        classes: ["urgent", "usual"],
        classOf: event => (event.startsWith("u") ? "urgent" : "usual"),
        dispatch: event => {
            handled.push(event);
            // Each event takes 15 ms of the process.
            clock.jump(15);
            return [];
        },
        perform: () => undefined,
        onError: error => t.fail(String(error)),
        onArrival: (arrivedAt, now) => waits.push(now - arrivedAt),
    });
    ["a", "b", "c", "d"].forEach(event => loop.post(event));
    t.deepEqual(handled, []);
    // Input that arrives while the first turn is under way is read before the rest is handled.
    setTimeout(() => loop.post("u"), 40);
    await clock.runAllAsync();
    t.deepEqual(handled, ["a", "b", "c", "u", "d"]);
    t.deepEqual(waits.slice(0, 3), [0, 15, 30]);
    loop.dispose();
});

test.serial("events that wait are dropped when the loop is disposed", async t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const loop = AgendaLoop.create<string, never, "usual">({
        classes: ["usual"],
        classOf: () => "usual",
        dispatch: () => t.fail(),
        perform: () => undefined,
        onError: () => undefined,
        onArrival: () => undefined,
    });
    loop.post("a");
    loop.dispose();
    loop.post("b");
    await clock.runAllAsync();
    t.pass();
});
