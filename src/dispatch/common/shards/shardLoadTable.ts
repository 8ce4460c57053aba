import { StoredRecord } from "../../../records/common/record";
import { ServiceLoad } from "./serviceLoad";
import { decodeShardLoad, parseLoadKey, ShardLoad } from "./shardLoad";

/** Age from which a load says nothing about a shard any more, in ms: its leader has missed several records, or is lost. */
const MAX_LOAD_AGE_MS = 2_000;

interface ReadLoad {
    readonly load: ShardLoad;
    /** Time (ms) at which it was read. */
    readonly readAt: number;
}

/** The loads that the leaders of all shards publish. */
export class ShardLoadTable {
    private readonly loads = new Map<number, ReadLoad>();

    private constructor() {}

    /** @returns A table without loads. */
    static create(): ShardLoadTable {
        return new ShardLoadTable();
    }

    /**
     * Applies the record of a load.
     * @param record The record.
     * @param now Time in ms.
     * @returns Whether it is well-formed.
     */
    apply(record: StoredRecord, now: number): boolean {
        const shard = parseLoadKey(record.key);
        if (shard === undefined || record.value === undefined) {
            return true;
        }
        const load = decodeShardLoad(record.value);
        if (load !== undefined) {
            this.loads.set(shard, { load, readAt: now });
        }
        return load !== undefined;
    }

    /**
     * @param shard Number of a shard.
     * @param now Time in ms.
     * @param maxAgeMs Age up to which its load counts, in ms.
     * @returns Its load, or `undefined` if no recent one is known.
     */
    loadOf(shard: number, now: number, maxAgeMs = MAX_LOAD_AGE_MS): ShardLoad | undefined {
        const known = this.loads.get(shard);
        return known === undefined || now - known.readAt > maxAgeMs ? undefined : known.load;
    }

    /** @param shard Number of a shard. @returns Time (ms) at which its latest load was read, or `undefined` if none was. */
    readAtOf(shard: number): number | undefined {
        return this.loads.get(shard)?.readAt;
    }

    /**
     * @param service A service.
     * @param own A shard that is left out.
     * @param now Time in ms.
     * @returns Its recent loads in the other shards.
     */
    loadsOf(service: string, own: number, now: number): ServiceLoad[] {
        return [...this.loads.keys()]
            .filter(shard => shard !== own)
            .flatMap(shard => this.loadOf(shard, now)?.services.get(service) ?? []);
    }
}
