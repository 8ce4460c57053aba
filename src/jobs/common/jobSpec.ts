import { Queue } from "./queueTable";

/** What each task of a step requests of its worker. */
export interface TaskRequest {
    /** Thousandths of a core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** How the runs of a step's tasks relate to each other. `gang` runs work only all together. */
export type StepMode = "independent" | "gang" | "speculative" | "long-running";

/** One step of a job: tasks that are alike. */
export interface StepSpec {
    readonly tasks: number;
    readonly request: TaskRequest;
    /** Rough duration of a task, in ms. */
    readonly estimateMs: number;
    /** Numbers of the steps that must be done first. */
    readonly after: readonly number[];
    readonly mode: StepMode;
    readonly checkpoints: boolean;
    /** Whether the tasks are slower when they run on more than one rack. */
    readonly prefersOneRack: boolean;
    /** Label that the worker must have. */
    readonly requiredLabel?: string;
    /** Rack where the data are; elsewhere the tasks are slower. */
    readonly dataRack?: string;
    readonly maxPerWorker?: number;
    /** Tasks with the same image behave alike. */
    readonly image?: string;
    /** Target of the tail latency of tasks that serve their own users, in ms. */
    readonly tailTargetMs?: number;
    /** Whether the tasks run on processor time that others leave unused, which is not reserved for them. */
    readonly usesSpareCpu: boolean;
    /** How many tasks may be unavailable at once by orders of the scheduler. */
    readonly maxUnavailable?: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
    /** Identifier that the caller chose. */
    readonly id: string;
    /** The queue as it was when it accepted the job. Its newest settings apply as long as it exists. */
    readonly queue: Queue;
    /** Opaque text for the workers. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** How often the steps run; 0 for a job that runs once, at once. */
    readonly occurrences: number;
    /** When the first occurrence is due, in ms since the Unix epoch. */
    readonly firstDueMs: number;
    readonly intervalMs: number;
    /** When the job was accepted, in ms since the Unix epoch. */
    readonly acceptedAtMs: number;
}

/** State of a job that callers are shown. */
export type JobState = "queued" | "running" | "done" | "failed" | "cancelled";
