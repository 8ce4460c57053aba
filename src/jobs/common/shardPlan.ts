import * as z from "zod/mini";
import { bucketOf } from "../../coordination/common/rendezvous";

/** Key of the record that says how the fleet is divided. */
export const SHARD_PLAN_KEY = "shards";

/** Limit of the number of shards. */
export const MAX_SHARDS = 16;

/** The first shard, which has all workers and jobs of a fleet that is not divided. */
export const FIRST_SHARD = 0;

/** How a fleet is divided into shards, each with a leader of its own. It never changes once it is stored. */
export interface ShardPlan {
    /** Number of shards. */
    readonly count: number;
    /** Shard of each rack that was known when the fleet was divided. */
    readonly racks: Readonly<Record<string, number>>;
    /** Epoch of the leader that divided the fleet. Workers reject orders of lower ones, so those of the new leaders are higher. */
    readonly epoch: number;
}

const shard = z.int().check(z.nonnegative(), z.lt(MAX_SHARDS));
const planSchema = z.object({
    count: z.int().check(z.positive(), z.lte(MAX_SHARDS)),
    racks: z.record(z.string(), shard),
    epoch: z.int().check(z.nonnegative()),
});

/** @param plan A plan. @returns Value of its record. */
export function encodeShardPlan(plan: ShardPlan): string {
    return JSON.stringify(plan);
}

/** @param value Value of a record. @returns The plan, or `undefined` if the value is malformed. */
export function decodeShardPlan(value: string): ShardPlan | undefined {
    try {
        const plan = planSchema.safeParse(JSON.parse(value)).data;
        return plan !== undefined && Object.values(plan.racks).every(each => each < plan.count) ? plan : undefined;
    } catch {
        // The caller reports the record as malformed.
        return undefined;
    }
}

/** @param plan The plan in force; one shard without. @param id Identifier of a job. @returns Its shard. */
export function shardOfJob(plan: ShardPlan | undefined, id: string): number {
    return plan === undefined ? FIRST_SHARD : bucketOf(id, plan.count);
}

/**
 * @param plan The plan in force; one shard without.
 * @param worker Identifier of a worker, and its rack if it states one.
 * @returns Its shard: that of its rack, since tasks that prefer one rack and their data are placed within a shard.
 */
export function shardOfWorker(
    plan: ShardPlan | undefined,
    { id, rack }: { readonly id: string; readonly rack: string },
): number {
    if (plan === undefined) {
        return FIRST_SHARD;
    }
    const planned = Object.hasOwn(plan.racks, rack) ? plan.racks[rack] : undefined;
    return planned ?? bucketOf(rack === "" ? id : rack, plan.count);
}
