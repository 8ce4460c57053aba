import { ClassLoad } from "./interferenceModel";

/** Time for which past loads are kept; measurements that lag more are not attributed. */
const HISTORY_WINDOW_MS = 120_000;

interface HistoryEntry {
    readonly at: number;
    readonly classes: readonly ClassLoad[];
}

/** Loads on a worker over time, so that a lagging measurement is attributed to what ran when it was taken. */
export class ColocationHistory {
    private readonly entries: HistoryEntry[] = [];

    private constructor() {}

    /** @returns An empty history. */
    static create(): ColocationHistory {
        return new ColocationHistory();
    }

    /** Records the current loads. @param at Time in ms. @param classes Classes of work with their loads. */
    record(at: number, classes: readonly ClassLoad[]): void {
        this.entries.push({ at, classes });
        while (this.entries[0].at < at - HISTORY_WINDOW_MS) {
            this.entries.shift();
        }
    }

    /** @param at Time in ms. @returns Loads at that time; `undefined` when they are not known. */
    at(at: number): readonly ClassLoad[] | undefined {
        return this.entries.findLast(entry => entry.at <= at)?.classes;
    }
}
