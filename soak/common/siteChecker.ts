import { CancellationChecker } from "./checkers/cancellationChecker";
import { CapacityChecker } from "./checkers/capacityChecker";
import { CrashBudgetChecker } from "./checkers/crashBudgetChecker";
import { DoneTaskChecker } from "./checkers/doneTaskChecker";
import { FinishedChecker } from "./checkers/finishedChecker";
import { HolderChecker } from "./checkers/holderChecker";
import { JobStateChecker } from "./checkers/jobStateChecker";
import { KnownJobChecker } from "./checkers/knownJobChecker";
import { LastingRunChecker } from "./checkers/lastingRunChecker";
import { LogLineChecker } from "./checkers/logLineChecker";
import { ProcessChecker } from "./checkers/processChecker";
import { SingleRunChecker } from "./checkers/singleRunChecker";
import { StepOrderChecker } from "./checkers/stepOrderChecker";
import { RuleChecker, RuleViolation } from "./ruleChecker";
import { SiteState } from "./siteState";
import { SoakEvent } from "./soakEvent";

/** Checks all rules of a soak against what is seen from outside. */
export class SiteChecker {
    readonly state = SiteState.create();
    readonly lastingRuns = LastingRunChecker.create(this.state);
    private readonly checkers: readonly RuleChecker[] = [
        SingleRunChecker.create(this.state),
        DoneTaskChecker.create(this.state),
        StepOrderChecker.create(this.state),
        CapacityChecker.create(this.state),
        CrashBudgetChecker.create(this.state),
        CancellationChecker.create(this.state),
        JobStateChecker.create(this.state),
        KnownJobChecker.create(this.state),
        FinishedChecker.create(this.state),
        HolderChecker.create(this.state),
        ProcessChecker.create(this.state),
        LogLineChecker.create(this.state),
        this.lastingRuns,
    ];

    private constructor() {}

    /** @returns A checker without observations. */
    static create(): SiteChecker {
        return new SiteChecker();
    }

    /** @param event What was seen, in the order of time. @returns The violations that it shows. */
    observe(event: SoakEvent): RuleViolation[] {
        this.state.apply(event);
        return this.checkers.flatMap(checker => {
            const before = checker.violations.length;
            checker.observe(event);
            return checker.violations.slice(before);
        });
    }
}
