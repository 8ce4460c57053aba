import { Attempt } from "./attempt";
import { AttemptTracker } from "./attemptTracker";
import { Candidate, fits } from "./candidate";
import { CapacityLedger } from "./capacityLedger";
import { evictionCost, isEvictable } from "./evictionCost";
import { LeaseCaller } from "./leaseCaller";
import { Placer } from "./placer";
import {
    EVICT_MEMORY_RATIO,
    MAX_EVICTIONS_PER_REBALANCE,
    THROTTLE_CPU_RATIO,
    URGENT_EVICTION_DELAY_MS,
} from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { ServiceShare, TaskSize } from "./taskEntry";
import { isDeadlineAtRisk } from "./taskOrder";
import { WorkerContact } from "./workerContact";

/**
 * Free slots that services get on each worker above their demand: by default, and when tail latency outweighs
 * throughput.
 */
const DEFAULT_HEADROOM_SLOTS = 1;
const LATENCY_HEADROOM_SLOTS = 2;

/** Maximum fraction of a worker's slots that may replace slots held by instances that no longer ask for grants. */
const MAX_REPLACED_RATIO = 0.25;

/**
 * Periodically adjusts the slots reserved for services on the workers of a shard. Where CPU is short, it throttles
 * tasks; it evicts them only where memory or slots are short, or for an urgent task or a departing worker.
 */
export class Rebalancer {
    private evictionCount = 0;
    private headroomSlots = DEFAULT_HEADROOM_SLOTS;
    private hasPendingLimits = false;

    private constructor(
        private readonly context: ShardContext,
        private readonly ledger: CapacityLedger,
        private readonly tracker: AttemptTracker,
        private readonly placer: Placer,
        private readonly leaseCaller: LeaseCaller,
    ) {}

    /** @returns A rebalancer of the shard that the arguments belong to. */
    static create(
        context: ShardContext,
        ledger: CapacityLedger,
        tracker: AttemptTracker,
        placer: Placer,
        leaseCaller: LeaseCaller,
    ): Rebalancer {
        return new Rebalancer(context, ledger, tracker, placer, leaseCaller);
    }

    /** Rebalances every worker of the shard. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    rebalance(now: number, wallNow: number): void {
        this.evictionCount = 0;
        this.headroomSlots = this.chooseHeadroom(wallNow);
        for (const contact of this.context.contacts.values()) {
            contact.history.record(now, this.ledger.colocatedClasses(contact.listing, now));
            this.relieveOverload(contact);
            this.evictFromDeparting(contact);
        }
        this.updateShares(now);
        this.updateGrantLimits(now);
        this.evictForUrgentTasks(now, wallNow);
    }

    /** Sets the shares of services by demand, and evicts a task where tasks occupy the slots that the demand needs. */
    private updateShares(now: number): void {
        const shares: ServiceShare[] = [];
        const workerCounts = this.countWorkersByService();
        for (const contact of this.context.contacts.values()) {
            const needed = this.slotsForDemand(contact, workerCounts);
            const desired = this.desiredShare(contact, needed, now);
            this.context.desiredShares.set(contact.listing.id, desired);
            const slots = this.feasibleShare(contact, desired, now);
            // Tasks are evicted only for actual demand, never for headroom.
            if (slots < Math.min(desired, needed)) {
                this.evictOne(contact, "the services of the worker need its slot");
            }
            if (slots !== this.context.fold.serviceSlots(contact.listing.id)) {
                shares.push({ worker: contact.listing.id, slots });
            }
        }
        this.recordShares(shares);
    }

    /** More headroom when tail latency outweighs throughput, unless the deadline of a queued task is at risk. */
    private chooseHeadroom(wallNow: number): number {
        const { tailLatency, throughput } = this.context.config.weights();
        const canAffordMore =
            tailLatency > throughput && !this.placer.unplacedTasks().some(task => isDeadlineAtRisk(task, wallNow));
        return canAffordMore ? LATENCY_HEADROOM_SLOTS : DEFAULT_HEADROOM_SLOTS;
    }

