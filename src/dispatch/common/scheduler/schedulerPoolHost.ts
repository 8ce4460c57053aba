import { Run } from "../runs/run";
import type { Scheduler } from "./scheduler";
import { WorkerContact } from "../workers/workerContact";
import { PoolHost, WorkerLossCause } from "../workers/workerPool";
import { ListedEnd } from "../workers/workerMessages";

/** Forwards the calls of the worker pool to the scheduler. */
export class SchedulerPoolHost extends PoolHost {
    private constructor(private readonly scheduler: Scheduler) {
        super();
    }

    /** @param scheduler Handles the calls. @returns The host. */
    static create(scheduler: Scheduler): SchedulerPoolHost {
        return new SchedulerPoolHost(scheduler);
    }

    override onEndReported(worker: WorkerContact, end: ListedEnd, hasLaterLapse: boolean, now: number): void {
        this.scheduler.onEndReported(worker, end, hasLaterLapse, now);
    }

    override onRunList(worker: WorkerContact, now: number): void {
        this.scheduler.onRunList(worker, now);
    }

    override onWorkerLost(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void {
        this.scheduler.onWorkerLost(worker, runs, cause);
    }

    override onFenced(now: number): void {
        this.scheduler.onFenced(now);
    }
}
