import { ChartLoader } from "./chartLoader";
import { ChartRegistry } from "./chartRegistry";
import { Emitter } from "./emitter";
import chartText from "./loopDelay.chart.yaml";
import { Machine } from "./machine";

/** Whether a loop handles its events in time. */
export type DelayState = "on-time" | "late";
type DelayEvent = "delayed" | "caught-up";
type DelayAction = "reportLate" | "reportOnTime";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<DelayState, DelayEvent, never, DelayAction>(chartText, "loopDelay.chart.yaml", {
        states: ["on-time", "late"],
        events: ["delayed", "caught-up"],
        guards: [],
        actions: ["reportLate", "reportOnTime"],
    }),
);

/** Time over which delays are collected, in ms. */
const WINDOW_MS = 2_000;

/** Limit of the delays that are kept; older ones are dropped first. */
const MAX_DELAYS = 256;

/** The loop is late from a median or a largest delay of the window on, in ms. */
const LATE_MEDIAN_MS = 100;
const LATE_MOST_MS = 500;

/** The loop is on time again below both, in ms. */
const ON_TIME_MEDIAN_MS = 50;
const ON_TIME_MOST_MS = 250;

/** Delays within the window, in ms. */
export interface DelaySummary {
    readonly medianMs: number;
    readonly mostMs: number;
}

/** A change between being late and being on time. */
export interface DelayReport extends DelaySummary {
    readonly state: DelayState;
    /** Time for which the loop was in the state before, in ms. */
    readonly afterMs: number;
}

interface Delay {
    /** Time (ms) at which the event was handled. */
    readonly at: number;
    readonly ms: number;
}

const NO_DELAY: DelaySummary = { medianMs: 0, mostMs: 0 };

/**
 * How late an event loop handles its events: how long each of them waited after it was due. An answer that arrives while the loop is
 * late is as old when it is handled, which no age counted from its request shows if the request was late, too.
 */
export class LoopDelay {
    private readonly machine: Machine<number, DelayState, DelayEvent, never, DelayAction>;
    /** The delays of the window, the earliest first. */
    private readonly delays: Delay[] = [];
    /** The same delays, the shortest first: each event is recorded, so a late loop must not sort them anew each time. */
    private readonly sortedMs: number[] = [];
    private changedAt: number | undefined;
    private readonly didRecord = Emitter.create<number>();
    /** Fires with each delay, in ms. */
    readonly onDidRecord = this.didRecord.event;
    private readonly didChange = Emitter.create<DelayReport>();
    /** Fires when the loop becomes late, and when it is on time again. */
    readonly onDidChange = this.didChange.event;

    private constructor() {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: { reportLate: now => this.report(now), reportOnTime: now => this.report(now) },
        });
    }

    /** @returns The delay of a loop that has handled nothing. */
    static create(): LoopDelay {
        return new LoopDelay();
    }

    /** Whether the loop is late. */
    get state(): DelayState {
        return this.machine.state;
    }

    /** The median and the largest of the latest delays. */
    get summary(): DelaySummary {
        const { sortedMs } = this;
        const { length } = sortedMs;
        return length === 0 ? NO_DELAY : { medianMs: sortedMs[(length - 1) >> 1], mostMs: sortedMs[length - 1] };
    }

    /**
     * Records that an event is handled.
     * @param dueAt Time (ms) at which it was due or arrived.
     * @param now Time in ms.
     */
    record(dueAt: number, now: number): void {
        this.changedAt ??= now;
        while (this.delays.length >= MAX_DELAYS || now - (this.delays[0]?.at ?? now) > WINDOW_MS) {
            this.sortedMs.splice(positionOf(this.delays.shift()!.ms, this.sortedMs), 1);
        }
        const ms = Math.max(0, now - dueAt);
        this.delays.push({ at: now, ms });
        this.sortedMs.splice(positionOf(ms, this.sortedMs), 0, ms);
        this.didRecord.fire(ms);
        const { medianMs, mostMs } = this.summary;
        if (medianMs >= LATE_MEDIAN_MS || mostMs >= LATE_MOST_MS) {
            this.machine.fire("delayed", now);
        } else if (medianMs < ON_TIME_MEDIAN_MS && mostMs < ON_TIME_MOST_MS) {
            this.machine.fire("caught-up", now);
        }
    }

    private report(now: number): void {
        const afterMs = now - (this.changedAt ?? now);
        this.changedAt = now;
        this.didChange.fire({ state: this.machine.state, afterMs, ...this.summary });
    }
}

/** @returns Index of the first of the sorted values that is not below a value. */
function positionOf(value: number, sorted: readonly number[]): number {
    let from = 0;
    let to = sorted.length;
    while (from < to) {
        const middle = (from + to) >> 1;
        if (sorted[middle] < value) {
            from = middle + 1;
        } else {
            to = middle;
        }
    }
    return from;
}
