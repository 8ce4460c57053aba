import * as z from "zod/mini";
import { MAX_CLOCK_DRIFT_RATIO } from "../../coordination/common/duration";

/** Largest number of witnesses that a record names. */
const MAX_WITNESSES = 7;

/** Time without a reading after which a worker is no witness any more, in ms: its clock may start again. */
const MAX_SILENCE_MS = 3_000;

/** Longest suspension of a process that goes unnoticed, in ms. The age of a record is understated by as much. */
export const UNNOTICED_SUSPENSION_MS = 200;

/** A worker whose clock dates records. */
export interface Witness {
    /** Identifier of the worker. */
    readonly id: string;
    /** When its incarnation started, in ms since the Unix epoch. Each incarnation has a clock of its own. */
    readonly incarnation: number;
    /** Its failure domain. Witnesses are chosen from all domains. */
    readonly failureDomain: string;
}

/** The clock of a witness when a record was made. */
export interface WitnessReading {
    readonly id: string;
    readonly incarnation: number;
    /** Upper bound of the reading, in ms. */
    readonly clockMs: number;
}

/** Readings of witnesses in a record. */
export const witnessReadingsSchema = z.array(z.object({ id: z.string(), incarnation: z.int(), clockMs: z.number() }));

/** A reading of a clock and when it was taken; a bound of the reading at other times. */
interface ClockBound {
    readonly clockMs: number;
    /** Time in ms. */
    readonly at: number;
}

interface WitnessClock {
    readonly witness: Witness;
    readonly earliest: ClockBound;
    readonly latest: ClockBound;
    readonly heardAt: number;
}

/**
 * Clocks of workers. They go on while instances restart, so an instance that has just started can tell by them how old a record is:
 * the record states the readings of some clocks when it was made.
 */
export class WitnessClocks {
    private readonly clocks = new Map<string, WitnessClock>();
    /** Time (ms) at which the process was last known to have been suspended. */
    private clearedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** @returns No clocks. */
    static create(): WitnessClocks {
        return new WitnessClocks();
    }

    /**
     * Records a reading of a worker's clock.
     * @param witness The worker.
     * @param clockMs The reading in ms.
     * @param sentAt Time (ms) at which the answered call was sent; the reading was taken later.
     * @param receivedAt Time (ms) at which the answer arrived; the reading was taken earlier.
     */
    record(witness: Witness, clockMs: number, sentAt: number, receivedAt: number): void {
        const known = this.clocks.get(witness.id);
        const isOfEarlier = known !== undefined && known.witness.incarnation > witness.incarnation;
        // A call that was sent before a suspension took longer than this process has measured.
        if (isOfEarlier || sentAt <= this.clearedAt) {
            return;
        }
        const same = known?.witness.incarnation === witness.incarnation ? known : undefined;
        const earliest = { clockMs, at: receivedAt };
        const latest = { clockMs, at: sentAt };
        this.clocks.set(witness.id, {
            witness,
            earliest: same && earliestAt(same.earliest, receivedAt) > clockMs ? same.earliest : earliest,
            latest: same && isTighter(same.latest, clockMs, sentAt, receivedAt) ? same.latest : latest,
            heardAt: receivedAt,
        });
    }

    /** Forgets all clocks: after a suspension of this process, they are later than it would calculate. @param now Time in ms. */
    clear(now: number): void {
        this.clearedAt = now;
        this.clocks.clear();
    }

    /**
     * @param now Time in ms.
     * @returns Readings of the clocks of some workers, of all failure domains alike, for a record that is made now.
     */
    readings(now: number): WitnessReading[] {
        const byDomain = new Map<string, WitnessClock[]>();
        for (const clock of this.clocks.values()) {
            if (now - clock.heardAt <= MAX_SILENCE_MS) {
                const { failureDomain } = clock.witness;
                byDomain.set(failureDomain, [...(byDomain.get(failureDomain) ?? []), clock]);
            }
        }
        const domains = [...byDomain.values()];
        const chosen: WitnessClock[] = [];
        for (let rank = 0; chosen.length < MAX_WITNESSES && domains.some(each => each.length > rank); rank++) {
            chosen.push(...domains.flatMap(each => each.slice(rank, rank + 1)));
        }
        return chosen.slice(0, MAX_WITNESSES).map(({ witness: { id, incarnation }, latest }) => {
            return { id, incarnation, clockMs: Math.ceil(latestAt(latest, now)) };
        });
    }

    /** @param readings Readings when a record was made. @returns Whether the record can be dated by the clock of any of them. */
    includesAny(readings: readonly WitnessReading[]): boolean {
        return readings.some(({ id, incarnation }) => this.clocks.get(id)?.witness.incarnation === incarnation);
    }

    /**
     * @param readings Readings when a record was made.
     * @param readAt Time (ms) at which the record was read.
     * @returns Time (ms) by which it was certainly made.
     */
    madeBy(readings: readonly WitnessReading[], readAt: number): number {
        let madeBy = readAt;
        for (const { id, incarnation, clockMs } of readings) {
            const clock = this.clocks.get(id);
            // A clock that was read before the record was made shows nothing.
            if (clock?.witness.incarnation === incarnation && clock.earliest.clockMs >= clockMs) {
                const { earliest } = clock;
                const passedMs = (earliest.clockMs - clockMs) * (1 - 2 * MAX_CLOCK_DRIFT_RATIO);
                madeBy = Math.min(madeBy, earliest.at - passedMs + UNNOTICED_SUSPENSION_MS);
            }
        }
        return madeBy;
    }
}

/** @returns Lower bound of the reading at a time. */
function earliestAt({ clockMs, at }: ClockBound, time: number): number {
    return clockMs + (time - at) * (1 - MAX_CLOCK_DRIFT_RATIO);
}

/**
 * @returns Whether an upper bound that is known is lower than that of a new reading, and is not refuted by it, as after a suspension that
 * went unnoticed.
 */
function isTighter(known: ClockBound, clockMs: number, sentAt: number, receivedAt: number): boolean {
    return latestAt(known, sentAt) < clockMs && latestAt(known, receivedAt) >= clockMs;
}

/** @returns Upper bound of the reading at a time. */
function latestAt({ clockMs, at }: ClockBound, time: number): number {
    return clockMs + (time - at) * (1 + MAX_CLOCK_DRIFT_RATIO);
}
