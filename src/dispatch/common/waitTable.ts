import { ActiveJob, TaskGroup } from "./activeJob";

/** Time without any run for which a job waits for a worker on which its tasks run at full speed, in ms. */
const FULL_SPEED_WAIT_MS = 3_000;

/** Time without any run after which a job accepts any speed, in ms. */
const MAX_WAIT_MS = 8_000;

/** Knows how long groups have been ready while their job had no run, and which speed they accept after that time. */
export class WaitTable {
    private readonly waitingSince = new WeakMap<TaskGroup, number>();

    private constructor() {}

    /** @returns A table that has seen no group. */
    static create(): WaitTable {
        return new WaitTable();
    }

    /**
     * Records that a group has waiting tasks.
     * @param group The group.
     * @param job Its job.
     * @param now Time in ms.
     * @returns Time for which it has waited without any run of its job, in ms.
     */
    update(group: TaskGroup, job: ActiveJob, now: number): number {
        const since = job.hasRun ? now : (this.waitingSince.get(group) ?? now);
        this.waitingSince.set(group, since);
        return now - since;
    }
}

/**
 * @param waitedMs Time for which a job has waited without any run, in ms.
 * @returns Lowest speed at which its tasks may start, in percent of full speed. It falls, so that they start where they run
 * fastest, and the time without any run is bounded while workers have room.
 */
export function minSpeedAfter(waitedMs: number): number {
    const ratio = (MAX_WAIT_MS - waitedMs) / (MAX_WAIT_MS - FULL_SPEED_WAIT_MS);
    return Math.round(100 * Math.max(0, Math.min(1, ratio)));
}
