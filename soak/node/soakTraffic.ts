import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../../src/proof/node/random";
import { WORKER_CAPACITY } from "../common/bounds";
import { PlanName } from "../common/faultPlan";
import { createSeededRandom } from "../common/seededRandom";
import { SoakJob, SoakObservation, SoakStep } from "../common/soakEvent";
import { Caller } from "./caller";
import { TaskPlan } from "./workerServer";

/** Number of callers, each with its own connections. */
const CALLERS = 6;

/** Bounds of the time between two jobs, in ms. */
const SUBMIT_EVERY_MS = [700, 1_200] as const;

/** Time between two readings of a job's state, in ms. */
const READ_EVERY_MS = 200;

/** Longest time from the submission of a job that is cancelled to its cancellation, in ms. */
const MAX_CANCEL_DELAY_MS = 3_000;

/** Probabilities that a job is cancelled, that it has a second step, and that a run fails. */
const CANCEL_RATIO = 0.1;
const SECOND_STEP_RATIO = 0.3;
const FAIL_RATIO = 0.02;

/** Share of the workers' processor time that the tasks that last request, and the tasks of one such job. */
const LASTING_RATIO = 0.45;
const LASTING_TASKS = 7;

const LASTING_STEP: SoakStep = { count: LASTING_TASKS, cpu: 13_000, memMb: 26_000, estMs: 500, longRunning: true };

/** Finite jobs of a soak. */
export interface BatchTraffic {
    /** Tasks of the first step of a job, for each worker. */
    readonly tasksPerWorker: number;
    /** Bounds of the time for which a task works, in ms. */
    readonly workMs: readonly [number, number];
}

const USUAL_BATCHES: BatchTraffic = { tasksPerWorker: 0.5, workMs: [800, 2_200] };

/** Where workers crash in series, the next crash often comes before the end of a task. */
const BATCHES_BETWEEN_CRASHES: BatchTraffic = { tasksPerWorker: 1, workMs: [1_000, 2_500] };

/** @param mode Plan of the faults. @returns The finite jobs that go with it. */
export function batchTrafficFor(mode: PlanName): BatchTraffic {
    return mode === "crashes" ? BATCHES_BETWEEN_CRASHES : USUAL_BATCHES;
}

/** What callers do: they submit jobs, cancel some, and read states. */
export class SoakTraffic {
    private readonly callers: readonly Caller[];
    private readonly pending = new Set<Promise<void>>();
    private readonly ids: string[] = [];
    private isStopped = false;
    private loops: Promise<void>[] = [];

    private constructor(
        private readonly batches: BatchTraffic,
        private readonly workers: number,
        private readonly random: Random,
        addresses: readonly string[],
        observe: (observation: SoakObservation) => void,
    ) {
        this.callers = Array.from({ length: CALLERS }, () => Caller.create(addresses, random, observe));
    }

    /**
     * @param batches The finite jobs.
     * @param workers Number of workers, to which the traffic is scaled.
     * @param random Decides jobs and times.
     * @param addresses Host and port of each entry.
     * @param observe Receives what callers see.
     * @returns Traffic that has not started.
     */
    static create(
        batches: BatchTraffic,
        workers: number,
        random: Random,
        addresses: readonly string[],
        observe: (observation: SoakObservation) => void,
    ): SoakTraffic {
        return new SoakTraffic(batches, workers, random, addresses, observe);
    }

    /** Submits the jobs that last, then begins with the others. @returns When the jobs that last are accepted. */
    async start(): Promise<void> {
        const tasks = (this.workers * WORKER_CAPACITY.cpu * LASTING_RATIO) / LASTING_STEP.cpu;
        const jobs = Math.max(1, Math.floor(tasks / LASTING_TASKS));
        await Promise.all(Array.from({ length: jobs }, () => this.submit([LASTING_STEP])));
        this.loops = [this.submitBatches(), this.readStates()];
    }

    /** Ends the submissions. @returns When all calls that are under way have ended. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.loops);
        await Promise.all(this.pending);
    }

    /** Reads the state of jobs. @param ids The jobs. */
    async readAll(ids: readonly string[]): Promise<void> {
        for (const id of ids) {
            await this.random.pick(this.callers).ensureState(id);
        }
    }