    /** Number of workers that run each service; the demand for a service is divided among them. */
    private countWorkersByService(): Map<string, number> {
        const workerCounts = new Map<string, number>();
        for (const { listing } of this.context.contacts.values()) {
            listing.services.forEach(service => workerCounts.set(service, (workerCounts.get(service) ?? 0) + 1));
        }
        return workerCounts;
    }

    /** Slots needed for the worker's part of the demand for its services. */
    private slotsForDemand({ listing }: WorkerContact, workerCounts: ReadonlyMap<string, number>): number {
        const { config, grants } = this.context;
        const demandPerWorker = (service: string) =>
            grants.demand(service) / Math.max(1, workerCounts.get(service) ?? 0);
        const demand = listing.services.reduce((sum, service) => sum + demandPerWorker(service), 0);
        return Math.max(config.minServiceSlots(), Math.ceil(demand));
    }

    /** Demand plus headroom, plus replacements for slots held by instances that no longer ask for grants. */
    private desiredShare({ listing }: WorkerContact, needed: number, now: number): number {
        const { config, grants } = this.context;
        if (listing.services.length === 0 || listing.availability === "leaving" || config.isDrained(listing.id)) {
            return 0;
        }
        const replacements = Math.min(
            grants.reservedForSilent(listing.id, now),
            listing.capacity.slots * MAX_REPLACED_RATIO,
        );
        return Math.min(listing.capacity.slots, needed + this.headroomSlots + replacements);
    }

    /** The share closest to the desired one that displaces neither the tasks on the worker nor the limits in force. */
    private feasibleShare(contact: WorkerContact, desired: number, now: number): number {
        const { listing } = contact;
        const current = this.context.fold.serviceSlots(listing.id);
        if (desired <= current) {
            return Math.max(desired, Math.min(current, this.context.grants.totalLimit(listing.id)));
        }
        const candidate = this.ledger.candidateFor(contact, now);
        const slot = this.ledger.largestServiceSlot(listing);
        const freeSlots = Math.min(
            candidate.freeSlots,
            slot.cpus === 0 ? candidate.freeSlots : Math.floor(candidate.free.cpus / slot.cpus),
            slot.memoryGb === 0 ? candidate.freeSlots : Math.floor(candidate.free.memoryGb / slot.memoryGb),
        );
        return Math.min(desired, current + Math.max(0, freeSlots));
    }

    private recordShares(shares: readonly ServiceShare[]): void {
        const { session, pendingShares, ownership } = this.context;
        // Limits in flight to the log were computed from the current shares.
        if (shares.length === 0 || session.isAppendFailing || pendingShares.size > 0 || this.hasPendingLimits) {
            return;
        }
        shares.forEach(({ worker, slots }) => pendingShares.set(worker, slots));
        session.append({ kind: "shares-set", epoch: ownership.epoch, shares });
    }

    /** Records the limits of the instances' grants; a raised limit must be in the log before grants use it. */
    private updateGrantLimits(now: number): void {
        const { session, ownership, grants, fold, contacts, desiredShares, pendingShares } = this.context;
        if (session.isAppendFailing || this.hasPendingLimits) {
            return;
        }
        for (const id of contacts.keys()) {
            // A lowered share limits the grants at once, a raised one only after it is in the log.
            const share = Math.min(fold.serviceSlots(id), pendingShares.get(id) ?? Number.POSITIVE_INFINITY);
            grants.setShare(id, Math.min(share, desiredShares.get(id) ?? 0));
        }
        const limits = grants.updateLimits(now);
        if (limits.length > 0) {
            this.hasPendingLimits = true;
            session.append({ kind: "grants-limited", epoch: ownership.epoch, limits });
        }
    }

    /** Called when the recorded limits have been read back from the log. */
    onLimitsApplied(): void {
        this.hasPendingLimits = false;
    }

    /** Throttles tasks when CPU usage is near the worker's capacity; evicts one when memory usage is. */
    private relieveOverload(contact: WorkerContact): void {
        const running = contact.report?.running ?? [];
        const cpus = running.reduce((sum, each) => sum + each.cpus, 0);
        const memoryGb = running.reduce((sum, each) => sum + each.memoryGb, 0);
        const isOverloaded = cpus > THROTTLE_CPU_RATIO * contact.listing.capacity.cpus;
        for (const attempt of this.tracker.attemptsOn(contact)) {
            attempt.isThrottled = isOverloaded && attempt.task.request.urgency === "normal";
        }
        if (memoryGb > EVICT_MEMORY_RATIO * contact.listing.capacity.memoryGb) {
            this.evictOne(contact, "the worker's memory is nearly used up");
        }
    }

