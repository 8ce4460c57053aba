import { EntryReading, WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { ShardTable } from "../../jobs/common/shardTable";

/** The registered workers, as read from service discovery, and their shards. */
export class WorkerTable {
    private readonly readings = new Map<string, EntryReading>();
    /** Shard of each worker. It stays while the worker is registered, whatever rack later entries state. */
    private readonly shards = new Map<string, number>();

    private constructor(private readonly division: ShardTable) {}

    /** @param division How the fleet is divided. @returns A table without workers. */
    static create(division: ShardTable): WorkerTable {
        return new WorkerTable(division);
    }

    /** Number of workers. */
    get size(): number {
        return this.readings.size;
    }

    /** The workers, by identifier. */
    get all(): ReadonlyMap<string, EntryReading> {
        return this.readings;
    }

    /** Assigns all workers to their shards, when the fleet has been divided. */
    divide(): void {
        this.readings.forEach(({ entry }, id) => this.shards.set(id, this.division.shardOfWorker(entry)));
    }

    /** Adds or updates a worker. */
    set(id: string, reading: EntryReading): void {
        this.readings.set(id, reading);
        if (!this.shards.has(id)) {
            this.shards.set(id, this.division.shardOfWorker(reading.entry));
        }
    }

    /** Removes a worker. */
    delete(id: string): void {
        this.readings.delete(id);
        this.shards.delete(id);
    }

    /** Removes all workers but these. */
    retain(ids: ReadonlySet<string>): void {
        [...this.readings.keys()].filter(id => !ids.has(id)).forEach(id => this.delete(id));
    }

    /** Forgets when the entries were written: after a suspension they are of any age. */
    forgetAges(): void {
        this.readings.forEach(({ entry }, id) => this.readings.set(id, { entry, writtenAfter: undefined }));
    }

    /** @param shard Number of a shard. @returns Its workers. */
    entriesOf(shard: number): WorkerEntry[] {
        return [...this.readings.values()].flatMap(({ entry }) => (this.shardOf(entry.id) === shard ? entry : []));
    }

    /** @param id Identifier of a worker. @returns Its shard, or `undefined` if it is not registered. */
    shardOf(id: string): number | undefined {
        return this.shards.get(id);
    }
}
