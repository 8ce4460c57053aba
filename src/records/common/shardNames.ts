import { LEADER_KEY } from "./leaderRecord";
import { ProgressStream } from "./recordStore";

/** Name of the producer of a leader's appends in the first shard. */
const LEADER_PRODUCER = "leader";

/** Number of a shard but the first one, whose names have none. */
const SHARD_NUMBER = /^[1-9]\d?$/;

/** @param name Name in the first shard. @param shard Number of a shard. @returns The name in that shard. */
export function nameIn<N extends string>(name: N, shard: number): N | `${N}-${number}` {
    return shard === 0 ? name : `${name}-${shard}`;
}

/**
 * @param text A name.
 * @param name What is named so in the first shard.
 * @returns The shard in which it has that name, or `undefined` if it has it in none.
 */
export function parseShard(text: string, name: string): number | undefined {
    if (text === name) {
        return 0;
    }
    const suffix = text.startsWith(`${name}-`) ? text.slice(name.length + 1) : "";
    return SHARD_NUMBER.test(suffix) ? Number(suffix) : undefined;
}

/** @param shard Number of a shard. @returns Key of the record that names its leader. */
export function leaderKey(shard: number): string {
    return nameIn(LEADER_KEY, shard);
}

/** @param key Key of a record. @returns The shard whose leader it names, or `undefined` if it names none. */
export function parseLeaderKey(key: string): number | undefined {
    return parseShard(key, LEADER_KEY);
}

/** @param shard Number of a shard. @returns Name of the producer of its leader's appends. */
export function leaderProducer(shard: number): string {
    return nameIn(LEADER_PRODUCER, shard);
}

/** @param shard Number of a shard. @returns Stream of the progress of its jobs. */
export function progressStream(shard: number): ProgressStream {
    return nameIn("progress", shard);
}

/** @param shard Number of a shard. @param epoch Epoch. @returns Writer name that answers to the claim of the epoch carry. */
export function claimWriterName(shard: number, epoch: number): string {
    return `${nameIn("claim", shard)}-${epoch}`;
}

/**
 * @param shard Number of a shard.
 * @param epoch Epoch.
 * @returns Writer name that answers to the leader's appends carry: each epoch numbers them anew.
 */
export function leaderWriterName(shard: number, epoch: number): string {
    return `${nameIn("leader", shard)}-${epoch}`;
}
