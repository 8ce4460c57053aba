import * as z from "zod/mini";

const LEASE_PREFIX = "lease/";

/** What a leader recorded of the lease of a worker that it could not reach and does not extend until it deletes the record. */
export interface LeaseRecord {
    /** Epoch of the leader that wrote it. */
    readonly epoch: number;
    /** Time from the append of the record until the lease has certainly expired, in ms. */
    readonly remainingMs: number;
}

const leaseSchema = z.object({ epoch: z.int(), remainingMs: z.number().check(z.nonnegative()) });

/** @param worker Identifier of a worker. @returns Key of the record of its lease. */
export function leaseKey(worker: string): string {
    return LEASE_PREFIX + worker;
}

/** @param key Key of a record. @returns The worker, or `undefined` if it is not the record of a lease. */
export function parseLeaseKey(key: string): string | undefined {
    return key.startsWith(LEASE_PREFIX) ? key.slice(LEASE_PREFIX.length) : undefined;
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