    dispose(): void {
        this.isStopped = true;
        this.callers.forEach(each => each.dispose());
    }

    private async submitBatches(): Promise<void> {
        while (!this.isStopped) {
            this.track(this.submit(this.batchSteps()));
            await delay(this.random.between(...SUBMIT_EVERY_MS));
        }
    }

    private async readStates(): Promise<void> {
        while (!this.isStopped) {
            if (this.ids.length > 0) {
                this.track(this.random.pick(this.callers).readState(this.random.pick(this.ids)));
            }
            await delay(READ_EVERY_MS);
        }
    }

    private batchSteps(): SoakStep[] {
        const count = Math.max(2, Math.round(this.workers * this.batches.tasksPerWorker));
        const first = { count, cpu: 7_000, memMb: 8_000, estMs: 1_500 };
        const second = { count: 2, cpu: 7_000, memMb: 8_000, estMs: 1_500, after: [0] };
        return this.random.chance(SECOND_STEP_RATIO) ? [first, second] : [first];
    }

    private async submit(steps: readonly SoakStep[]): Promise<void> {
        const id = Array.from({ length: 16 }, () => this.random.between(0, 15).toString(16)).join("");
        const job: SoakJob = { id, spec: `soak-${id}`, steps };
        const caller = this.random.pick(this.callers);
        const isCancelled = steps[0].longRunning !== true && this.random.chance(CANCEL_RATIO);
        const cancelDelayMs = this.random.between(0, MAX_CANCEL_DELAY_MS);
        this.ids.push(id);
        await caller.submit(job);
        if (isCancelled) {
            await delay(cancelDelayMs);
            await caller.cancel(id);
        }
    }

    private track(call: Promise<unknown>): void {
        const tracked: Promise<void> = call.then(() => void this.pending.delete(tracked));
        this.pending.add(tracked);
    }
}

/** Runs of a task up to this number are planned apart from those of other tasks. */
const MAX_RUNS = 1_000;

/** Bounds of the time from the start of a deadly task to the crash of its worker, in ms. */
const EARLY_CRASH_MS = [5, 100] as const;
const LATE_CRASH_MS = [500, 3_500] as const;

/** Probability that a deadly task crashes its workers late. */
const LATE_CRASH_RATIO = 0.3;

/**
 * @param batches The finite jobs.
 * @param seed Seed of the run.
 * @param jobs The jobs that were submitted.
 * @param deadlyRatio Share of the jobs with a task that crashes each worker that starts it.
 * @returns What the tasks do, as the seed and their names decide.
 */
export function planTasks(
    batches: BatchTraffic,
    seed: number,
    jobs: ReadonlyMap<string, SoakJob>,
    deadlyRatio: number,
): (task: string, run: number) => TaskPlan {
    return (task, run) => {
        const [id, , step, index] = task.split(".");
        if (jobs.get(id)?.steps[Number(step)].longRunning === true) {
            return { workMs: Number.POSITIVE_INFINITY, end: "done" };
        }
        const jobSeed = seed ^ parseInt(id.slice(0, 7), 16);
        const deadly = planDeadlyTask(jobs.get(id)!, jobSeed, deadlyRatio);
        if (deadly?.task === task) {
            return deadly.plan;
        }
        const random = createSeededRandom(jobSeed, Number(index) * MAX_RUNS + run);
        return { workMs: random.between(...batches.workMs), end: random.chance(FAIL_RATIO) ? "failed" : "done" };
    };
}

/** @returns The task of a job that crashes each worker that starts it, if the job has one. */
function planDeadlyTask(
    { id, steps }: SoakJob,
    jobSeed: number,
    ratio: number,
): { readonly task: string; readonly plan: TaskPlan } | undefined {
    // Runs begin with 1, so no run of a task has these numbers.
    const random = createSeededRandom(jobSeed, 0);
    if (!random.chance(ratio)) {
        return undefined;
    }
    const step = random.between(0, steps.length - 1);
    const index = random.between(0, steps[step].count - 1);
    const [shortest, longest] = random.chance(LATE_CRASH_RATIO) ? LATE_CRASH_MS : EARLY_CRASH_MS;
    return { task: `${id}.0.${step}.${index}`, plan: { workMs: random.between(shortest, longest), end: "crash" } };
}
