import * as z from "zod/mini";
import { decodeTask, encodeTask, TaskRecord, taskSchema } from "./jobRecord";
import { MAX_SHARDS } from "./shardPlan";

/**
 * A task of a long-running step that its leader has left to the leader of another shard, while its job stays where it is. It had no
 * run then, and no worker could have one.
 */
export interface TaskTransfer {
    /** Shard whose leader gives it runs from then on. */
    readonly shard: number;
    /** How often it has been transferred, with this time. */
    readonly count: number;
    /** What is known of it; `lastRun` is the highest number given to a run. */
    readonly record: TaskRecord;
}

const transferSchema = z.object({
    shard: z.int().check(z.nonnegative(), z.lt(MAX_SHARDS)),
    count: z.int().check(z.positive()),
    record: taskSchema,
});

/** @param transfer A transfer. @returns Value of its record. */
export function encodeTaskTransfer({ shard, count, record }: TaskTransfer): string {
    return JSON.stringify({ shard, count, record: encodeTask(record) });
}

/** @param value Value of a record. @returns The transfer, or `undefined` if the value is malformed. */
export function decodeTaskTransfer(value: string): TaskTransfer | undefined {
    try {
        const { shard, count, record } = transferSchema.parse(JSON.parse(value));
        return { shard, count, record: decodeTask(record) };
    } catch {
        // The caller reports the record as malformed.
        return undefined;
    }
}
