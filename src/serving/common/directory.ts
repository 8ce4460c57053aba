import { bucketOf } from "../../coordination/common/rendezvous";
import { ShardPlan } from "../../coordination/common/ownershipManager";
import { EntryListing, InstanceListing, WorkerListing } from "../../services/common/instanceList";

/** Age in ms of the last read of service discovery above which the directory is stale. */
const MAX_READ_AGE_MS = 5_000;

/** Workers and instances registered in service discovery, and the shard of each worker and task. */
export class Directory {
    private workers = new Map<string, WorkerListing>();
    private lastReadAt = Number.NEGATIVE_INFINITY;
    private entryListings: readonly EntryListing[] = [];

    private constructor(private readonly plan: readonly ShardPlan[]) {}

    /** @param plan All shards; must be the same on every instance. @returns An empty directory. */
    static create(plan: readonly ShardPlan[]): Directory {
        return new Directory(plan);
    }

    /** Records a completed or failed read of service discovery. @param requestedAt Time of the request in ms. */
    recordRead(requestedAt: number): void {
        this.lastReadAt = requestedAt;
    }

    /**
     * The last known listing stays in use while reads fail, since nothing better is available. It is stale when no read
     * was attempted recently, for example after the process was paused.
     * @param now Time in ms.
     * @returns Whether the listing may be used.
     */
    isFresh(now: number): boolean {
        return now - this.lastReadAt < MAX_READ_AGE_MS;
    }

    /** Entry instances registered in service discovery. */
    get entries(): readonly EntryListing[] {
        return this.entryListings;
    }

    /** Replaces all workers and entry instances. @param listing A snapshot of service discovery. */
    update(listing: InstanceListing): void {
        this.workers = new Map(listing.workers.map(each => [each.id, each]));
        this.entryListings = listing.entries;
    }

    /** @param id Name of a worker. @returns The worker, if it is registered. */
    worker(id: string): WorkerListing | undefined {
        return this.workers.get(id);
    }

    /** @param shard Name of a shard. @returns Its workers. */
    workersOf(shard: string): WorkerListing[] {
        return [...this.workers.values()].filter(each => this.shardOfWorker(each) === shard);
    }

    /** @param service Name of a service. @returns Workers that run an upstream of it. */
    hosts(service: string): WorkerListing[] {
        return [...this.workers.values()].filter(each => each.services.includes(service));
    }

    /** @returns Names of the services that run on any worker. */
    services(): Set<string> {
        return new Set([...this.workers.values()].flatMap(each => each.services));
    }

    /** @returns Shard of a worker: one of its region's by a hash of its name; empty if the region has none. */
    shardOfWorker(worker: WorkerListing): string {
        const local = this.plan.filter(each => each.region === worker.region);
        return local.length === 0 ? "" : local[bucketOf(worker.id, local.length)].name;
    }

    /** @param key Idempotency key of a task. @returns Its shard; the same for every submission with this key. */
    shardOfTask(key: string): string {
        return this.plan[bucketOf(key, this.plan.length)].name;
    }
}
