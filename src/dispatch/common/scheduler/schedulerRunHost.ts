import { Run, RunHost, RunOutcome } from "../runs/run";
import { RunOrders } from "../runs/runOrders";

/** Handles the starts and ends of runs. */
export interface RunCalls {
    /** Time in ms since the Unix epoch, as of the latest event. */
    readonly wallTime: number;
    onRunStart(run: Run): void;
    onRunEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void;
}

/** Sends the orders of runs, and forwards their starts and ends to the scheduler. */
export class SchedulerRunHost extends RunHost {
    private constructor(
        private readonly scheduler: RunCalls,
        private readonly orders: RunOrders,
    ) {
        super();
    }

    /** @param scheduler Handles the starts and ends. @param orders Sends the orders. @returns The host. */
    static create(scheduler: RunCalls, orders: RunOrders): SchedulerRunHost {
        return new SchedulerRunHost(scheduler, orders);
    }

    override sendStart(run: Run, now: number): void {
        this.orders.sendStart(run, now, this.scheduler.wallTime);
    }

    override sendStop(run: Run, _now: number): void {
        this.orders.sendStop(run);
    }

    override onStart(run: Run): void {
        this.orders.reportStart(run, this.scheduler.wallTime);
        this.scheduler.onRunStart(run);
    }

    override onEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void {
        this.scheduler.onRunEnd(run, outcome, checkpoint, now);
    }
}
