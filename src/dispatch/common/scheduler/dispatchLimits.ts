/** Limits that the deployment sets for scheduling, in ms unless a limit says otherwise. */
export interface DispatchLimits {
    /** Longest lease that a worker accepts. */
    readonly longestLeaseMs: number;
    /** Time within which a stop takes effect. */
    readonly stopMs: number;
    /** Time after the acknowledgement of a cancellation from which no task of its job starts. */
    readonly cancelMs: number;
    /** Time after the store has accepted that a worker leaves from which no task starts there. */
    readonly drainMs: number;
    /**
     * Time after the store has accepted the evacuation of a failure domain from which no task starts there; left out where it is
     * not bounded.
     */
    readonly evacuationMs?: number;
    /** Time for which the members of a gang wait for each other. */
    readonly gangWaitMs: number;
    /** Longest time for which a latency-critical task may exceed its target. */
    readonly harmMs: number;
    /** Time within which a configuration must be in force. */
    readonly configurationMs: number;
    /** How many times as long a task takes that is not on the rack that it prefers; left out where it is not known. */
    readonly crossRackFactor?: number;
    /** Time for which the state of a finished job is kept. */
    readonly retentionMs: number;
    /** Time after a request to stop from which the process may be killed. */
    readonly graceMs: number;
    /** The same time where leaders of a divided fleet hand their shards over within it; left out where they do not. */
    readonly handoverGraceMs?: number;
    /** Memory that jobs may take, in bytes; left out where it is not bounded. */
    readonly maxJobBytes?: number;
}

/**
 * Validity of an order to start, in ms; the worker rejects an order that arrives later. Long enough for a slow network,
 * but short, since the task cannot be started elsewhere until it has passed.
 */
export const START_VALIDITY_MS = 1_500;

/**
 * Shortest validity of an order to start, in ms: with less, the order would often be late, and the run could end before a
 * first list extends the lease. A leader whose views leave less starts nothing.
 */
export const MIN_START_VALIDITY_MS = 500;

/** Time after which an order that was not answered is not carried out any more, in ms. */
export const MAX_ORDER_AGE_MS = 20_000;

/** Margin by which a lease is extended less than allowed, in ms, since the worker's clock is only estimated. */
export const LEASE_MARGIN_MS = 100;

/** Longest time for which an accepted job may have nothing running while its service has room, in ms. */
export const MAX_IDLE_MS = 3_000;

/** How late the leader may be, in ms. */
export const MAX_LEADER_DELAY_MS = 500;

/**
 * Median delay of the leader's loop above which fewer starts are in flight, in ms. The delay varies with passes and with batches of
 * answers; its peaks are several times as high.
 */
export const MAX_MEDIAN_DELAY_MS = MAX_LEADER_DELAY_MS / 4;

/** Time from the choice of a worker until the run is at work, in ms: its assignment is stored, then its start is sent. */
export const START_DELAY_MS = 200;
