import { QueueHost } from "../waits/queueHost";
import { Run } from "../runs/run";
import { Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";

/** Carries out what the step queue decides. */
export interface QueueCalls {
    assign(task: Task, worker: WorkerContact, speedPercent: number, now: number): Run;
    moveThrottled(run: Run, now: number): void;
    preempt(run: Run, now: number): void;
    requestPassBy(at: number): void;
}

/** Forwards the calls of the step queue to the scheduler. */
export class SchedulerQueueHost extends QueueHost {
    private constructor(private readonly scheduler: QueueCalls) {
        super();
    }

    /** @param scheduler Handles the calls. @returns The host. */
    static create(scheduler: QueueCalls): SchedulerQueueHost {
        return new SchedulerQueueHost(scheduler);
    }

    override assign(task: Task, worker: WorkerContact, speedPercent: number, now: number): Run {
        return this.scheduler.assign(task, worker, speedPercent, now);
    }

    override move(run: Run, now: number): void {
        this.scheduler.moveThrottled(run, now);
    }

    override preempt(run: Run, now: number): void {
        this.scheduler.preempt(run, now);
    }

    override requestPassBy(at: number): void {
        this.scheduler.requestPassBy(at);
    }
}
