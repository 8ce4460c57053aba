/** Size of a fleet that may be divided. */
export interface Fleet {
    /** Number of workers. */
    readonly workers: number;
    /** CPU of the instance that leads, in cores. */
    readonly cores: number;
}

/** Decides into how many shards a fleet is divided. */
export abstract class ShardPlanner {
    /** @param fleet Size of the fleet. @returns Number of shards, at least 1. */
    abstract countFor(fleet: Fleet): number;
}
