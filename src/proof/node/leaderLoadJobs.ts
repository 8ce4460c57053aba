import { JobSpec, StepSpec } from "../../jobs/common/jobSpec";
import { ColocatedRun, ColocationModel, RunCondition, SharedWorker } from "../../standin/common/colocationModel";
import { RunPlan } from "../../standin/common/leasedWorker";
import { Random } from "./random";

/** Latency-critical jobs: their number, and the share of the workers on which one of their tasks runs. */
const LATENCY_CRITICAL = { jobs: 5, workerRatio: 0.95 };

/** Number of images of batch tasks. */
const BATCH_IMAGES = 8;

/** Target of the tail latency, in ms. */
const TAIL_TARGET_MS = 24;

/** Headroom of a latency-critical task without load, and the loss next to a batch task that uses all CPU of the worker. */
const IDLE_HEADROOM = 6;
const INTERFERENCE = { light: 2, heavy: 12 };
const MIN_HEADROOM = 0.2;

/** Load of latency-critical tasks as share of their requested CPU: mean, relative swing, and period in ms. */
const LOAD = { mean: 0.45, swing: 0.5, periodMs: 20_000 };

/** Relative deviation of a reported tail latency from the true one. */
const REPORT_NOISE = 0.1;

/** Work of a batch task from one checkpoint to the next, in ms. */
const CHECKPOINT_INTERVAL_MS = 500;

const COMMON_STEP = { after: [], checkpoints: false, prefersOneRack: false, usesSpareCpu: false } as const;

/** Makes up the jobs of a busy day, and decides how their tasks do beside each other. */
export class LeaderLoadJobs extends ColocationModel {
    private readonly steps = new Map<string, readonly StepSpec[]>();
    private count = 0;

    private constructor(
        private readonly random: Random,
        private readonly workers: number,
    ) {
        super();
    }

    /** @param seed Seed of all draws. @param workers Number of workers. @returns The model, without jobs. */
    static create(seed: number, workers: number): LeaderLoadJobs {
        return new LeaderLoadJobs(Random.create(seed), workers);
    }

    /** @returns The latency-critical jobs, which together have tasks for nearly all workers. */
    latencyCritical(wallNow: number): JobSpec[] {
        const { jobs, workerRatio } = LATENCY_CRITICAL;
        return Array.from({ length: jobs }, (_, index) =>
            this.createJob(wallNow, 0, [
                {
                    ...COMMON_STEP,
                    tasks: Math.max(1, Math.floor((this.workers * workerRatio) / jobs)),
                    request: { cpuMillis: 6_000, memoryMb: 14_000, accelerators: 0 },
                    estimateMs: 60_000,
                    mode: "long-running",
                    maxPerWorker: 1,
                    image: `service-${index}`,
                    tailTargetMs: TAIL_TARGET_MS,
                    maxUnavailable: 1,
                },
            ]),
        );
    }

    /** @returns A batch job of best-effort tasks, in one or two steps. */
    batch(wallNow: number): JobSpec {
        const { random } = this;
        const request = {
            cpuMillis: random.between(2, 6) * 1_000,
            memoryMb: random.between(4, 16) * 1_000,
            accelerators: 0,
        };
        const image = `batch-${random.between(0, BATCH_IMAGES - 1)}`;
        const steps = Array.from({ length: random.between(1, 2) }, (_, index): StepSpec => ({
            ...COMMON_STEP,
            tasks: random.between(1, 12),
            request,
            estimateMs: random.between(2, 8) * 1_000,
            after: index === 0 ? [] : [index - 1],
            mode: "independent",
            checkpoints: true,
            usesSpareCpu: true,
            image,
        }));
        return this.createJob(wallNow, 2, steps);
    }

    /** @returns An urgent job of short tasks with reserved CPU. */
    urgent(wallNow: number): JobSpec {
        const { random } = this;
        const step: StepSpec = {
            ...COMMON_STEP,
            tasks: random.between(1, 3),
            request: { cpuMillis: random.between(1, 3) * 1_000, memoryMb: 2_000, accelerators: 0 },
            estimateMs: 800,
            mode: "independent",
            image: "urgent",
        };
        return this.createJob(wallNow, 0, [step]);
    }

    /** @param task Name of a task. @returns What its run does. */
    planRun(task: string): RunPlan {
        const step = this.stepOf(task);
        if (step.mode === "long-running") {
            return { ms: Number.POSITIVE_INFINITY, end: "done" };
        }
        return {
            ms: step.estimateMs,
            end: "done",
            checkpointMs: step.checkpoints ? CHECKPOINT_INTERVAL_MS : undefined,
        };
    }

    override conditions(runs: readonly ColocatedRun[], worker: SharedWorker, now: number): RunCondition[] {
        const steps = runs.map(({ task }) => this.stepOf(task));
        const load = LOAD.mean * (1 + LOAD.swing * Math.sin((2 * Math.PI * now) / LOAD.periodMs));
        const usage = steps.map((step, index) => {
            const ratio = step.tailTargetMs === undefined ? runs[index].speedPercent / 100 : load;
            return step.request.cpuMillis * ratio;
        });
        const granted = Math.min(1, worker.capacity.cpuMillis / Math.max(1, sumOf(usage)));
        return steps.map((step, index) => {
            if (step.tailTargetMs === undefined) {
                return {
                    rate: (usage[index] * granted) / step.request.cpuMillis,
                    latencyOrUsage: usage[index] * granted,
                };
            }
            const losses = steps.map((other, position) =>
                other.usesSpareCpu ? (interferenceOf(step, other) * usage[position]) / worker.capacity.cpuMillis : 0,
            );
            const headroom = Math.max(MIN_HEADROOM, IDLE_HEADROOM * (1 - load) - sumOf(losses));
            const noise = 1 + REPORT_NOISE * (2 * this.random.fraction() - 1);
            return { rate: 1, latencyOrUsage: (step.tailTargetMs / headroom) * noise };
        });
    }

    private stepOf(task: string): StepSpec {
        const [id, , step] = task.split(".");
        return this.steps.get(id)![Number(step)];
    }

    private createJob(wallNow: number, priority: number, steps: readonly StepSpec[]): JobSpec {
        this.count += 1;
        const id = `job-${this.count}`;
        this.steps.set(id, steps);
        const queue = { name: `q${priority}`, host: "h", prefix: `/q${priority}/`, service: "svc", priority };
        return {
            id,
            queue: { ...queue, maxAttempts: 3, stretch: 3, slackMs: 10_000, timeoutMs: 3_000 },
            payload: "load",
            steps,
            occurrences: 0,
            firstDueMs: 0,
            intervalMs: 0,
            acceptedAtMs: wallNow,
        };
    }
}

function sumOf(values: readonly number[]): number {
    return values.reduce((sum, each) => sum + each, 0);
}

/** Every fourth pair of images interferes heavily. */
function interferenceOf(step: StepSpec, neighbor: StepSpec): number {
    const isHeavy = (numberOf(step.image) + numberOf(neighbor.image)) % 4 === 0;
    return isHeavy ? INTERFERENCE.heavy : INTERFERENCE.light;
}

function numberOf(image: string | undefined): number {
    return Number(image?.split("-")[1] ?? 0);
}
