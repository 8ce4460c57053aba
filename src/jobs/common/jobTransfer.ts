import * as z from "zod/mini";
import { decodeProgress, encodeProgress, JobProgress } from "./jobRecord";
import { MAX_SHARDS } from "./shardPlan";

/** A job that its leader has left to the leader of another shard. It had no runs then, and no run was given up. */
export interface JobTransfer {
    /** Shard whose leader schedules it from then on. */
    readonly shard: number;
    /** How often it has been transferred, with this time. */
    readonly count: number;
    /** Its progress; left out if none of its tasks was assigned. */
    readonly progress?: JobProgress;
}

const transferSchema = z.object({
    shard: z.int().check(z.nonnegative(), z.lt(MAX_SHARDS)),
    count: z.int().check(z.positive()),
    progress: z.optional(z.string()),
});

/** @param transfer A transfer. @returns Value of its record. */
export function encodeTransfer({ shard, count, progress }: JobTransfer): string {
    return JSON.stringify({ shard, count, progress: progress && encodeProgress(progress) });
}

/** @param value Value of a record. @returns The transfer, or `undefined` if the value is malformed. */
export function decodeTransfer(value: string): JobTransfer | undefined {
    try {
        const { shard, count, progress: encoded } = transferSchema.parse(JSON.parse(value));
        if (encoded === undefined) {
            return { shard, count };
        }
        const progress = decodeProgress(encoded);
        return progress && { shard, count, progress };
    } catch {
        // The caller reports the record as malformed.
        return undefined;
    }
}
