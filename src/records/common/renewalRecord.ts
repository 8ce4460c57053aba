import * as z from "zod/mini";
import { nameIn, parseShard } from "./shardNames";
import { WitnessReading, witnessReadingsSchema } from "./witnessClocks";

/** Key of the record in the first shard. */
const RENEWAL_KEY = "renewal";

/** By when all leases have ended that a leader has extended. */
export interface LeaseBound {
    /** Time from when the bound was stated until then, in ms of the workers' clocks. */
    readonly leaseMs: number;
    /** Clocks of some workers when it was stated. */
    readonly witnesses: readonly WitnessReading[];
}

/**
 * The latest renewal of a leader that extends leases. It is apart from the record that names the leader, so that the claim of the
 * next one does not replace it.
 */
export interface RenewalRecord extends LeaseBound {
    readonly epoch: number;
    /** Fence of its orders. A higher one of its epoch shows that it has extended leases through an outage of the store. */
    readonly fence: number;
    /** What `leaseMs` is in that case. */
    readonly extendedMs: number;
    /** Bounds of leaders before it whose leases may last. */
    readonly formers: readonly LeaseBound[];
}

const durationSchema = z.number().check(z.nonnegative());
const boundSchema = z.object({ leaseMs: durationSchema, witnesses: witnessReadingsSchema });
const renewalSchema = z.extend(boundSchema, {
    epoch: z.int(),
    fence: z.int(),
    extendedMs: durationSchema,
    formers: z.array(boundSchema),
});

/** @param shard Number of a shard. @returns Key of the latest renewal of its leader. */
export function renewalKey(shard: number): string {
    return nameIn(RENEWAL_KEY, shard);
}

/** @param key Key of a record. @returns The shard of whose leader it is the latest renewal, or `undefined` if it is none. */
export function parseRenewalKey(key: string): number | undefined {
    return parseShard(key, RENEWAL_KEY);
}

/** @param record A renewal. @returns Value of the record. */
export function encodeRenewal(record: RenewalRecord): string {
    return JSON.stringify(record);
}

/** @param value Value of a record. @returns The renewal, or `undefined` if the value is malformed. */
export function decodeRenewal(value: string): RenewalRecord | undefined {
    try {
        return renewalSchema.safeParse(JSON.parse(value)).data;
    } catch {
        return undefined;
    }
}
