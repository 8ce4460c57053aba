/** Lease of an attempt, in ms on the worker's clock. It outlasts the change of a shard's owner. */
export const TASK_LEASE_MS = 40_000;

/** Time that a start may be on its way, in ms. */
export const START_WINDOW_MS = 4_000;

/** Waiting time after which an urgent task may evict another one, in ms. */
export const URGENT_PATIENCE_MS = 1_500;

/** Tasks placed by one pass over a shard. */
export const MAX_PLACEMENTS_PER_PASS = 64;

/** Time between two passes over a shard's queue. */
export const PLACEMENT_INTERVAL_MS = 200;

/** Time between two reviews of a shard's shares and evictions. */
export const REVIEW_INTERVAL_MS = 1_000;

/** Evictions that one review may begin in a shard. */
export const MAX_EVICTIONS_PER_REVIEW = 4;

/** Share of a worker's processors in use above which its tasks are throttled. */
export const THROTTLE_CPU_SHARE = 0.95;

/** Share of a worker's memory in use above which a task of it is evicted. */
export const EVICT_MEMORY_SHARE = 0.92;

/** Records after which a shard's owner writes a snapshot. */
export const SNAPSHOT_INTERVAL_RECORDS = 500;

/** Time after which a shard's owner writes a snapshot, if there are new records. */
export const SNAPSHOT_INTERVAL_MS = 600_000;

/** Share of a shard's workers that may be excluded at once for failing tasks. */
export const MAX_EXCLUDED_SHARE = 0.3;
