import * as z from "zod/mini";
import { RecordOffset } from "./record";

const HOST_PREFIX = "host/";

/**
 * What an instance states when it has started: the former incarnations on its host have ended. A record that a former one
 * had in flight may be stored later, so the statement covers only what the instance has read.
 */
export interface HostRecord {
    readonly instance: string;
    /** All records of former incarnations before this offset were made by processes that have ended. */
    readonly readTo: RecordOffset;
    /** Time since the start of the instance, by which the former incarnations had ended, in ms. */
    readonly ageMs: number;
    /** CPU available to the instance, in cores. This field and the following are left out by earlier versions and in small fleets. */
    readonly cores?: number;
    /** Round trip to the store, in ms. */
    readonly storeMs?: number;
    /** Whether the instance was told to stop. */
    readonly stopping?: boolean;
}

const hostSchema = z.object({
    instance: z.string(),
    readTo: z.int(),
    ageMs: z.number().check(z.nonnegative()),
    cores: z.optional(z.number().check(z.nonnegative())),
    storeMs: z.optional(z.number().check(z.nonnegative())),
    stopping: z.optional(z.boolean()),
});

/** @param host Name of a host. @returns Key of the record of its latest incarnation. */
export function hostKey(host: string): string {
    return `${HOST_PREFIX}${host}`;
}

/** @param key Key of a record. @returns The host of whose latest incarnation it is, or `undefined` if it is of none. */
export function parseHostKey(key: string): string | undefined {
    return key.startsWith(HOST_PREFIX) ? key.slice(HOST_PREFIX.length) : undefined;
}

/** @param record What an instance states. @returns Value of the record. */
export function encodeHost(record: HostRecord): string {
    return JSON.stringify(record);
}

/** @param value Value of a record. @returns What it states, or `undefined` if the value is malformed. */
export function decodeHost(value: string): HostRecord | undefined {
    try {
        return hostSchema.safeParse(JSON.parse(value)).data;
    } catch {
        return undefined;
    }
}
