import { MAX_CLOCK_DRIFT_RATIO, withDrift } from "../../coordination/common/duration";

/** Estimates a worker's own clock from its latest report, allowing for drift. */
export class WorkerClock {
    private constructor(
        readonly boot: string,
        /** Reading in the report, in ms. */
        readonly reading: number,
        private readonly receivedAt: number,
    ) {}

    /**
     * @param boot Incarnation of the worker.
     * @param reading Reading in the report, in ms.
     * @param receivedAt Time (ms, the loop's clock) when the report arrived.
     * @returns The estimate.
     */
    static create(boot: string, reading: number, receivedAt: number): WorkerClock {
        return new WorkerClock(boot, reading, receivedAt);
    }

    /**
     * @param reading A reading of the worker's clock, in ms.
     * @returns Time (ms, the loop's clock) at which the worker's clock is certainly past it.
     */
    latestTimeOf(reading: number): number {
        return this.receivedAt + withDrift(Math.max(0, reading - this.reading));
    }

    /** @param now Time in ms. @returns Lower bound of the reading of the worker's clock. */
    minReadingAt(now: number): number {
        return this.reading + this.age(now) * (1 - MAX_CLOCK_DRIFT_RATIO);
    }

    /** @param now Time in ms. @returns Time since the report, in ms. */
    age(now: number): number {
        return now - this.receivedAt;
    }
}
