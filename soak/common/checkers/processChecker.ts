import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** No process ends by itself. */
export class ProcessChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): ProcessChecker {
        return new ProcessChecker("process-end", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind === "process-ended") {
            this.check(event.isExpected, event.atMs, `${event.node} ends by itself: ${event.detail}`);
        }
    }
}