    /** Evicts tasks from a worker that is leaving or being drained. */
    private evictFromDeparting(contact: WorkerContact): void {
        const isDrained = this.context.config.isDrained(contact.listing.id);
        if (contact.listing.availability !== "leaving" && !isDrained) {
            return;
        }
        for (const attempt of this.tracker.attemptsOn(contact)) {
            if (!attempt.isEvicting && isEvictable(attempt.task)) {
                this.evict(attempt, isDrained ? "operators drain the worker" : "the worker is leaving");
            }
        }
    }

    private evictForUrgentTasks(now: number, wallNow: number): void {
        const overdue = this.placer
            .unplacedTasks()
            .filter(task => task.request.urgency === "urgent" && wallNow - task.submittedAt > URGENT_EVICTION_DELAY_MS);
        const inFlight = [...this.context.attempts.values()].filter(attempt => attempt.isEvicting).length;
        for (const task of overdue.slice(inFlight)) {
            this.evictForTask(task, now);
        }
    }

    private evictForTask(task: Task, now: number): void {
        const size = this.context.models.usage.reserve(task.request, this.ledger.capacitiesFor(task));
        const contacts = [...this.context.contacts.values()].filter(
            contact => this.placer.canPlaceOn(contact, now) && !task.failedOn.includes(contact.listing.id),
        );
        const victims = contacts.flatMap(contact => {
            const candidate = this.ledger.candidateFor(contact, now);
            return this.evictableAttempts(contact).filter(victim => fitsAfterEviction(candidate, size, victim));
        });
        this.evictCheapest(victims, `urgent task ${task.request.key} waits`);
    }

    private evictOne(contact: WorkerContact, reason: string): void {
        const isEvicting = [...this.tracker.attemptsOn(contact)].some(attempt => attempt.isEvicting);
        if (!isEvicting) {
            this.evictCheapest(this.evictableAttempts(contact), reason);
        }
    }

    private evictableAttempts(contact: WorkerContact): Attempt[] {
        return [...this.tracker.attemptsOn(contact)].filter(
            each => each.state === "running" && !each.isEvicting && isEvictable(each.task),
        );
    }

    private evictCheapest(victims: readonly Attempt[], reason: string): void {
        const costs = victims.map(victim => this.evictionCostOf(victim));
        const cheapest = victims[costs.indexOf(Math.min(...costs))];
        if (cheapest !== undefined && this.evictionCount < MAX_EVICTIONS_PER_REBALANCE) {
            this.evictionCount += 1;
            this.evict(cheapest, reason);
        }
    }

    private evictionCostOf(attempt: Attempt): number {
        const { interference } = this.context.models;
        const listing = this.context.contacts.get(attempt.assignment.worker)?.listing;
        const { family } = attempt.task.request;
        const caused = (listing?.services ?? []).reduce((sum, name) => sum + interference.effect(name, family), 0);
        return evictionCost(
            { task: attempt.task, progress: attempt.progress, interference: caused },
            this.context.config.weights(),
        );
    }

    private evict(attempt: Attempt, reason: string): void {
        attempt.isEvicting = true;
        this.leaseCaller.callSoon(attempt.assignment.worker, performance.now());
        this.context.audit("task", attempt.task.request.key, "evicting", reason);
    }
}

/** Whether a task would fit on a worker after a running task of normal urgency was evicted. */
function fitsAfterEviction(candidate: Candidate, size: TaskSize, victim: Attempt): boolean {
    const { cpus, memoryGb, accelerators } = victim.assignment;
    const freed: Candidate = {
        ...candidate,
        freeSlots: candidate.freeSlots + 1,
        free: {
            cpus: candidate.free.cpus + cpus,
            memoryGb: candidate.free.memoryGb + memoryGb,
            accelerators: candidate.free.accelerators + accelerators,
        },
    };
    return victim.task.request.urgency === "normal" && fits(freed, size);
}
