/**
 * Times at which one of many readers of a stream reads its large records. Each reader has a phase of its own, so the reads of all
 * are spread over the period, whatever made them begin.
 */
export class ReadSlots {
    private constructor(
        private readonly periodMs: number,
        private readonly phase: number,
    ) {}

    /**
     * @param periodMs Time between two reads, in ms.
     * @param phase Part of the period by which the reads are put off, from 0 to below 1; it differs between readers.
     * @returns The times.
     */
    static create(periodMs: number, phase: number): ReadSlots {
        return new ReadSlots(periodMs, phase);
    }

    /** @param now Time in ms. @returns Time (ms) of the next read, which is later than now. */
    after(now: number): number {
        const offsetMs = this.phase * this.periodMs;
        const count = Math.floor((now - offsetMs) / this.periodMs) + 1;
        return offsetMs + count * this.periodMs;
    }
}
