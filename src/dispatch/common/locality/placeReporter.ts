import { Emitter } from "../../../base/common/emitter";
import { PlaceReason } from "./placePolicy";
import { PlaceWaitEnd } from "./placeWait";

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** Where a task has started: on the rack on which it runs fastest, or elsewhere. */
export type PlaceKind = "near" | "elsewhere";

/** Where a task that runs fastest on one rack has started, and why. */
export interface PlaceOutcome {
    readonly kind: PlaceKind;
    readonly reason: PlaceReason;
    /** Time for which its step had waited for the rack by then, in ms. */
    readonly waitedMs: number;
}

/** Tasks that run fastest on one rack, since the report before; times in ms. */
export interface PlaceReport {
    /** Number of tasks that started there, and of those that started elsewhere. */
    readonly near: number;
    readonly elsewhere: number;
    /** Estimated time that those saved together that started there after a wait, less the wait. */
    readonly savedMs: number;
    /** Waits of steps that ended when their tasks had started, and that were given up, with the most frequent reason. */
    readonly waits: number;
    readonly givenUp: number;
    readonly givenUpFor: PlaceReason | undefined;
    readonly meanWaitMs: number | undefined;
    readonly longestWaitMs: number | undefined;
    /** Steps that wait now, and the rack for which most of their tasks do. */
    readonly waiting: number;
    readonly rack: string | undefined;
    readonly rackTasks: number | undefined;
}

/** Tasks that wait, by rack. */
export type WaitingByRack = ReadonlyMap<string, number>;

/** Adds up where tasks start that run fastest on one rack, and how long they wait for it. */
export class PlaceReporter {
    private readonly didReport = Emitter.create<PlaceReport>();
    /** Fires for each report. */
    readonly onDidReport = this.didReport.event;
    private readonly starts: Record<PlaceKind, number> = { near: 0, elsewhere: 0 };
    private savedMs = 0;
    private readonly ends: PlaceWaitEnd[] = [];
    private nextReportAt = 0;

    private constructor() {}

    /** @returns A reporter that has seen no task. */
    static create(): PlaceReporter {
        return new PlaceReporter();
    }

    /** Records the start of a task. @param savedMs Time that it saves against a start elsewhere at once, in ms. */
    recordStart({ kind, waitedMs }: PlaceOutcome, savedMs: number): void {
        this.starts[kind] += 1;
        this.savedMs += kind === "near" && waitedMs > 0 ? savedMs : 0;
    }

    /** Records the end of a wait. */
    recordWait(end: PlaceWaitEnd): void {
        this.ends.push(end);
    }

    /**
     * Reports if a report is due and there is something to report.
     * @param steps Number of steps that wait.
     * @param waiting Their tasks.
     * @param now Time in ms.
     */
    review(steps: number, waiting: WaitingByRack, now: number): void {
        const { near, elsewhere } = this.starts;
        if (now < this.nextReportAt || near + elsewhere + steps + this.ends.length === 0) {
            return;
        }
        this.nextReportAt = now + REPORT_INTERVAL_MS;
        const [rack, rackTasks] = [...waiting].sort((a, b) => b[1] - a[1])[0] ?? [undefined, undefined];
        const { ends } = this;
        const givenUp = ends.filter(({ reason }) => reason !== "room");
        const times = ends.map(({ waitedMs }) => waitedMs);
        this.didReport.fire({
            near,
            elsewhere,
            savedMs: Math.round(this.savedMs),
            waits: ends.length - givenUp.length,
            givenUp: givenUp.length,
            givenUpFor: mostFrequent(givenUp.map(({ reason }) => reason)),
            meanWaitMs: times.length === 0 ? undefined : Math.round(times.reduce((a, b) => a + b) / times.length),
            longestWaitMs: times.length === 0 ? undefined : Math.round(Math.max(...times)),
            waiting: steps,
            rack,
            rackTasks,
        });
        this.starts.near = 0;
        this.starts.elsewhere = 0;
        this.savedMs = 0;
        this.ends.length = 0;
    }
}

function mostFrequent<T>(values: readonly T[]): T | undefined {
    const counts = new Map<T, number>();
    values.forEach(each => counts.set(each, (counts.get(each) ?? 0) + 1));
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
}
