/** Limits that the deployment sets for scheduling. Times in ms. */
export interface DispatchTerms {
    /** Longest lease that a worker accepts. */
    readonly longestLeaseMs: number;
    /** Within this time a stop takes effect. */
    readonly stopMs: number;
    /** Time that the members of a gang wait for each other. */
    readonly gangWaitMs: number;
    /** Time after which a task that serves must not be over its latency target any more. */
    readonly harmMs: number;
    /** Time for which the state of a finished job is kept. */
    readonly retentionMs: number;
}

/**
 * Time after its latest confirmed append up to which a leader extends leases, in ms. Within it, tasks survive an outage
 * of the store; a successor waits it out before it gives up a worker that it cannot reach.
 */
export const LEASE_RENEWAL_WINDOW_MS = 8_000;

/**
 * Validity of an order to start, in ms: an order that is delayed longer is rejected by the worker. It covers a slow
 * network, and is short, since the task cannot be started elsewhere before.
 */
export const START_VALIDITY_MS = 1_500;

/** Part of the lease that is left out when it is extended, in ms, for the worker's clock is known roughly. */
export const LEASE_MARGIN_MS = 100;
