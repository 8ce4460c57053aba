/** A step of a job as callers submit it: the fields of the platform's page that the soak uses. */
export interface SoakStep {
    readonly count: number;
    /** Requested processor time, in thousandths of a core. */
    readonly cpu: number;
    readonly memMb: number;
    /** Estimated duration of a task, in ms. */
    readonly estMs: number;
    readonly longRunning?: boolean;
    readonly after?: readonly number[];
}

/** A job of the soak. */
export interface SoakJob {
    readonly id: string;
    readonly spec: string;
    readonly steps: readonly SoakStep[];
}

/** How a run ends; `lost` means with its worker. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "lost";

/** Resources of a worker. */
export interface WorkerCapacity {
    /** In thousandths of a core. */
    readonly cpu: number;
    readonly memMb: number;
}

/** What callers, workers and the host of the processes have seen. Workers are named by their number in the soak. */
export type SoakObservation =
    | { readonly kind: "submitted"; readonly job: SoakJob }
    | { readonly kind: "accepted"; readonly id: string }
    | { readonly kind: "cancel-sent"; readonly id: string }
    | { readonly kind: "cancel-acknowledged"; readonly id: string }
    | { readonly kind: "state-shown"; readonly id: string; readonly state: string }
    | { readonly kind: "job-not-found"; readonly id: string }
    | { readonly kind: "state-unknown"; readonly id: string }
    | { readonly kind: "worker-began"; readonly worker: number; readonly capacity: WorkerCapacity }
    | { readonly kind: "worker-ended"; readonly worker: number }
    | {
          readonly kind: "run-started";
          readonly worker: number;
          readonly task: string;
          readonly run: number;
          readonly spec: string;
          /** Whether the worker carried out the order later than it received it. */
          readonly isLate: boolean;
          /** Whether the task crashes the workers that start it. */
          readonly isDeadly: boolean;
      }
    | {
          readonly kind: "run-ended" | "end-confirmed";
          readonly worker: number;
          readonly task: string;
          readonly run: number;
          readonly end: RunEnd;
      }
    | { readonly kind: "lease-lapsed"; readonly worker: number }
    | { readonly kind: "order-executed"; readonly worker: number; readonly fence: number }
    | { readonly kind: "leader-began"; readonly instance: string; readonly epoch: string }
    | { readonly kind: "process-ended"; readonly node: string; readonly detail: string; readonly isExpected: boolean }
    | { readonly kind: "log-line"; readonly node: string; readonly text: string }
    | { readonly kind: "disruption-began" | "disruption-ended"; readonly name: string }
    | { readonly kind: "traffic-ended" }
    | { readonly kind: "tick" };

/** An observation and its time in ms since the start of the soak. */
export type SoakEvent = SoakObservation & { readonly atMs: number };

/** @param task Name of a task: ID.K.STEP.INDEX. @returns The ID of its job. */
export function jobIdOf(task: string): string {
    return task.slice(0, task.indexOf("."));
}

/** @param task Name of a task: ID.K.STEP.INDEX. @returns The number of its step. */
export function stepNumberOf(task: string): number {
    return Number(task.split(".")[2]);
}
