/**
 * Messages as the platform spells them. Fields that are zero, false or empty may be left out. Nothing outside this
 * folder uses these names.
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
    /** A label that the worker must have. */
    requires?: string;
    /** The rack where the data are. */
    affinity?: string;
    maxPerServer?: number;
    speculative?: boolean;
    longRunning?: boolean;
    image?: string;
    latencySloMs?: number;
    /** Whether the processor time is not reserved but taken from what others leave. */
    fills?: boolean;
    /** How many tasks may be unavailable at once by orders of the scheduler. */
    mayMiss?: number;
}

/** A submitted job. */
export interface WireJob {
    /** Opaque text for the workers, no specification of ours. */
    spec?: string;
    steps: WireStep[];
    /** How often the steps run. */
    times?: number;
    firstMs?: number;
    intervalMs?: number;
}

/** A worker's answer with its lists. */
export interface WireLists {
    clockMs: number;
    born?: number;
    /** Task, run, checkpoint, percent, measure. */
    running?: [string, number, string, number, number?][];
    /** Number, task, run, how it ended, checkpoint. */
    ended?: [number, string, number, string, string][];
}
