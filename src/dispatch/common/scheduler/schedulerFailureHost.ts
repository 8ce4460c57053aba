import { ActiveJob } from "../jobs/activeJob";
import { DecisionData, DecisionName } from "./dispatchEffects";
import { FailureHost } from "../failures/failureController";

/** Carries out what the failure controller decides. */
export interface FailureCalls {
    onJobFailed(job: ActiveJob, data: DecisionData): void;
    recordProgress(job: ActiveJob): void;
    logDecision(name: DecisionName, data: DecisionData): void;
}

/** Forwards the calls of the failure controller to the scheduler. */
export class SchedulerFailureHost extends FailureHost {
    private constructor(private readonly scheduler: FailureCalls) {
        super();
    }

    /** @param scheduler Handles the calls. @returns The host. */
    static create(scheduler: FailureCalls): SchedulerFailureHost {
        return new SchedulerFailureHost(scheduler);
    }

    override onJobFailed(job: ActiveJob, data: DecisionData): void {
        this.scheduler.onJobFailed(job, data);
    }

    override onSuspicionChange(job: ActiveJob): void {
        this.scheduler.recordProgress(job);
    }

    override logDecision(name: DecisionName, data: DecisionData): void {
        this.scheduler.logDecision(name, data);
    }
}
