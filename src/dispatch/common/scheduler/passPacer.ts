import { WorkMeter } from "../../../base/common/workMeter";

/** Minimum interval between passes over the waiting tasks, in ms. It grows with the workers: a pass visits them all. */
const MIN_INTERVAL_MS = 20;
const INTERVAL_PER_WORKER_MS = 0.2;

/** Maximum interval between passes, in ms: latencies change even while no run ends. */
const MAX_INTERVAL_MS = 150;

/** Share of the loop's time that passes may take. The rest is for what is due: renewals, answers, cancellations and stops. */
const MAX_PASS_RATIO = 0.25;

/** The same while the loop is late and no job has to have a run. */
const MAX_LATE_PASS_RATIO = 0.15;

/** Longest interval that an expensive pass leads to, in ms: an accepted job is to start within a second while there is room. */
const MAX_EXPENSIVE_INTERVAL_MS = 1_000;

/**
 * Decides when the waiting tasks are visited. What a pass costs is measured, so that passes over a long queue, or on a slow
 * processor, follow each other less closely.
 */
export class PassPacer {
    /** Whether a pass is needed. */
    private isNeeded = true;
    private lastAt = 0;
    /** Time (ms) of the next pass that is not to wait for the interval. */
    private dueAt = Number.POSITIVE_INFINITY;
    /** Whether the loop is late, so that passes take less of its time. */
    isLate = false;

    private constructor(private readonly work: WorkMeter<"pass">) {}

    /** @param work Measures the passes. @returns A pacer that needs a pass. */
    static create(work: WorkMeter<"pass">): PassPacer {
        return new PassPacer(work);
    }

    /** Requests a pass: a task waits, or a worker has room. */
    request(): void {
        this.isNeeded = true;
    }

    /**
     * Requests a pass at a time, also if the interval has not passed: a job has to have a run by then. Passes that are due
     * already when the latest one begins are ignored, so that a job that finds no worker does not lead to one pass after the other.
     * @param at Time in ms.
     */
    requestBy(at: number): void {
        if (at > this.lastAt) {
            this.dueAt = Math.min(this.dueAt, at);
        }
    }

    /** Requests a pass if the latest one is long ago. @param now Time in ms. */
    tick(now: number): void {
        this.isNeeded ||= now - this.lastAt > MAX_INTERVAL_MS;
    }

    /**
     * Does a pass if one is needed and due.
     * @param workers Number of workers.
     * @param now Time in ms.
     * @param pass Does the pass.
     */
    run(workers: number, now: number, pass: () => void): void {
        const intervalMs = this.intervalMs(workers);
        const sinceMs = now - this.lastAt;
        const isDue = now >= this.dueAt && sinceMs >= Math.min(intervalMs, this.dueIntervalMs);
        if (isDue || (this.isNeeded && sinceMs >= intervalMs)) {
            this.isNeeded = false;
            this.dueAt = Number.POSITIVE_INFINITY;
            this.lastAt = now;
            this.work.measure("pass", pass);
        }
    }

    private get dueIntervalMs(): number {
        return Math.max(MIN_INTERVAL_MS, this.work.lastMs("pass") / MAX_PASS_RATIO);
    }

    /** @param workers Number of workers. @returns Shortest time between two passes now, in ms. */
    intervalMs(workers: number): number {
        const ratio = this.isLate ? MAX_LATE_PASS_RATIO : MAX_PASS_RATIO;
        const byCost = Math.min(MAX_EXPENSIVE_INTERVAL_MS, this.work.lastMs("pass") / ratio);
        return Math.max(MIN_INTERVAL_MS, workers * INTERVAL_PER_WORKER_MS, byCost);
    }
}
