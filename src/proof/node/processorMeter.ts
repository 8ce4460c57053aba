const US_PER_MS = 1_000;

/** Processor time that a kind of work took. */
export interface WorkFigures {
    readonly count: number;
    /** Processor time of all calls, in ms. */
    readonly totalMs: number;
    /** Processor time of each call, in ms, in ascending order. */
    readonly sortedMs: readonly number[];
}

/** Measures the processor time of the process by kind of work, by the real clock. */
export class ProcessorMeter<Kind extends string> {
    private readonly times = new Map<Kind, number[]>();

    private constructor() {}

    /** @returns A meter without measurements. */
    static create<K extends string>(): ProcessorMeter<K> {
        return new ProcessorMeter<K>();
    }

    /**
     * Does some work and measures it.
     * @param kindOf Returns the kind of the work, once it is done.
     * @param work The work.
     * @returns What the work returns.
     */
    measure<T>(kindOf: () => Kind, work: () => T): T {
        const before = process.cpuUsage();
        const result = work();
        const { user, system } = process.cpuUsage(before);
        const kind = kindOf();
        const times = this.times.get(kind) ?? [];
        times.push((user + system) / US_PER_MS);
        this.times.set(kind, times);
        return result;
    }

    /** Forgets all measurements. */
    reset(): void {
        this.times.clear();
    }

    /** @returns What a kind of work took. */
    figuresOf(kind: Kind): WorkFigures {
        const sortedMs = [...(this.times.get(kind) ?? [])].sort((a, b) => a - b);
        return { count: sortedMs.length, totalMs: sortedMs.reduce((sum, each) => sum + each, 0), sortedMs };
    }
}

/**
 * @param sorted Values in ascending order.
 * @param share A number from 0 to 1.
 * @returns The value that this share of the values does not exceed; 0 without values.
 */
export function quantileOf(sorted: readonly number[], share: number): number {
    return sorted.length === 0 ? 0 : sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)];
}
