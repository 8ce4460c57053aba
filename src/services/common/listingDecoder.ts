import * as z from "zod/mini";
import { isAddress } from "./address";
import { InstanceListing } from "./instanceList";

/** Limit of each quantity of a worker's capacity. */
const MAX_QUANTITY = 1_000_000_000;

const quantity = z.number().check(z.nonnegative(), z.maximum(MAX_QUANTITY));
const address = z.string().check(z.refine(isAddress));
const availability = z.enum(["live", "leaving"]);

const workerSchema = z.object({
    id: z.string().check(z.minLength(1)),
    address,
    region: z.string(),
    failureDomain: z.string(),
    rack: z.string(),
    availability,
    capacity: z.object({
        slots: quantity,
        connections: quantity,
        cpus: quantity,
        memoryGb: quantity,
        accelerators: quantity,
    }),
    services: z.array(z.string()),
});

const entrySchema = z.object({ address, region: z.string(), availability });

const listingSchema = z.object({ workers: z.array(z.unknown()), entries: z.array(z.unknown()) });

/** A listing that was decoded, without the malformed entries. */
export interface DecodedListing {
    readonly listing: InstanceListing;
    /** Number of entries that were left out. */
    readonly malformedCount: number;
}

/**
 * Decodes a listing of service discovery, in which single entries may be malformed.
 * @param text Body of the response.
 * @returns The listing, or `undefined` if it cannot be decoded as a whole.
 */
export function decodeListing(text: string): DecodedListing | undefined {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch {
        // The caller reports the failed read.
        return undefined;
    }
    const parsed = listingSchema.safeParse(value);
    if (!parsed.success) {
        return undefined;
    }
    const { workers, entries } = parsed.data;
    const listing = { workers: keepValid(workers, workerSchema), entries: keepValid(entries, entrySchema) };
    const validCount = listing.workers.length + listing.entries.length;
    return { listing, malformedCount: workers.length + entries.length - validCount };
}

function keepValid<T>(values: readonly unknown[], schema: z.ZodMiniType<T>): T[] {
    return values.flatMap(value => {
        const parsed = schema.safeParse(value);
        return parsed.success ? [parsed.data] : [];
    });
}
