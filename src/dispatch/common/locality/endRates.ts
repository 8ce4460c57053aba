import { Estimate } from "./estimate";

/** Whether the CPU of a run is reserved, or left over by reserved ones. */
export type CpuKind = "reserved" | "spare";

/** Time constant of the measured rates, in ms: a few durations of a short task. */
const RATE_WINDOW_MS = 5_000;

/** Ends that are read within this time count as one batch, in ms: the tasks of a step end together. */
const BATCH_MS = 50;

/** Places that must have been released of late for a rate, decayed over the window. */
const MIN_PLACES = 2;

/** Ends of runs of one size on one rack. */
interface EndRate {
    /** Number of ends, decayed over the window. */
    ends: number;
    /** Sum of the squared sizes of the batches in which they came, decayed likewise. */
    squares: number;
    batch: number;
    updatedAt: number;
    readonly since: number;
}

/**
 * Measures how often runs end on each rack, by size and kind of their CPU, and how unevenly.
 *
 * The measurements are a leader's own and are not recorded: a new leader has them again after a few ends.
 */
export class EndRates {
    /** By rack and kind, then by size class. */
    private readonly rates = new Map<string, Map<number, EndRate>>();

    private constructor() {}

    /** @returns Rates of which nothing is measured. */
    static create(): EndRates {
        return new EndRates();
    }

    /**
     * Records that a run has ended and released its CPU.
     * @param rack Rack of its worker.
     * @param kind Kind of its CPU.
     * @param cpuMillis CPU that it requested, in thousandths of a core.
     * @param now Time in ms.
     */
    recordEnd(rack: string, kind: CpuKind, cpuMillis: number, now: number): void {
        const rate = this.rateOf(rack, kind, cpuMillis, now);
        const isSameBatch = now - rate.updatedAt <= BATCH_MS;
        const decay = decayOf(rate, now);
        rate.batch = isSameBatch ? rate.batch + 1 : 1;
        rate.ends = rate.ends * decay + 1;
        rate.squares = rate.squares * decay + rate.batch ** 2 - (rate.batch - 1) ** 2;
        rate.updatedAt = now;
    }

    /**
     * @param rack A rack.
     * @param kind Kind of the CPU that is needed.
     * @param cpuMillis CPU that each place needs, in thousandths of a core.
     * @param places Number of places.
     * @param now Time in ms.
     * @returns Time until as many places are released, or `undefined` if too few were of late. Smaller runs do not count:
     * their ends leave gaps on different workers.
     */
    waitFor(rack: string, kind: CpuKind, cpuMillis: number, places: number, now: number): Estimate | undefined {
        const needed = sizeClassOf(cpuMillis);
        let released = 0;
        let squares = 0;
        let observedMs = 0;
        for (const [size, rate] of this.rates.get(keyOf(rack, kind)) ?? []) {
            if (size >= needed) {
                const multiple = 2 ** (size - needed);
                const decay = decayOf(rate, now);
                released += rate.ends * decay * multiple;
                squares += rate.squares * decay * multiple ** 2;
                observedMs = Math.max(observedMs, now - rate.since);
            }
        }
        if (released < MIN_PLACES) {
            return undefined;
        }
        const coveredMs = RATE_WINDOW_MS * (1 - Math.exp(-Math.max(observedMs, BATCH_MS) / RATE_WINDOW_MS));
        const intervalMs = coveredMs / released;
        return { meanMs: places * intervalMs, deviationMs: Math.sqrt((places * squares) / released) * intervalMs };
    }

    private rateOf(rack: string, kind: CpuKind, cpuMillis: number, now: number): EndRate {
        const key = keyOf(rack, kind);
        const bySize = this.rates.get(key) ?? new Map<number, EndRate>();
        this.rates.set(key, bySize);
        const size = sizeClassOf(cpuMillis);
        const known = bySize.get(size);
        if (known !== undefined) {
            return known;
        }
        const rate = { ends: 0, squares: 0, batch: 0, updatedAt: now, since: now };
        bySize.set(size, rate);
        return rate;
    }
}

/** Sizes within a factor of two are alike. */
function sizeClassOf(cpuMillis: number): number {
    return Math.floor(Math.log2(Math.max(1, cpuMillis)));
}

function keyOf(rack: string, kind: CpuKind): string {
    return `${kind} ${rack}`;
}

function decayOf({ updatedAt }: EndRate, now: number): number {
    return Math.exp((updatedAt - now) / RATE_WINDOW_MS);
}
