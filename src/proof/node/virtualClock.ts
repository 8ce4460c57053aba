import FakeTimers, { Clock } from "@sinonjs/fake-timers";

/** Timer and clock functions of the runtime that a trial replaces. */
const FAKED_FUNCTIONS = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] as const;

/** Replaces the runtime's clock by a virtual one that moves only when advanced. @returns The clock, to be uninstalled. */
export function installVirtualClock(): Clock {
    return FakeTimers.install({ now: Date.UTC(2030, 0, 1), toFake: [...FAKED_FUNCTIONS] });
}
