import * as z from "zod/mini";
import { nameIn, parseShard } from "../../../records/common/shardNames";
import { WitnessReading, witnessReadingsSchema } from "../../../records/common/witnessClocks";

/** First part of a key, before the worker, in the first shard. */
const LEASE_PREFIX = "lease";

/** What a leader recorded of the lease of a worker that it could not reach and does not extend until it deletes the record. */
export interface LeaseRecord {
    /** Epoch of the leader that wrote it. */
    readonly epoch: number;
    /** Time from when the record was made until the lease has certainly expired, in ms. */
    readonly remainingMs: number;
    /** Clocks of some workers when it was made, by which its age is known. Earlier versions leave it out. */
    readonly witnesses?: readonly WitnessReading[];
}

const leaseSchema = z.object({
    epoch: z.int(),
    remainingMs: z.number().check(z.nonnegative()),
    witnesses: z.optional(witnessReadingsSchema),
});

/** A worker whose lease is recorded, and the shard whose leader records it. */
export interface LeaseName {
    readonly shard: number;
    readonly worker: string;
}

/** @param worker Identifier of a worker. @param shard Its shard. @returns Key of the record of its lease. */
export function leaseKey(worker: string, shard = 0): string {
    return `${nameIn(LEASE_PREFIX, shard)}/${worker}`;
}

/** @param key Key of a record. @returns What it names, or `undefined` if it is not the record of a lease. */
export function parseLeaseKey(key: string): LeaseName | undefined {
    const end = key.startsWith(LEASE_PREFIX) ? key.indexOf("/") : -1;
    const shard = end < 0 ? undefined : parseShard(key.slice(0, end), LEASE_PREFIX);
    return shard === undefined ? undefined : { shard, worker: key.slice(end + 1) };
}

/** @param record What is recorded. @returns Value of the record. */
export function encodeLease(record: LeaseRecord): string {
    return JSON.stringify(record);
}

/** @param value Value of a record. @returns What was recorded, or `undefined` if the value is malformed. */
export function decodeLease(value: string): LeaseRecord | undefined {
    try {
        return leaseSchema.safeParse(JSON.parse(value)).data;
    } catch {
        return undefined;
    }
}
