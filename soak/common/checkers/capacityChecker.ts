import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** The active runs on a worker, those being stopped included, fit into its capacity after each start. */
export class CapacityChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): CapacityChecker {
        return new CapacityChecker("capacity", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind !== "run-started") {
            return;
        }
        const { task, run, worker, atMs } = event;
        const used = this.site.usedOn(worker);
        const capacity = this.site.workers.get(worker) ?? { cpu: 0, memMb: 0 };
        const detail = `${task} run ${run} brings worker ${worker} to ${used.cpu} of ${capacity.cpu}, ${used.memMb} of ${capacity.memMb} MB`;
        this.check(used.cpu <= capacity.cpu && used.memMb <= capacity.memMb, atMs, detail);
    }
}
