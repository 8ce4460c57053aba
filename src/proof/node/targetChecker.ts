import { LeasedWorker } from "../../standin/common/leasedWorker";
import { LIMITS } from "./jobTrialPlan";

/** Checks that best-effort tasks do not keep latency-critical ones over their targets. */
export class TargetChecker {
    /** Time (ms) since which a task is over its target because of best-effort tasks. */
    private readonly harmedSince = new Map<string, number>();
    /** Tasks whose present time over the target is reported. */
    private readonly reported = new Set<string>();

    private constructor(private readonly report: (detail: string) => void) {}

    /** @param report Receives violations. @returns A checker without observations. */
    static create(report: (detail: string) => void): TargetChecker {
        return new TargetChecker(report);
    }

    /**
     * Reviews the tasks on the workers; to be called more often than a report changes.
     * @param workers The workers that are up.
     * @param isCalm Whether all of them are sound and no disruption is near.
     * @param now Time in ms.
     */
    review(workers: readonly LeasedWorker[], isCalm: boolean, now: number): void {
        const harmed = new Map(workers.flatMap(worker => (isCalm ? harmedTasks(worker, now) : [])));
        for (const task of [...this.harmedSince.keys()].filter(each => !harmed.has(each))) {
            this.harmedSince.delete(task);
            this.reported.delete(task);
        }
        for (const [task, worker] of harmed) {
            const since = this.harmedSince.get(task) ?? now;
            this.harmedSince.set(task, since);
            if (now - since > LIMITS.harmMs && !this.reported.has(task)) {
                this.reported.add(task);
                this.report(
                    `${task} is over its target for over ${LIMITS.harmMs} ms because of its neighbors on ${worker}`,
                );
            }
        }
    }
}

/** @returns The tasks of a worker that are over their target and would not be without the best-effort tasks beside them. */
function harmedTasks(worker: LeasedWorker, now: number): [string, string][] {
    return [...worker.conditions(now)].flatMap(([task, { headroom, headroomAlone }]): [string, string][] =>
        headroom !== undefined && headroom < 1 && (headroomAlone ?? 0) >= 1 ? [[task, worker.entry.id]] : [],
    );
}
