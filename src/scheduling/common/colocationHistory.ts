import { ClassLoad } from "./interferenceModel";

/** How long past colocations are kept, in ms; measurements that lag more teach nothing. */
const HISTORY_MS = 120_000;

interface Moment {
    readonly at: number;
    readonly classes: readonly ClassLoad[];
}

/** What ran on a worker, by time, so that a lagging measurement is attributed to what ran then. */
export class ColocationHistory {
    private readonly moments: Moment[] = [];

    private constructor() {}

    /** @returns An empty history. */
    static create(): ColocationHistory {
        return new ColocationHistory();
    }

    /** Notes what runs now. @param at Time in ms. @param classes Classes of work with their loads. */
    note(at: number, classes: readonly ClassLoad[]): void {
        this.moments.push({ at, classes });
        while (this.moments[0].at < at - HISTORY_MS) {
            this.moments.shift();
        }
    }

    /** @param at Time in ms. @returns What ran then; `undefined` when that is not known. */
    at(at: number): readonly ClassLoad[] | undefined {
        return this.moments.findLast(moment => moment.at <= at)?.classes;
    }
}
