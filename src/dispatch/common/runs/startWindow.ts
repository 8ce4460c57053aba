import { MAX_MEDIAN_DELAY_MS, START_DELAY_MS } from "../scheduler/dispatchLimits";
import { OrderOutcome } from "../workers/workerMessages";

/** Limit on starts in flight that is never gone below, whatever they take. */
const MIN_STARTS = 8;

/** Share of the limit that remains after a start that came too late. */
const DECREASE_RATIO = 0.5;

/** By how much the limit rises with each start that was carried out. */
const INCREASE = 0.5;

/** By how much the limit rises with each start that was carried out, after the loop was late. */
const LOAD_INCREASE = 0.25;

/** How often a start waits for the loop: when its assignment is stored, and when it is answered. */
const LOOP_WAITS = 2;

/** Time in ms within which further late starts do not lower the limit again: they were sent before it was lowered. */
const SETTLING_TIME_MS = 1_500;

/** Time over which answered starts are counted, in ms. */
const RATE_PERIOD_MS = 2_000;

/** The answer to a start. */
export interface StartAnswer {
    readonly outcome: OrderOutcome;
    /** Time from the choice of the worker to the answer, in ms. */
    readonly tookMs: number;
}

/** How busy the leader is that sends the starts. */
export interface StartPace {
    /** Median delay of its loop, in ms. */
    readonly delayMs: number;
    /** Interval between two choices of workers, in ms. */
    readonly intervalMs: number;
}

/** Starts in flight as a line of the log shows them. */
export interface StartLoad {
    readonly inFlight: number;
    readonly window: number;
    /** Median time that starts took of late, in ms; `undefined` if none was answered. */
    readonly tookMs: number | undefined;
}

/**
 * How many starts may be in flight. A start that comes too late shows that more are sent than arrive in time, so fewer are sent, and
 * slowly more again, instead of sending it again at once. While the loop is late, more starts in flight do not lead to more starts a
 * second, they only wait for each other in the leader. So that time is taken off from what they take, and no more are in flight than
 * are answered in the rest.
 */
export class StartWindow {
    /** Limit since starts came too late. */
    private limit = Number.POSITIVE_INFINITY;
    /** Limit since the loop was late. */
    private loadLimit = Number.POSITIVE_INFINITY;
    private loweredAt = Number.NEGATIVE_INFINITY;
    /** Starts that were carried out of late. */
    private done: { readonly at: number; readonly tookMs: number }[] = [];

    private constructor() {}

    /** @returns A window without a limit of its own. */
    static create(): StartWindow {
        return new StartWindow();
    }

    /** @param most Limit while all starts are in time. @returns The limit on starts in flight. */
    limitOf(most: number): number {
        return Math.floor(Math.min(this.limit, this.loadLimit, most));
    }

    /** Records an answer. @param most Limit while all starts are in time. @param now Time in ms. */
    recordAnswer({ outcome, tookMs }: StartAnswer, most: number, now: number): void {
        if (outcome === "done") {
            this.limit += INCREASE;
            this.loadLimit += LOAD_INCREASE;
            this.done.push({ at: now, tookMs });
            this.forget(now);
        } else if (outcome === "too-late" && now - this.loweredAt >= SETTLING_TIME_MS) {
            this.loweredAt = now;
            this.limit = Math.max(MIN_STARTS, this.limitOf(most) * DECREASE_RATIO);
        }
    }

    /**
     * Adapts the limit to what the leader keeps up with.
     * @param pace How busy it is.
     * @param now Time in ms.
     */
    review({ delayMs, intervalMs }: StartPace, now: number): void {
        this.forget(now);
        const { medianMs } = this;
        if (delayMs <= MAX_MEDIAN_DELAY_MS || medianMs === undefined) {
            return;
        }
        const startsPerMs = this.done.length / RATE_PERIOD_MS;
        const inTimeMs = Math.max(START_DELAY_MS, medianMs - LOOP_WAITS * (delayMs - MAX_MEDIAN_DELAY_MS));
        this.loadLimit = Math.max(MIN_STARTS, startsPerMs * (inTimeMs + intervalMs));
    }

    /** Median time that starts took of late, in ms; `undefined` if none was answered. */
    get medianMs(): number | undefined {
        const sorted = this.done.map(each => each.tookMs).sort((a, b) => a - b);
        return sorted[Math.floor((sorted.length - 1) / 2)];
    }

    private forget(now: number): void {
        const firstKept = this.done.findIndex(each => now - each.at <= RATE_PERIOD_MS);
        this.done.splice(0, firstKept < 0 ? this.done.length : firstKept);
    }
}

/** @returns The starts in flight of two shards together. */
export function addLoads(sum: StartLoad | undefined, load: StartLoad): StartLoad {
    if (sum === undefined) {
        return load;
    }
    const tookMs = Math.max(sum.tookMs ?? 0, load.tookMs ?? 0) || undefined;
    return { inFlight: sum.inFlight + load.inFlight, window: sum.window + load.window, tookMs };
}
