import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { jobIdOf, SoakEvent } from "../soakEvent";
import { BOUNDS } from "../bounds";

/** Resolution with which workers end runs and the site is reviewed, in ms. */
const RESOLUTION_MS = 150;

/**
 * Only tasks that were submitted start, none later than the bound after the cancellation was acknowledged, and none of a
 * cancelled job runs on in calm.
 */
export class CancellationChecker extends RuleChecker {
    /** Time (ms) at which the first acknowledgement of a cancellation was received. */
    private readonly acknowledgedAt = new Map<string, number>();

    private readonly reported = new Set<string>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): CancellationChecker {
        return new CancellationChecker("unasked", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind === "cancel-acknowledged") {
            this.acknowledgedAt.set(event.id, this.acknowledgedAt.get(event.id) ?? event.atMs);
        } else if (event.kind === "run-started") {
            const { task, run, atMs, isLate } = event;
            const isAsked =
                this.site.stepOf(task) !== undefined && this.site.jobs.get(jobIdOf(task))?.spec === event.spec;
            this.check(isAsked, atMs, `${task} run ${run} is not of a submitted job, or has another spec`);
            const sinceMs = atMs - (this.acknowledgedAt.get(jobIdOf(task)) ?? Number.POSITIVE_INFINITY);
            const isInTouch = this.site.calmMs(atMs) >= BOUNDS.stableWindowMs && !isLate;
            this.check(
                sinceMs <= BOUNDS.cancel_ms || !isInTouch,
                atMs,
                `${task} run ${run} starts ${Math.round(sinceMs)} ms after the cancellation was acknowledged`,
            );
        } else if (event.kind === "tick") {
            this.acknowledgedAt.forEach((acknowledgedAt, id) => this.reviewRuns(id, acknowledgedAt, event.atMs));
        }
    }

    private reviewRuns(id: string, acknowledgedAt: number, atMs: number): void {
        const job = this.site.jobs.get(id);
        const tasks = job?.steps.flatMap((_, step) => this.site.tasksOf(job, step)) ?? [];
        for (const { task, run, atMs: startedAt } of tasks.flatMap(each => this.site.runsOf(each))) {
            const calmFrom = atMs - this.site.calmMs(atMs) + BOUNDS.stableWindowMs;
            const from = Math.max(acknowledgedAt, calmFrom, startedAt + BOUNDS.stableWindowMs);
            const lateMs = atMs - from - BOUNDS.cancel_ms - BOUNDS.stopMs;
            const key = `${task} run ${run}`;
            if (lateMs > RESOLUTION_MS && !this.reported.has(key)) {
                this.reported.add(key);
                this.check(false, atMs, `${key} runs on ${Math.round(lateMs)} ms after it should have been stopped`);
            }
        }
    }
}
