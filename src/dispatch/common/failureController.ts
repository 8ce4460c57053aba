import { isFinal } from "../../jobs/common/jobTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { ActiveJob } from "./activeJob";
import { DecisionData, DecisionName } from "./dispatchEffects";
import { Run } from "./run";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";
import { WorkerLossCause } from "./workerPool";

/** Host of a failure controller. */
export abstract class FailureHost {
    /** Called when a job has failed. @param data Why it has failed. */
    abstract onJobFailed(job: ActiveJob, data: DecisionData): void;

    /** Adds a line to the decision log. */
    abstract logDecision(name: DecisionName, data: DecisionData): void;
}

/** Decides when a task has failed too often. */
export class FailureController {
    private constructor(
        private readonly queues: QueueTable,
        private readonly host: FailureHost,
    ) {}

    /**
     * @param queues Queues as configured.
     * @param host Notified of failed jobs.
     * @returns The controller.
     */
    static create(queues: QueueTable, host: FailureHost): FailureController {
        return new FailureController(queues, host);
    }

    /**
     * Counts a run that ended with `failed`.
     * @param task Its task.
     * @param run Number of the run; one that was counted before has no effect.
     * @param worker Worker on which it failed, if known.
     */
    recordFailure(task: Task, run: number, worker: WorkerContact | undefined): void {
        if (run <= task.lastRun) {
            return;
        }
        task.lastRun = run;
        task.failures += 1;
        if (worker !== undefined) {
            task.failedOn.add(worker.entry.id);
        }
        const { maxAttempts } = this.queues.latestSettings(task.job.spec.queue);
        if (task.step.mode !== "long-running" && task.failures >= maxAttempts) {
            this.failJob(task, { task: task.name, failures: task.failures });
        }
    }

    /**
     * Handles the loss of a worker.
     * @param worker The worker.
     * @param runs Runs that were lost with it.
     * @param cause How it was lost.
     */
    reviewLoss(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void {
        const unproven = runs.filter(run => !run.isProven).map(run => run.record.task);
        const data = { worker: worker.entry.id, cause, runs: runs.length, unproven: unproven.join(" ") };
        this.host.logDecision("worker-lost", data);
    }

    private failJob(task: Task, data: DecisionData): void {
        const { job } = task;
        if (!isFinal(job.state)) {
            job.state = "failed";
            this.host.onJobFailed(job, data);
        }
    }
}
