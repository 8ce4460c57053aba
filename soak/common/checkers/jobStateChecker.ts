import { MAX_ATTEMPTS } from "../bounds";
import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** A job is shown as done, failed or cancelled only with cause. */
export class JobStateChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): JobStateChecker {
        return new JobStateChecker("shown-done", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind !== "state-shown") {
            return;
        }
        const { id, state, atMs } = event;
        const job = this.site.jobs.get(id);
        const tasks = job?.steps.flatMap((_, step) => this.site.tasksOf(job, step)) ?? [];
        if (state === "done") {
            const open = tasks.filter(each => !this.site.done.has(each));
            this.check(open.length === 0, atMs, `${id} is shown as done, but ${open[0]} has not ended so`);
        } else if (state === "failed") {
            this.check(
                job !== undefined && this.site.hasFailed(job),
                atMs,
                `${id} is shown as failed, but no task has failed ${MAX_ATTEMPTS} times or crashed its workers`,
            );
        } else if (state === "cancelled") {
            this.check(this.site.cancelled.has(id), atMs, `${id} is shown as cancelled, but nobody cancelled it`);
        }
    }
}
