import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { jobIdOf, SoakEvent } from "../soakEvent";

/** A task starts only after all tasks of the steps that its step depends on have ended `done`. */
export class StepOrderChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): StepOrderChecker {
        return new StepOrderChecker("step-order", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind !== "run-started") {
            return;
        }
        const { task, run, atMs } = event;
        const job = this.site.jobs.get(jobIdOf(task));
        const earlier = this.site.stepOf(task)?.after ?? [];
        const open = earlier.flatMap(step => this.site.tasksOf(job!, step)).filter(each => !this.site.done.has(each));
        this.check(open.length === 0, atMs, `${task} run ${run} starts before ${open[0]} is done`);
    }
}
