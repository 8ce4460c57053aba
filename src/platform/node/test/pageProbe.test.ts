import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { PageProbe } from "../pageProbe";

/** Time until the first probe, in ms. */
const FIRST_MS = 1_500;

/** Longest time from the return of the store until a response counts as lost, in ms: about a second. */
const RETURN_MS = 1_000;

/** Answers the probes that are sent while the store is up; the others get no answer. */
function createFixture() {
    const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
    const state = { isUp: false, probes: 0, lost: 0 };
    const send = () => {
        state.probes += 1;
        return state.isUp ? Promise.resolve(true) : new Promise<boolean>(() => undefined);
    };
    const probe = PageProbe.create(FIRST_MS, send, () => (state.lost += 1));
    return { clock, state, probe };
}

// CONFIG: a page that was sent to a silent store was awaited for up to 12 s.
test.serial("a page counts as lost within a second after the store answers again, not before", async t => {
    const { clock, state } = createFixture();
    await clock.tickAsync(10_000);
    t.is(state.lost, 0);
    state.isUp = true;
    await clock.tickAsync(RETURN_MS);
    t.is(state.lost, 1);
    const { probes } = state;
    await clock.tickAsync(10_000);
    t.deepEqual(state, { isUp: true, probes, lost: 1 });
    clock.uninstall();
});

test.serial("a page whose response has begun is awaited, also if a probe is answered later", async t => {
    const { clock, state, probe } = createFixture();
    state.isUp = true;
    await clock.tickAsync(FIRST_MS - 1);
    t.is(state.probes, 0);
    probe.dispose();
    await clock.tickAsync(10_000);
    t.deepEqual(state, { isUp: true, probes: 0, lost: 0 });
    clock.uninstall();
});

test.serial("an answer to a probe that arrives after the response has begun has no effect", async t => {
    const { clock, state, probe } = createFixture();
    state.isUp = true;
    clock.tick(FIRST_MS);
    t.is(state.probes, 1);
    probe.dispose();
    await clock.tickAsync(1);
    t.is(state.lost, 0);
    clock.uninstall();
});
