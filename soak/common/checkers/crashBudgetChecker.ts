import { CRASHES_BEFORE_BUDGET, MAX_STARTS_AFTER_CRASHES } from "../bounds";
import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** A task that crashes the workers that start it is started only a few times more after some crashes under it. */
export class CrashBudgetChecker extends RuleChecker {
    /** Number of starts of a task since the crash from which they are limited. */
    private readonly starts = new Map<string, number>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): CrashBudgetChecker {
        return new CrashBudgetChecker("crash-budget", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind !== "run-started") {
            return;
        }
        const { task, run, atMs } = event;
        if (this.site.deadlyTasks.has(task) && (this.site.crashes.get(task) ?? 0) >= CRASHES_BEFORE_BUDGET) {
            const starts = (this.starts.get(task) ?? 0) + 1;
            this.starts.set(task, starts);
            const detail = `${task} run ${run} is start ${starts} after ${CRASHES_BEFORE_BUDGET} crashes under the task`;
            this.check(starts <= MAX_STARTS_AFTER_CRASHES, atMs, detail);
        }
    }
}
