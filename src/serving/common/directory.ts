import { bucketOf } from "../../coordination/common/rendezvous";
import { ShardPlan } from "../../coordination/common/ownershipKeeper";
import { EntryListing, Listing, WorkerListing } from "../../services/common/instanceList";

/** Time after which the list must have been asked for again, in ms. */
const MAX_LIST_AGE_MS = 5_000;

/** The workers and instances that the platform lists, and the shard of each worker and task. */
export class Directory {
    private workers = new Map<string, WorkerListing>();
    private checkedAt = Number.NEGATIVE_INFINITY;
    private entryListings: readonly EntryListing[] = [];

    private constructor(private readonly plan: readonly ShardPlan[]) {}

    /** @param plan All shards; every instance must be given the same. @returns An empty directory. */
    static create(plan: readonly ShardPlan[]): Directory {
        return new Directory(plan);
    }

    /** Notes an answer of the platform, the list or a failure. @param askedAt Time (ms) when it was asked. */
    checked(askedAt: number): void {
        this.checkedAt = askedAt;
    }

    /**
     * A list that could not be read is still the best there is. One that nobody has asked for lately, as after a
     * pause of the process, is not relied on.
     * @param now Time in ms.
     * @returns Whether the list may be relied on.
     */
    isFresh(now: number): boolean {
        return now - this.checkedAt < MAX_LIST_AGE_MS;
    }

    /** Entry instances that the platform lists. */
    get entries(): readonly EntryListing[] {
        return this.entryListings;
    }

    /** Takes in the platform's list. */
    update(listing: Listing): void {
        this.workers = new Map(listing.workers.map(each => [each.id, each]));
        this.entryListings = listing.entries;
    }

    /** @param id Name of a worker. @returns The worker, if it is listed. */
    worker(id: string): WorkerListing | undefined {
        return this.workers.get(id);
    }

    /** @param shard Name of a shard. @returns Its workers. */
    workersOf(shard: string): WorkerListing[] {
        return [...this.workers.values()].filter(each => this.shardOfWorker(each) === shard);
    }

    /** @param service Name of a service. @returns Workers that run it. */
    hosts(service: string): WorkerListing[] {
        return [...this.workers.values()].filter(each => each.services.includes(service));
    }

    /** @returns Services that run on some worker. */
    services(): Set<string> {
        return new Set([...this.workers.values()].flatMap(each => each.services));
    }

    /** @returns Shard of a worker: one of its region's, by its name. */
    shardOfWorker(worker: WorkerListing): string {
        const local = this.plan.filter(each => each.region === worker.region);
        return local.length === 0 ? "" : local[bucketOf(worker.id, local.length)].name;
    }

    /** @param key Idempotency key of a task. @returns Its shard; the same for every submission of the key. */
    shardOfTask(key: string): string {
        return this.plan[bucketOf(key, this.plan.length)].name;
    }
}
