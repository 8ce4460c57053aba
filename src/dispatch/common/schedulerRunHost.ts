import { Run, RunHost, RunOutcome } from "./run";
import type { Scheduler } from "./scheduler";

/** Forwards the calls of runs to the scheduler. */
export class SchedulerRunHost extends RunHost {
    private constructor(private readonly scheduler: Scheduler) {
        super();
    }

    /** @param scheduler Handles the calls. @returns The host. */
    static create(scheduler: Scheduler): SchedulerRunHost {
        return new SchedulerRunHost(scheduler);
    }

    override sendStart(run: Run, now: number): void {
        this.scheduler.sendStart(run, now);
    }

    override sendStop(run: Run, _now: number): void {
        this.scheduler.sendStop(run);
    }

    override onEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void {
        this.scheduler.onRunEnd(run, outcome, checkpoint, now);
    }
}
