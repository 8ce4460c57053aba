import { JobDraft } from "../../jobs/common/jobCall";
import { StepSpec } from "../../jobs/common/jobSpec";
import { Random } from "./random";

/** Jobs of a trial that share workers: latency-critical ones for the whole trial, and best-effort ones beside them. */
export interface ColocationPlan {
    /** Share of the pairs of images that interfere heavily, from 0 to 1. */
    readonly heavyRatio: number;
    /** Mean time between two best-effort jobs, in ms. */
    readonly bestEffortEveryMs: number;
    /** Largest number of tasks of a step of a best-effort job; 4 if undefined. */
    readonly maxTasks?: number;
    /** Memory that a best-effort task requests, in MB; 8 to 20 GB if undefined. */
    readonly memoryMb?: number;
    /** Smallest number of tasks of a step of a best-effort job; 1 if undefined. */
    readonly minTasks?: number;
    /** Number of steps of a best-effort job, each of which depends on the one before; 2 if undefined. */
    readonly steps?: number;
    /** Bounds of the work of a best-effort task at full speed, in ms; 0.3 to 7.5 s if undefined. */
    readonly workMs?: { readonly min: number; readonly max: number };
    /** What a latency-critical task reserves; 6 cores and 14 GB if undefined. */
    readonly reserved?: { readonly cpuMillis: number; readonly memoryMb: number };
}

/** Largest number of tasks of a step of a best-effort job if the plan has none. */
const DEFAULT_MAX_TASKS = 4;

/** Number of steps of a best-effort job if the plan has none. */
const DEFAULT_STEPS = 2;

/** Number of images of best-effort tasks. */
const BEST_EFFORT_IMAGES = 5;

/** Number of latency-critical jobs, and the time between their submissions, in ms: no worker is reserved any more then. */
export const LATENCY_CRITICAL_JOBS = 2;
export const LATENCY_CRITICAL_INTERVAL_MS = 4_000;

/** What a latency-critical task reserves if the plan does not say it. */
const DEFAULT_RESERVED = { cpuMillis: 6_000, memoryMb: 14_000 };

/** Target of the tail latency, in ms. */
const TAIL_TARGET_MS = 24;

const COMMON_STEP = {
    after: [],
    checkpoints: false,
    prefersOneRack: false,
    usesSpareCpu: false,
} as const;

function createJob(steps: readonly StepSpec[]): JobDraft {
    return { payload: "p", steps, occurrences: 0, firstDueMs: 0, intervalMs: 0 };
}

/**
 * @param index Number of the job among the latency-critical ones, which together have a task for each worker.
 * @param workers Number of workers.
 * @param plan What each task reserves.
 * @returns A job of long-running latency-critical tasks, at most one on a worker.
 */
export function createLatencyCriticalDraft(
    index: number,
    workers: number,
    { reserved = DEFAULT_RESERVED }: Pick<ColocationPlan, "reserved"> = {},
): JobDraft {
    const first = Math.floor((index * workers) / LATENCY_CRITICAL_JOBS);
    const tasks = Math.floor(((index + 1) * workers) / LATENCY_CRITICAL_JOBS) - first;
    const step: StepSpec = {
        ...COMMON_STEP,
        tasks,
        request: { ...reserved, accelerators: 0 },
        estimateMs: 60_000,
        mode: "long-running",
        maxPerWorker: 1,
        image: `service-${index}`,
        tailTargetMs: TAIL_TARGET_MS,
        maxUnavailable: 1,
    };
    return createJob([step]);
}

/**
 * @param random Source of randomness.
 * @param plan Sizes of the steps and their tasks.
 * @returns A job of best-effort tasks in steps that follow each other, all with checkpoints.
 */
export function createBestEffortDraft(
    random: Random,
    {
        minTasks = 1,
        maxTasks = DEFAULT_MAX_TASKS,
        memoryMb,
        steps: stepCount = DEFAULT_STEPS,
    }: Pick<ColocationPlan, "minTasks" | "maxTasks" | "memoryMb" | "steps"> = {},
): JobDraft {
    const image = `batch-${random.between(0, BEST_EFFORT_IMAGES - 1)}`;
    const request = {
        cpuMillis: random.between(4, 7) * 1_000,
        memoryMb: random.between(8, 20) * 1_000,
        accelerators: 0,
    };
    request.memoryMb = memoryMb ?? request.memoryMb;
    const steps = Array.from({ length: stepCount }, (_, index): StepSpec => ({
        ...COMMON_STEP,
        tasks: random.between(minTasks, maxTasks),
        request,
        estimateMs: 4_000,
        after: index === 0 ? [] : [index - 1],
        mode: "independent",
        checkpoints: true,
        usesSpareCpu: true,
        image,
    }));
    return createJob(steps);
}
