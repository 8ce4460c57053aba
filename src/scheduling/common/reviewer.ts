import { Attempt } from "./attempt";
import { AttemptFollower } from "./attemptFollower";
import { Candidate, fits } from "./candidate";
import { CapacityLedger } from "./capacityLedger";
import { evictionCost, isEvictable } from "./evictionCost";
import { LeaseCaller } from "./leaseCaller";
import { Placer } from "./placer";
import {
    EVICT_MEMORY_SHARE,
    MAX_EVICTIONS_PER_REVIEW,
    THROTTLE_CPU_SHARE,
    URGENT_PATIENCE_MS,
} from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { ServiceShare, TaskSize } from "./taskEntry";
import { isPressing } from "./taskOrder";
import { WorkerLink } from "./workerLink";

/** Slots above the demand that services get on each worker, where they are free: usually, and where the tail weighs most. */
const USUAL_HEADROOM_SLOTS = 1;
const TAIL_HEADROOM_SLOTS = 2;

/** Share of a worker's slots that may replace those which instances hold and do not use. */
const MAX_REPLACED_SHARE = 0.25;

/** Reviews the shares of services, and makes room where tasks are too many: throttles first, evicts last. */
export class Reviewer {
    private evictions = 0;
    private headroom = USUAL_HEADROOM_SLOTS;
    private limitsPending = false;

    private constructor(
        private readonly context: ShardContext,
        private readonly ledger: CapacityLedger,
        private readonly follower: AttemptFollower,
        private readonly placer: Placer,
        private readonly caller: LeaseCaller,
    ) {}

    /** @returns A reviewer of the shard that its parts belong to. */
    static create(
        context: ShardContext,
        ledger: CapacityLedger,
        follower: AttemptFollower,
        placer: Placer,
        caller: LeaseCaller,
    ): Reviewer {
        return new Reviewer(context, ledger, follower, placer, caller);
    }

    /** Reviews every worker of the shard. @param now Time in ms. @param wallNow Time since the Unix epoch in ms. */
    review(now: number, wallNow: number): void {
        this.evictions = 0;
        this.headroom = this.headroomFor(wallNow);
        for (const link of this.context.links.values()) {
            link.history.note(now, this.ledger.classes(link.listing, now));
            this.relieve(link);
            this.empty(link);
        }
        this.setShares(now);
        this.limitGrants(now);
        this.makeRoomForUrgent(now, wallNow);
    }

    /** Sets the shares of services to the demand, and evicts where the slots for it are taken. */
    private setShares(now: number): void {
        const shares: ServiceShare[] = [];
        const hosts = this.countHosts();
        for (const link of this.context.links.values()) {
            const needed = this.neededShare(link, hosts);
            const wanted = this.wantedShare(link, needed, now);
            this.context.wantedShares.set(link.listing.id, wanted);
            const slots = this.reachableShare(link, wanted, now);
            // Headroom is taken where it is free; tasks are evicted for real demand alone.
            if (slots < Math.min(wanted, needed)) {
                this.evictOne(link, "the services of the worker need its slot");
            }
            if (slots !== this.context.fold.serviceSlots(link.listing.id)) {
                shares.push({ worker: link.listing.id, slots });
            }
        }
        this.recordShares(shares);
    }

    /** Where the tail weighs most there is more headroom, unless tasks would miss their time for it. */
    private headroomFor(wallNow: number): number {
        const { tailLatency, throughput } = this.context.config.weights();
        const spares = tailLatency > throughput && !this.placer.queued().some(task => isPressing(task, wallNow));
        return spares ? TAIL_HEADROOM_SLOTS : USUAL_HEADROOM_SLOTS;
    }

    /** Workers by the services that run on them; those with the same services share their demand. */
    private countHosts(): Map<string, number> {
        const hosts = new Map<string, number>();
        for (const { listing } of this.context.links.values()) {
            listing.services.forEach(service => hosts.set(service, (hosts.get(service) ?? 0) + 1));
        }
        return hosts;
    }

    /** Slots that the demand of the worker's services takes. */
    private neededShare({ listing }: WorkerLink, hosts: ReadonlyMap<string, number>): number {
        const { config, grants } = this.context;
        const part = (service: string) => grants.demand(service) / Math.max(1, hosts.get(service) ?? 0);
        const demand = listing.services.reduce((sum, service) => sum + part(service), 0);
        return Math.max(config.minServiceSlots(), Math.ceil(demand));
    }

    /** The demand, and what replaces the slots that are kept for instances which do not use them. */
    private wantedShare({ listing }: WorkerLink, needed: number, now: number): number {
        const { config, grants } = this.context;
        if (listing.services.length === 0 || listing.availability === "leaving" || config.isDrained(listing.id)) {
            return 0;
        }
        const replaced = Math.min(grants.idle(listing.id, now), listing.capacity.slots * MAX_REPLACED_SHARE);
        return Math.min(listing.capacity.slots, needed + this.headroom + replaced);
    }

    /** The share closest to the wanted one that leaves room for tasks there and slots in use. */
    private reachableShare(link: WorkerLink, wanted: number, now: number): number {
        const { listing } = link;
        const current = this.context.fold.serviceSlots(listing.id);
        if (wanted <= current) {
            return Math.max(wanted, Math.min(current, this.context.grants.limited(listing.id)));
        }
        const candidate = this.ledger.candidate(link, now);
        const slot = this.ledger.slotSize(listing);
        const room = Math.min(
            candidate.freeSlots,
            slot.cpus === 0 ? candidate.freeSlots : Math.floor(candidate.free.cpus / slot.cpus),
            slot.memoryGb === 0 ? candidate.freeSlots : Math.floor(candidate.free.memoryGb / slot.memoryGb),
        );
        return Math.min(wanted, current + Math.max(0, room));
    }

