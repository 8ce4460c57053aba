/** Number of fences of an epoch. */
const FENCES_PER_EPOCH = 32;

/** Difference between two fences of a leader. The one between is that of a probe by the next leader. */
const LEVEL_STEP = 2;

/** How often a leader can raise its fence. */
export const MAX_FENCE_LEVEL = FENCES_PER_EPOCH / LEVEL_STEP - 1;

/**
 * @param epoch Epoch of a leader.
 * @param level How often the leader has raised its fence, which it does to extend leases through an outage of the store.
 * @returns The fence of its orders. A worker rejects orders with a lower one than it has seen.
 */
export function fenceOf(epoch: number, level: number): number {
    return epoch * FENCES_PER_EPOCH + level * LEVEL_STEP;
}

/**
 * @param fence Fence of a leader.
 * @returns A fence that is rejected by a worker which has seen a raised one of that leader, and not by one which has seen this one. No
 * leader uses it for other orders.
 */
export function probeFenceOf(fence: number): number {
    return fence + 1;
}
