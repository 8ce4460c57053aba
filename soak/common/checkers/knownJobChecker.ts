import { BOUNDS } from "../bounds";
import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { jobIdOf, SoakEvent } from "../soakEvent";

/** An accepted job that nobody has cancelled stays known, and its state can be read once the site is calm. */
export class KnownJobChecker extends RuleChecker {
    private readonly acceptedAt = new Map<string, number>();
    /** Time (ms) of the latest end of a run, by job. */
    private readonly endedAt = new Map<string, number>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): KnownJobChecker {
        return new KnownJobChecker("known", site);
    }

    override observe(event: SoakEvent): void {
        switch (event.kind) {
            case "accepted":
                this.acceptedAt.set(event.id, this.acceptedAt.get(event.id) ?? event.atMs);
                break;
            case "run-ended":
                this.endedAt.set(jobIdOf(event.task), event.atMs);
                break;
            case "job-not-found":
                this.check(
                    !this.isVisible(event.id, event.atMs),
                    event.atMs,
                    `${event.id} was accepted, but is not found`,
                );
                break;
            case "state-unknown":
                this.check(
                    !this.isVisible(event.id, event.atMs),
                    event.atMs,
                    `${event.id} was accepted, but has no state`,
                );
        }
    }

    private isVisible(id: string, atMs: number): boolean {
        const sinceMs = atMs - (this.acceptedAt.get(id) ?? Number.POSITIVE_INFINITY);
        return sinceMs > BOUNDS.visible_ms && !this.site.cancelled.has(id) && !this.isForgotten(id, atMs);
    }

    /** @returns Whether a job has been over for so long that its state may be dropped. */
    private isForgotten(id: string, atMs: number): boolean {
        const job = this.site.jobs.get(id)!;
        const tasks = job.steps.flatMap((_, step) => this.site.tasksOf(job, step));
        const isOver = tasks.every(each => this.site.done.has(each)) || this.site.hasFailed(job);
        return isOver && atMs - (this.endedAt.get(id) ?? atMs) > BOUNDS.status_s * 1_000;
    }
}
