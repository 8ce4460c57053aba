import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** A task has at most one run at a time on the workers that are up. */
export class SingleRunChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): SingleRunChecker {
        return new SingleRunChecker("single-run", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind === "run-started") {
            const { task, run, atMs } = event;
            const runs = this.site.runsOf(task).map(each => `run ${each.run} on worker ${each.worker}`);
            this.check(runs.length <= 1, atMs, `${task} run ${run} starts while another is active: ${runs.join(", ")}`);
        }
    }
}
