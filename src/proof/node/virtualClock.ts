import FakeTimers, { Clock } from "@sinonjs/fake-timers";

/** Parts of the runtime's clock that a trial advances by itself. */
const FAKED = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] as const;

/** @returns The runtime's clock, paused, until it is uninstalled. */
export function installClock(): Clock {
    return FakeTimers.install({ now: Date.UTC(2030, 0, 1), toFake: [...FAKED] });
}
