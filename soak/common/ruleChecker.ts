import { SoakEvent } from "./soakEvent";
import { SiteState } from "./siteState";

/** A rule that a soak checks. */
export type SoakRule =
    | "single-run"
    | "no-start-after-done"
    | "step-order"
    | "capacity"
    | "crash-budget"
    | "unasked"
    | "known"
    | "shown-done"
    | "finished"
    | "lasting-run"
    | "single-holder"
    | "process-end"
    | "log-line";

/** One violation of a rule. */
export interface RuleViolation {
    readonly rule: SoakRule;
    readonly atMs: number;
    readonly detail: string;
}

/** Checks one rule against what is seen from outside. */
export abstract class RuleChecker {
    readonly violations: RuleViolation[] = [];

    protected constructor(
        readonly rule: SoakRule,
        protected readonly site: SiteState,
    ) {}

    /** @param event What was seen; the state of the site includes it already. */
    abstract observe(event: SoakEvent): void;

    /** Records a violation if the rule does not hold. @param detail What happened; begins with the task, job or node. */
    protected check(holds: boolean, atMs: number, detail: string): void {
        if (!holds) {
            this.violations.push({ rule: this.rule, atMs: Math.round(atMs), detail });
        }
    }
}
