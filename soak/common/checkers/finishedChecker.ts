import { BOUNDS, MAX_IDLE_MS } from "../bounds";
import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent, SoakJob } from "../soakEvent";

/** From this share of the capacity in use on, a job may wait. */
const MAX_USED_RATIO = 0.5;

/** After the end of the traffic, no accepted job waits without a run in calm while there is ample room. */
export class FinishedChecker extends RuleChecker {
    private dueFrom = Number.POSITIVE_INFINITY;
    /** Time (ms) since which a job has had nothing running although it could. */
    private readonly waitingSince = new Map<string, number>();
    private readonly reported = new Set<string>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): FinishedChecker {
        return new FinishedChecker("finished", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind === "traffic-ended") {
            this.dueFrom = event.atMs + BOUNDS.finish_s * 1_000;
        } else if (event.kind === "tick" && event.atMs >= this.dueFrom) {
            this.review(event.atMs);
        }
    }

    private review(atMs: number): void {
        const hasRoom = this.site.calmMs(atMs) >= BOUNDS.stableWindowMs && this.site.usedRatio < MAX_USED_RATIO;
        for (const id of this.site.accepted) {
            const job = this.site.jobs.get(id)!;
            if (!hasRoom || this.site.cancelled.has(id) || !this.isWaiting(job)) {
                this.waitingSince.delete(id);
                continue;
            }
            const since = this.waitingSince.get(id) ?? atMs;
            this.waitingSince.set(id, since);
            if (atMs - since > MAX_IDLE_MS && !this.reported.has(id)) {
                this.reported.add(id);
                this.check(false, atMs, `${id} has had nothing running for ${Math.round(atMs - since)} ms`);
            }
        }
    }

    /** @returns Whether a job has nothing running, is not finished, and two workers have room for a task whose turn has come. */
    private isWaiting(job: SoakJob): boolean {
        const steps = job.steps.map((step, index) => ({ step, tasks: this.site.tasksOf(job, index) }));
        const tasks = steps.flatMap(each => each.tasks);
        const hasRun = tasks.some(each => this.site.runs.has(each));
        if (this.site.hasFailed(job) || hasRun || steps.some(each => each.step.longRunning)) {
            return false;
        }
        const isDone = (index: number) => steps[index].tasks.every(each => this.site.done.has(each));
        const ready = steps.find(({ step }, index) => !isDone(index) && (step.after ?? []).every(isDone));
        return ready !== undefined && this.site.countRoomFor(ready.step) >= 2;
    }
}
