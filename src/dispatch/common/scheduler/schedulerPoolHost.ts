import { Leadership } from "../../../records/common/leadership";
import { Run } from "../runs/run";
import { WorkerContact } from "../workers/workerContact";
import { PoolHost, WorkerLossCause } from "../workers/workerPool";
import { ListedEnd } from "../workers/workerMessages";

/** Handles what the worker pool reports. */
export interface PoolCalls {
    onEndReported(worker: WorkerContact, end: ListedEnd, hasLaterLapse: boolean, now: number): void;
    onRunList(worker: WorkerContact, now: number): void;
    onWorkerLost(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void;
}

/** Forwards the calls of the worker pool to the scheduler. */
export class SchedulerPoolHost extends PoolHost {
    private constructor(
        private readonly scheduler: PoolCalls,
        private readonly leadership: Leadership,
    ) {
        super();
    }

    /** @param scheduler Handles the calls. @param leadership Ends when a worker knows a later epoch. @returns The host. */
    static create(scheduler: PoolCalls, leadership: Leadership): SchedulerPoolHost {
        return new SchedulerPoolHost(scheduler, leadership);
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
        this.leadership.handleRejection(now);
    }
}
