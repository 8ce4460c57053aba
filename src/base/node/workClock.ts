import { Emitter } from "../common/emitter";
import { WorkMeter } from "../common/workMeter";

/** A piece of work that was done. */
export interface MeasuredWork<Kind extends string> {
    readonly kind: Kind;
    /** Its own time in ms, without the work within it. */
    readonly durationMs: number;
}

/** Measures work with the clock of the runtime. */
export class WorkClock<Kind extends string> extends WorkMeter<Kind> {
    /** Time in ms that work within the current one has taken. */
    private nestedMs = 0;
    private readonly latestMs = new Map<Kind, number>();
    private readonly didWork = Emitter.create<MeasuredWork<Kind>>();
    /** Fires after each piece of work. */
    readonly onDidWork = this.didWork.event;

    private constructor() {
        super();
    }

    /** @returns A meter that has measured nothing. */
    static create<K extends string>(): WorkClock<K> {
        return new WorkClock();
    }

    override measure<T>(kind: Kind, work: () => T): T {
        const startedAt = performance.now();
        const outerNestedMs = this.nestedMs;
        this.nestedMs = 0;
        try {
            return work();
        } finally {
            const tookMs = performance.now() - startedAt;
            const durationMs = tookMs - this.nestedMs;
            this.latestMs.set(kind, durationMs);
            this.didWork.fire({ kind, durationMs });
            this.nestedMs = outerNestedMs + tookMs;
        }
    }

    override lastMs(kind: Kind): number {
        return this.latestMs.get(kind) ?? 0;
    }
}
