import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { DecisionData } from "../../scheduler/dispatchEffects";
import { FailureController, FailureHost } from "../failureController";
import { Run } from "../../runs/run";
import { SuspectTable } from "../suspectTable";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { assign, createJob, createStep, createWorker, NoopRunHost, report } from "../../jobs/test/runs";

/** Time after which a run is listed and its start counts as survived, in ms. */
export const SURVIVED_MS = 600;

/** Records failed jobs and log lines. */
class RecordingHost extends FailureHost {
    readonly failedJobs: ActiveJob[] = [];
    readonly decisions: string[] = [];

    override onJobFailed(job: ActiveJob): void {
        this.failedJobs.push(job);
    }
    override onSuspicionChange(): void {}
    override logDecision(name: string, data: DecisionData): void {
        this.decisions.push(`${name} ${data.task ?? data.worker} ${data.state ?? ""}`.trim());
    }
}

/** @returns A controller with its host and its suspected tasks. */
export function createController() {
    const host = new RecordingHost();
    const suspects = SuspectTable.create();
    return { host, suspects, failures: FailureController.create(QueueTable.create(), suspects, host) };
}

/** @returns The only task of a new job, with reserved CPU. */
export function createTask(id: string): Task {
    return createJob(id, createStep(id, false, { usesSpareCpu: false })).find(`${id}.0.0.0`)!;
}

/** Starts a task. @returns Its run. */
export function start(worker: WorkerContact, task: Task, now: number): Run {
    const run = sendStart(worker, task);
    run.fire("accepted", { now });
    return run;
}

/** Sends the start of a task. @returns Its run, whose start is not answered yet. */
export function sendStart(worker: WorkerContact, task: Task): Run {
    return assign(worker, task);
}

/** Adds a run that an earlier leader assigned. */
export function inherit(worker: WorkerContact, task: Task): void {
    const record = { task: task.name, run: 1, worker: worker.entry.id, incarnation: 0, checkpoint: "" };
    const run = Run.create(task, record, new NoopRunHost(), 0);
    task.run = run;
    worker.runs.set(task.name, run);
    run.fire("inherit", { now: 0 });
}

/** Loses a worker and all its runs. */
export function lose(failures: FailureController, worker: WorkerContact): void {
    const runs = [...worker.runs.values()];
    failures.reviewLoss(worker, runs, "replaced");
    for (const { task } of runs) {
        worker.runs.delete(task.name);
        task.run = undefined;
    }
}

/** Records that workers are at work for 60 s up to time 0, and loses some of them with runs that are not suspected. */
export function measureLosses(failures: FailureController, workers: number, losses: number): void {
    for (let now = -60_000; now <= 0; now += 100) {
        failures.recordUptime(workers, now);
    }
    for (let loss = 0; loss < losses; loss++) {
        const worker = createWorker(`other${loss}`);
        report(start(worker, createTask(`other${loss}`), 0), 0, 20_000);
        lose(failures, worker);
    }
}
