/** Lease of an attempt, in ms of the worker's clock; longer than a change of the shard's owner takes. */
export const TASK_LEASE_MS = 40_000;

/** Validity of an order to start, in ms of the worker's clock; the worker rejects an order that arrives later. */
export const START_VALIDITY_MS = 4_000;

/** Waiting time after which another task may be evicted for an urgent one. */
export const URGENT_EVICTION_DELAY_MS = 1_500;

/** Maximum number of tasks placed in one pass over a shard's queue. */
export const MAX_PLACEMENTS_PER_PASS = 64;

/** Time between two passes over a shard's queue. */
export const PLACEMENT_INTERVAL_MS = 200;

/** Time between two adjustments of a shard's service shares, throttling and evictions. */
export const REBALANCE_INTERVAL_MS = 1_000;

/** Maximum number of evictions for capacity that one adjustment starts in a shard. */
export const MAX_EVICTIONS_PER_REBALANCE = 4;

/** Fraction of a worker's CPUs in use above which its tasks are throttled. */
export const THROTTLE_CPU_RATIO = 0.95;

/** Fraction of a worker's memory in use above which one of its tasks is evicted. */
export const EVICT_MEMORY_RATIO = 0.92;

/** Number of new records after which a shard's owner writes a snapshot. */
export const SNAPSHOT_INTERVAL_RECORDS = 500;

/** Time after which a shard's owner writes a snapshot, if there are new records. */
export const SNAPSHOT_INTERVAL_MS = 600_000;

/** Maximum fraction of a shard's workers that may be excluded at once for failing tasks. */
export const MAX_EXCLUDED_RATIO = 0.3;
