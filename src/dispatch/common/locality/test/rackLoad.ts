import { StepSpec } from "../../../../jobs/common/jobSpec";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { ActiveJob } from "../../jobs/activeJob";
import { Task } from "../../jobs/task";
import { LatencyModel } from "../../placement/latencyModel";
import { Run } from "../../runs/run";
import { SuspectTable } from "../../failures/suspectTable";
import { StepQueue } from "../../waits/stepQueue";
import { WorkerContact } from "../../workers/workerContact";
import { assign, AssigningHost, createJob, createStep, createWorker, report } from "../../jobs/test/runs";
import { PlaceController } from "../placeController";
import { PlacePolicy } from "../placePolicy";
import { PlaceReport } from "../placeReporter";

/** Interval between two passes, in ms. */
export const PASS_MS = 50;

/** @returns A step of reserved CPU: a quarter of a worker for a second. */
export function nearStep(overrides: Partial<StepSpec> = {}): StepSpec {
    const request = { cpuMillis: 16_000, memoryMb: 1_000, accelerators: 0 };
    return createStep("query", false, { request, estimateMs: 1_000, usesSpareCpu: false, ...overrides });
}

/** Workers on racks, and jobs whose tasks take a multiple of their work on a rack that they do not prefer. */
export class RackLoad {
    now = 0;
    readonly workers: WorkerContact[] = [];
    readonly reports: PlaceReport[] = [];
    /** Times (ms) at which the jobs had their first run, and at which they were done. */
    readonly firstRuns = new Map<string, number>();
    readonly ends = new Map<string, number>();
    /** Ratio of the actual duration of a job's tasks to the estimated one; 1 if it is not set. */
    readonly errors = new Map<string, number>();
    /** Number of runs on the rack with the data, and elsewhere. */
    readonly starts = { near: 0, elsewhere: 0 };
    private readonly jobs: ActiveJob[] = [];
    private queue: StepQueue;

    private constructor(
        private readonly factor: number,
        private readonly policy: PlacePolicy | "unaware" | undefined,
    ) {
        this.queue = this.createQueue();
    }

    /**
     * @param workersByRack Number of workers of 64 cores of each rack.
     * @param factor How many times as long tasks take that are not on their rack.
     * @param policy Decides on waits; `unaware` for a leader to which the factor is not stated.
     */
    static create(
        workersByRack: Readonly<Record<string, number>>,
        factor = 3,
        policy?: PlacePolicy | "unaware",
    ): RackLoad {
        const load = new RackLoad(factor, policy);
        for (const [rack, count] of Object.entries(workersByRack)) {
            for (let index = 0; index < count; index++) {
                load.workers.push(createWorker(`${rack}-${index}`, { rack }));
            }
        }
        return load;
    }

    /** Replaces the leader: what it has measured is gone. */
    replaceLeader(): void {
        this.queue = this.createQueue();
    }

    private createQueue(): StepQueue {
        const host = AssigningHost.create((task, worker, now) => {
            const run = assign(worker, task, now);
            run.rack = worker.entry.rack;
            if (task.step.dataRack !== undefined) {
                this.starts[run.rack === task.step.dataRack ? "near" : "elsewhere"] += 1;
            }
            this.firstRuns.set(task.job.spec.id, this.firstRuns.get(task.job.spec.id) ?? now);
            return run;
        });
        const places =
            this.policy === "unaware" ? PlaceController.create() : PlaceController.create(this.factor, this.policy);
        const queue = StepQueue.create(
            QueueTable.create(),
            LatencyModel.create(),
            SuspectTable.create(),
            host,
            undefined,
            undefined,
            undefined,
            places,
        );
        queue.onDidPlace(each => this.reports.push(each));
        return queue;
    }

    /** Submits a job of one step. */
    submit(id: string, step: StepSpec): ActiveJob {
        const job = createJob(id, step, this.now);
        this.jobs.push(job);
        return job;
    }

    /** Fills the rack with runs that end one after the other. @param intervalMs Time between two ends. */
    fill(rack: string, intervalMs: number): void {
        const workers = this.workers.filter(each => each.entry.rack === rack);
        workers.forEach((worker, index) => {
            for (let place = 0; place < 4; place++) {
                const number = index * 4 + place;
                const step = nearStep({ estimateMs: intervalMs * (number + 1) });
                const job = createJob(`fill-${rack}-${number}`, step);
                this.jobs.push(job);
                assign(worker, [...job.tasks()][0], this.now).rack = rack;
            }
        });
    }

    /** Places a long-running task on each worker of a rack. */
    fillForGood(rack: string, cpuMillis = 64_000): void {
        for (const worker of this.workers.filter(each => each.entry.rack === rack)) {
            const request = { cpuMillis, memoryMb: 1_000, accelerators: 0 };
            const job = createJob(`lasting-${worker.entry.id}`, createStep("web", true, { request }));
            this.jobs.push(job);
            assign(worker, [...job.tasks()][0], this.now).rack = rack;
        }
    }

    /** Removes the workers of a rack from the usable ones. */
    lose(rack: string): void {
        this.workers.splice(0, this.workers.length, ...this.workers.filter(each => each.entry.rack !== rack));
    }

    /** Advances the time. @param ms By how much, in ms. */
    advance(ms: number): void {
        for (const until = this.now + ms; this.now < until;) {
            this.now += PASS_MS;
            this.endRuns();
            this.queue.placeWaiting(this.jobs, this.workers, 1_000, this.now, this.now);
        }
    }

    private endRuns(): void {
        for (const worker of this.workers) {
            for (const run of [...worker.runs.values()]) {
                report(run, 1, this.now);
                if (run.task.step.mode !== "long-running" && this.now - run.assignedAt >= this.durationOf(run)) {
                    this.end(run, worker);
                }
            }
        }
    }

    private end(run: Run, worker: WorkerContact): void {
        const { task } = run;
        const { job } = task;
        worker.runs.delete(task.name);
        task.run = undefined;
        task.lastRun = 1;
        job.lastEndAt = this.now;
        this.queue.recordEnd(run, this.now);
        job.markDone(task);
        if (job.isDone) {
            job.state = "done";
            this.ends.set(job.spec.id, this.now);
        }
    }

    private durationOf({ task, rack }: Run): number {
        const { dataRack, prefersOneRack, estimateMs } = task.step;
        const racks = task.job.groupOf(task).tasks.flatMap(({ run }) => run?.rack ?? []);
        const isAway = (dataRack !== undefined && rack !== dataRack) || (prefersOneRack && new Set(racks).size > 1);
        return estimateMs * (this.errors.get(task.job.spec.id) ?? 1) * (isAway ? this.factor : 1);
    }
}

/** @returns The racks on which the tasks of a job have runs, by task. */
export function racksOfTasks(job: ActiveJob): (string | undefined)[] {
    return [...job.tasks()].map((task: Task) => task.run?.rack);
}