    private recordShares(shares: readonly ServiceShare[]): void {
        const { session, pendingShares, ownership } = this.context;
        // Limits that are on their way count on the share as it is.
        if (shares.length === 0 || session.isAppendFailing || pendingShares.size > 0 || this.limitsPending) {
            return;
        }
        shares.forEach(({ worker, slots }) => pendingShares.set(worker, slots));
        session.append({ kind: "shares-set", epoch: ownership.epoch, shares });
    }

    /** Records which instance may be granted how much, before anything is granted beyond it. */
    private limitGrants(now: number): void {
        const { session, ownership, grants, fold, links, wantedShares, pendingShares } = this.context;
        if (session.isAppendFailing || this.limitsPending) {
            return;
        }
        for (const id of links.keys()) {
            // A lower share binds the limits before it is in the log, a higher one only after.
            const share = Math.min(fold.serviceSlots(id), pendingShares.get(id) ?? Number.POSITIVE_INFINITY);
            grants.setShare(id, Math.min(share, wantedShares.get(id) ?? 0));
        }
        const limits = grants.changeLimits(now);
        if (limits.length > 0) {
            this.limitsPending = true;
            session.append({ kind: "grants-limited", epoch: ownership.epoch, limits });
        }
    }

    /** Notes that the log has the limits that were recorded last. */
    limitsRecorded(): void {
        this.limitsPending = false;
    }

    /** Throttles or evicts where the measured usage exceeds the worker. */
    private relieve(link: WorkerLink): void {
        const running = link.report?.running ?? [];
        const cpus = running.reduce((sum, each) => sum + each.cpus, 0);
        const memoryGb = running.reduce((sum, each) => sum + each.memoryGb, 0);
        const crowded = cpus > THROTTLE_CPU_SHARE * link.listing.capacity.cpus;
        for (const attempt of this.follower.on(link)) {
            attempt.throttled = crowded && attempt.task.request.urgency === "normal";
        }
        if (memoryGb > EVICT_MEMORY_SHARE * link.listing.capacity.memoryGb) {
            this.evictOne(link, "the worker's memory is nearly used up");
        }
    }

    /** Empties a worker that is leaving or drained. */
    private empty(link: WorkerLink): void {
        const drained = this.context.config.isDrained(link.listing.id);
        if (link.listing.availability !== "leaving" && !drained) {
            return;
        }
        for (const attempt of this.follower.on(link)) {
            if (!attempt.evicting && isEvictable(attempt.task)) {
                this.evict(attempt, drained ? "operators drain the worker" : "the worker is leaving");
            }
        }
    }

    private makeRoomForUrgent(now: number, wallNow: number): void {
        const waiting = this.placer
            .queued()
            .filter(task => task.request.urgency === "urgent" && wallNow - task.submittedAt > URGENT_PATIENCE_MS);
        const underway = [...this.context.attempts.values()].filter(attempt => attempt.evicting).length;
        for (const task of waiting.slice(underway)) {
            this.makeRoom(task, now);
        }
    }

    private makeRoom(task: Task, now: number): void {
        const size = this.context.models.usage.reserve(task.request);
        const links = [...this.context.links.values()].filter(
            link => this.placer.takesTasks(link, now) && !task.failedOn.includes(link.listing.id),
        );
        const victims = links.flatMap(link => {
            const candidate = this.ledger.candidate(link, now);
            return this.victims(link).filter(victim => wouldFit(candidate, size, victim));
        });
        this.evictCheapest(victims, `urgent task ${task.request.key} waits`);
    }

    private evictOne(link: WorkerLink, reason: string): void {
        const pending = [...this.follower.on(link)].some(attempt => attempt.evicting);
        if (!pending) {
            this.evictCheapest(this.victims(link), reason);
        }
    }

    private victims(link: WorkerLink): Attempt[] {
        return [...this.follower.on(link)].filter(
            each => each.state === "running" && !each.evicting && isEvictable(each.task),
        );
    }

    private evictCheapest(victims: readonly Attempt[], reason: string): void {
        const costs = victims.map(victim => this.cost(victim));
        const cheapest = victims[costs.indexOf(Math.min(...costs))];
        if (cheapest !== undefined && this.evictions < MAX_EVICTIONS_PER_REVIEW) {
            this.evictions += 1;
            this.evict(cheapest, reason);
        }
    }

    private cost(attempt: Attempt): number {
        const { interference } = this.context.models;
        const listing = this.context.links.get(attempt.assignment.worker)?.listing;
        const { family } = attempt.task.request;
        const harm = (listing?.services ?? []).reduce((sum, name) => sum + interference.effect(name, family), 0);
        return evictionCost({ task: attempt.task, progress: attempt.progress, harm }, this.context.config.weights());
    }

    private evict(attempt: Attempt, reason: string): void {
        attempt.evicting = true;
        this.caller.hurry(attempt.assignment.worker, performance.now());
        this.context.audit("task", attempt.task.request.key, "evicting", reason);
    }
}

/** Whether a task would fit on a worker if a running one made room. */
function wouldFit(candidate: Candidate, size: TaskSize, victim: Attempt): boolean {
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
