/** Why a worker gets no tasks in a pass. */
export type ExclusionCause =
    | "deregistered"
    | "draining"
    | "evacuated"
    | "uncontacted"
    | "silent"
    | "otherIncarnation"
    | "rejecting"
    | "leaseRecorded"
    | "manyEnds"
    | "distrusted"
    | "onTrial"
    | "capacityUnknown";

/** Workers that callers count as available, the ones of them that get no tasks, by cause, and those that are evacuated. */
export type WorkerCounts = Readonly<Partial<Record<ExclusionCause | "alive" | "usable", number>>>;

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** Causes that callers know: such a worker is to get no tasks, so it does not count as alive. */
const EXPECTED_CAUSES: ReadonlySet<ExclusionCause> = new Set(["deregistered", "draining", "evacuated"]);

/** Counts the workers that are registered and ready and still left out of passes, by cause. */
export class WorkerCensus {
    private latestCounts = new Map<keyof WorkerCounts, number>();
    private readonly totals = new Map<keyof WorkerCounts, number>();
    private passes = 0;
    private nextReportAt = 0;

    private constructor() {}

    /** @returns A census without passes. */
    static create(): WorkerCensus {
        return new WorkerCensus();
    }

    /** Workers of the latest pass. */
    get latest(): WorkerCounts {
        return Object.fromEntries(this.latestCounts);
    }

    /** Begins the count of a pass. */
    beginPass(): void {
        this.latestCounts = new Map();
        this.passes += 1;
    }

    /** Counts a worker. @param cause Why it gets no tasks in this pass, or `undefined` if it may. */
    count(cause: ExclusionCause | undefined): void {
        if (cause === undefined || !EXPECTED_CAUSES.has(cause)) {
            this.add("alive");
            this.add(cause ?? "usable");
        } else if (cause === "evacuated") {
            this.add(cause);
        }
    }

    /**
     * @param now Time in ms.
     * @returns The mean number of workers in the passes since the report before, if a report is due.
     */
    takeReport(now: number): (WorkerCounts & { readonly passes: number }) | undefined {
        if (now < this.nextReportAt || this.passes === 0) {
            return undefined;
        }
        const means = [...this.totals].map(([key, total]) => [key, Math.round((10 * total) / this.passes) / 10]);
        const report = { passes: this.passes, ...(Object.fromEntries(means) as WorkerCounts) };
        this.nextReportAt = now + REPORT_INTERVAL_MS;
        this.passes = 0;
        this.totals.clear();
        return report;
    }

    private add(key: keyof WorkerCounts): void {
        this.latestCounts.set(key, (this.latestCounts.get(key) ?? 0) + 1);
        this.totals.set(key, (this.totals.get(key) ?? 0) + 1);
    }
}
