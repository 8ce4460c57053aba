/** Processor time that the work of an instance takes in a trial, and its connections. Times are in ms of a whole core. */
export interface TrialCosts {
    /** Share of a core that an instance has; its work takes that much longer. */
    readonly share: number;
    /** Time that the handling of an event takes, besides passes and effects. */
    readonly eventMs: number;
    /** Time that each effect takes: a request that is sent, or a line that is logged. */
    readonly effectMs: number;
    /** Time that a pass over the waiting tasks takes for each job that is not finished. */
    readonly passMsPerJob: number;
    /** Further time that an order to start a run takes, one to list the runs, and each answer of a worker; none if undefined. */
    readonly startMs?: number;
    readonly listMs?: number;
    readonly answerMs?: number;
    /** Connections of an instance to each worker; an order waits until one is free. */
    readonly connections: number;
}

/**
 * Costs as measured on a deployment whose instances have 0.27 of a core: 1 ms for an event with its requests, and 30 to 60 ms for a
 * pass over a long queue.
 */
export const MEASURED_COSTS: TrialCosts = {
    share: 0.27,
    eventMs: 0.15,
    effectMs: 0.15,
    passMsPerJob: 0.1,
    connections: 4,
};
