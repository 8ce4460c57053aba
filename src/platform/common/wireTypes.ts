/**
 * Messages of the platform. Their field names are used in this folder only. Fields that are zero, false or empty may be
 * omitted.
 */

/** A step of a submitted job. */
export interface WireStep {
    count: number;
    cpu?: number;
    memMb?: number;
    gpu?: number;
    estMs?: number;
    after?: number[];
    checkpoint?: boolean;
    gang?: boolean;
    sameRack?: boolean;
    /** Label that the worker must have. */
    requires?: string;
    /** Rack that holds the data. */
    affinity?: string;
    maxPerServer?: number;
    speculative?: boolean;
    longRunning?: boolean;
    image?: string;
    latencySloMs?: number;
    /** Whether the tasks are best-effort: they use unreserved CPU. */
    fills?: boolean;
    /** Number of tasks that the scheduler may make unavailable at once. */
    mayMiss?: number;
}

/** A submitted job. */
export interface WireJob {
    /** Opaque text for the workers. Not related to `JobSpec`. */
    spec?: string;
    steps: WireStep[];
    /** Number of times the steps run. */
    times?: number;
    firstMs?: number;
    intervalMs?: number;
}

/** Answer of a worker, with its runs. */
export interface WireLists {
    clockMs: number;
    born?: number;
    /** Running runs: task, run, checkpoint, percent, measure. */
    running?: [string, number, string, number, number?][];
    /** Ended runs: number, task, run, end, checkpoint. */
    ended?: [number, string, number, string, string][];
}
