import { Invariants } from "../../base/common/invariants";
import { WorkerListing } from "../../services/common/instanceList";
import { Candidate } from "./candidate";
import { FamilySpread } from "./familySpread";
import { ClassLoad } from "./interferenceModel";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";
import { WorkerContact } from "./workerContact";

/** Computes reserved and free capacity of the workers of a shard. */
export class CapacityLedger {
    private spread = FamilySpread.create();

    private constructor(private readonly context: ShardContext) {}

    /** @param context The shard. @returns A ledger. */
    static create(context: ShardContext): CapacityLedger {
        return new CapacityLedger(context);
    }

    /** Recomputes the distribution of families over racks and failure domains. */
    recountSpread(): void {
        this.spread = FamilySpread.create();
        for (const { assignment, request } of this.context.fold.openTasks) {
            const listing = this.context.contacts.get(assignment?.worker ?? "")?.listing;
            if (listing !== undefined) {
                this.spread.add(request.family, listing.rack, listing.failureDomain);
            }
        }
    }

    /**
     * @param contact A worker.
     * @param now Time in ms.
     * @returns Free capacity and current load of the worker.
     */
    candidateFor(contact: WorkerContact, now: number): Candidate {
        const { listing } = contact;
        const sizes = this.reservedSizes(listing.id);
        const serviceSlots = this.context.reservedServiceSlots(listing.id);
        const capacity = this.taskCapacity(listing);
        const free = {
            cpus: capacity.cpus - sum(sizes, each => each.cpus),
            memoryGb: capacity.memoryGb - sum(sizes, each => each.memoryGb),
            accelerators: capacity.accelerators - sum(sizes, each => each.accelerators),
        };
        const freeSlots = listing.capacity.slots - sizes.length - serviceSlots;
        this.checkCapacity(listing, freeSlots, free, now);
        return {
            worker: listing.id,
            rack: listing.rack,
            failureDomain: listing.failureDomain,
            capacity: listing.capacity,
            freeSlots,
            free,
            batch: this.batchClasses(listing.id),
            services: this.serviceClasses(listing, now),
            serviceUtilization: this.serviceUtilization(listing, now),
            spread: this.spread,
        };
    }

    /** @param task A task. @returns What each worker on which it has not failed has for tasks while it runs none. */
    capacitiesFor(task: Task): TaskSize[] {
        const listings = [...this.context.contacts.values()].map(contact => contact.listing);
        const allowed = listings.filter(({ id, availability }) => {
            return availability === "live" && !this.context.config.isDrained(id) && !task.failedOn.includes(id);
        });
        return allowed.map(listing => this.taskCapacity(listing));
    }

    /** Capacity of a worker that is not reserved for its services. */
    private taskCapacity(listing: WorkerListing): TaskSize {
        const { cpus, memoryGb, accelerators } = listing.capacity;
        const slots = this.context.reservedServiceSlots(listing.id);
        const slot = this.largestServiceSlot(listing);
        return { cpus: cpus - slots * slot.cpus, memoryGb: memoryGb - slots * slot.memoryGb, accelerators };
    }

    /** Largest CPU and memory needs of one slot among the services of a worker. */
    largestServiceSlot(listing: WorkerListing): { readonly cpus: number; readonly memoryGb: number } {
        const slots = listing.services.map(service => this.context.config.serviceSlot(service));
        return {
            cpus: Math.max(0, ...slots.map(each => each.cpus)),
            memoryGb: Math.max(0, ...slots.map(each => each.memoryGb)),
        };
    }

    /** @returns Load of each class of work on a worker, batch families and services. */
    colocatedClasses(listing: WorkerListing, now: number): ClassLoad[] {
        return [...this.batchClasses(listing.id), ...this.serviceClasses(listing, now)];
    }

    private reservedSizes(worker: string): TaskSize[] {
        const assigned = [...this.context.fold.tasksOn(worker)].map(task => task.assignment!);
        const pending = [...this.context.pendingAssignments.values()].filter(each => each.worker === worker);
        return [...assigned, ...pending.map(each => each.size)];
    }

    private batchClasses(worker: string): ClassLoad[] {
        const counts = new Map<string, number>();
        for (const task of this.context.fold.tasksOn(worker)) {
            const { family } = task.request;
            counts.set(family, (counts.get(family) ?? 0) + 1);
        }
        return [...counts].map(([name, load]) => ({ name, load }));
    }

    private serviceClasses(listing: WorkerListing, now: number): ClassLoad[] {
        const load = this.context.grants.inUse(listing.id, now);
        return listing.services.map(name => ({ name, load }));
    }

    private serviceUtilization(listing: WorkerListing, now: number): number {
        const share = this.context.fold.serviceSlots(listing.id);
        const demand = sum(listing.services, service => this.context.grants.demand(service));
        const workers = Math.max(1, this.context.contacts.size);
        return share === 0 || now === 0 ? 0 : Math.min(1, demand / workers / share);
    }

    private describeWorker(listing: WorkerListing, freeSlots: number, free: TaskSize, now: number): string {
        const { fold, pendingShares, pendingAssignments, grants, ownership } = this.context;
        const { id } = listing;
        return JSON.stringify({
            worker: id,
            owner: this.context.instance,
            state: ownership.state,
            freeSlots,
            ...free,
            share: fold.serviceSlots(id),
            pendingShare: pendingShares.get(id),
            granted: grants.inUse(id, now),
            tasks: [...fold.tasksOn(id)].map(task => task.request.key),
            pending: [...pendingAssignments].filter(([, each]) => each.worker === id).map(([number]) => number),
        });
    }

    private checkCapacity(listing: WorkerListing, freeSlots: number, free: TaskSize, now: number): void {
        const granted = this.context.grants.inUse(listing.id, now);
        const isWithinShare = granted <= this.context.reservedServiceSlots(listing.id);
        const isWithinCapacity =
            isWithinShare && freeSlots >= 0 && free.accelerators >= 0 && free.memoryGb >= -0.01 && free.cpus >= -0.01;
        Invariants.instance.check("capacity", isWithinCapacity, () =>
            this.describeWorker(listing, freeSlots, free, now),
        );
    }
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
    return items.reduce((total, item) => total + value(item), 0);
}
