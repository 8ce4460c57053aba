import { Queue } from "./queueTable";

/** Resources that each task of a step requests from its worker. */
export interface TaskRequest {
    /** Thousandths of a core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/**
 * How the runs of a step's tasks depend on each other. The runs of a `gang` make progress only when all of them run.
 */
export type StepMode = "independent" | "gang" | "speculative" | "long-running";

/** One step of a job: a number of identical tasks. */
export interface StepSpec {
    readonly tasks: number;
    readonly request: TaskRequest;
    /** Rough duration of a task, in ms. */
    readonly estimateMs: number;
    /** Indexes of the steps that must be done first. */
    readonly after: readonly number[];
    readonly mode: StepMode;
    /** Whether the tasks write checkpoints. */
    readonly checkpoints: boolean;
    /** Whether the tasks are slower when they run on more than one rack. */
    readonly prefersOneRack: boolean;
    /** Label that the worker must have. */
    readonly requiredLabel?: string;
    /** Rack that holds the data. The tasks are slower on other racks. */
    readonly dataRack?: string;
    readonly maxPerWorker?: number;
    /** Tasks with the same image behave alike. Interference is estimated for pairs of images. */
    readonly image?: string;
    /** Target of the tail latency of latency-critical tasks, in ms. */
    readonly tailTargetMs?: number;
    /** Whether the tasks are best-effort: they run on CPU that other tasks leave unused, without a reservation. */
    readonly usesSpareCpu: boolean;
    /** Number of tasks that the scheduler may make unavailable at once. */
    readonly maxUnavailable?: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
    /** Identifier that the caller chose. */
    readonly id: string;
    /** The queue at the time it accepted the job. Its newest settings apply as long as it exists. */
    readonly queue: Queue;
    /** Opaque text for the workers. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Number of times the steps run; 0 for a job that runs once, immediately. */
    readonly occurrences: number;
    /** When the first occurrence is due, in ms since the Unix epoch. */
    readonly firstDueMs: number;
    readonly intervalMs: number;
    /** When the job was accepted, in ms since the Unix epoch. */
    readonly acceptedAtMs: number;
}

/** State of a job as shown to callers. */
export type JobState = "queued" | "running" | "done" | "failed" | "cancelled";
