import { progressStream } from "../../records/common/shardNames";
import { StreamName } from "../../records/common/recordStore";
import { KeyedLog } from "../../standin/common/keyedLog";

/** Number of shards for which there are streams. */
const MAX_TRIAL_SHARDS = 4;

/** @returns The streams of a store in memory, without records. */
export function createStreams(): Record<StreamName, KeyedLog> {
    const shards = Array.from({ length: MAX_TRIAL_SHARDS - 1 }, (_, index) => index + 1);
    const progress = shards.map(shard => [progressStream(shard), KeyedLog.create()]);
    return {
        jobs: KeyedLog.create(),
        progress: KeyedLog.create(),
        operator: KeyedLog.create(),
        workers: KeyedLog.create(),
        ...(Object.fromEntries(progress) as Record<string, KeyedLog>),
    };
}
