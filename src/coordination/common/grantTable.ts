import { Epoch } from "../../services/common/worker";
import { withDrift } from "./duration";
import { Grant, GRANT_INTERVAL_MS, GRANT_LEASE_MS, GrantAsk, GrantLimit, GrantReply } from "./grant";

/** Slots of one worker that one instance has or should have. */
interface Holding {
    /** Slots that the instance may be using. */
    granted: number;
    /** Slots that it should have, by demand. */
    target: number;
    /** Upper bound of its slots, as recorded in the log. */
    limit: number;
    /** Time (ms, the owner's clock) until which the instance may be using the granted slots. */
    expiresAt: number;
}

/** Slots of one worker that services may use. */
interface WorkerSlots {
    share: number;
    readonly holdings: Map<string, Holding>;
}

/** An instance that has asked for grants. */
interface Requester {
    /** Number of the latest reply to it. */
    serial: number;
    /** Slots wanted, by service. */
    demands: ReadonlyMap<string, number>;
    /** Time (ms) at which the latest reply's grants expire. */
    expiresAt: number;
}

/** Demand in slots assumed for every instance, so that each can serve its first request without waiting. */
const BASE_DEMAND_SLOTS = 1;

/** Time without a request for grants after which an instance counts as silent. */
const SILENCE_TIMEOUT_MS = 3 * GRANT_INTERVAL_MS;

/**
 * Divides the service slots of a shard's workers among the instances. A limit on each instance's slots is kept in
 * the log, so that a new owner knows which slots may be in use; the limits of a worker never exceed its share.
 * A limit is lowered only after its holder has confirmed that it uses fewer slots, or its grant has expired.
 */
export class GrantTable {
    private readonly workers = new Map<string, WorkerSlots>();
    private readonly requesters = new Map<string, Requester>();

    private constructor(
        private readonly shard: string,
        private readonly epoch: Epoch,
        /** Maximum time that a request keeps running after its grant has expired, in ms. */
        private readonly requestTailMs: number,
    ) {}

    /**
     * @param shard Name of the shard.
     * @param epoch Epoch of the owner that grants.
     * @param requestTailMs Maximum time that a request keeps running after its grant has expired, in ms.
     * @returns A table without workers.
     */
    static create(shard: string, epoch: Epoch, requestTailMs: number): GrantTable {
        return new GrantTable(shard, epoch, requestTailMs);
    }

    /**
     * Sets the slots that services may use on a worker.
     * @param worker Name of the worker.
     * @param slots The slots; with 0 the worker's grants are withdrawn as their holders release them or they expire.
     */
    setShare(worker: string, slots: number): void {
        this.worker(worker).share = slots;
    }

    /**
     * Restores the limits that earlier owners recorded. Until an instance reports its grants, it may be using all
     * slots up to its limits.
     * @param limits All limits of the shard.
     * @param mayRun Returns whether an instance may still be running.
     * @param authorityEndsAt Time (ms) after which earlier owners renew no grants.
     * @param now Time in ms.
     */
    restoreLimits(
        limits: readonly GrantLimit[],
        mayRun: (instance: string) => boolean,
        authorityEndsAt: number,
        now: number,
    ): void {
        for (const { worker, instance, slots } of limits) {
            const expiresAt = mayRun(instance) ? this.expiryFrom(authorityEndsAt) : now + this.requestTailMs;
            const holding = { granted: slots, target: 0, limit: slots, expiresAt };
            this.worker(worker).holdings.set(instance, holding);
        }
    }

    /**
     * Applies an instance's report of the slots that it holds from earlier owners.
     * @param instance The instance.
     * @param held Slots that it uses or may use.
     * @param now Time in ms.
     */
    applyHeldGrants(instance: string, held: readonly Grant[], now: number): void {
        const slots = new Map(held.map(grant => [grant.worker, grant.slots]));
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(instance);
            if (holding !== undefined) {
                holding.granted = Math.min(holding.granted, slots.get(name) ?? 0);
                // The grants stay as they are until the demands of all instances are known.
                holding.target = holding.granted;
                holding.expiresAt = this.expiryFrom(now);
            }
        }
    }

    /**
     * Removes an instance that has ended. Requests that it sent may keep running for `requestTailMs`.
     * @param instance The instance.
     * @param now Time in ms.
     */
    removeInstance(instance: string, now: number): void {
        this.requesters.delete(instance);
        for (const { holdings } of this.workers.values()) {
            const holding = holdings.get(instance);
            if (holding !== undefined) {
                holding.expiresAt = Math.min(holding.expiresAt, now + this.requestTailMs);
            }
        }
    }

    /**
     * Applies limits that were recorded in the log.
     * @param limits The limits.
     */
    applyLimits(limits: readonly GrantLimit[]): void {
        for (const { worker, instance, slots } of limits) {
            const { holdings } = this.worker(worker);
            const holding = holdings.get(instance) ?? { granted: 0, target: 0, limit: 0, expiresAt: 0 };
            holding.limit = slots;
            holdings.set(instance, holding);
            if (slots === 0 && holding.target === 0) {
                holdings.delete(instance);
            }
        }
    }

    /**
     * Computes the limits to change. The table uses a lowered limit at once, a raised one only after `applyLimits`.
     * @param now Time in ms.
     * @returns The changes to record in the log; with them no worker's limits exceed its share.
     */
    updateLimits(now: number): GrantLimit[] {
        this.dropExpired(now);
        this.updateTargets(now);
        return [...this.workers].flatMap(([name, worker]) => [
            ...lowerLimits(name, worker),
            ...raiseLimits(name, worker),
        ]);
    }

    /** @param worker Name of a worker. @returns Sum of the instances' limits in slots. */
    totalLimit(worker: string): number {
        const holdings = this.workers.get(worker)?.holdings.values() ?? [];
        return [...holdings].reduce((sum, each) => sum + each.limit, 0);
    }

    /**
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots that instances may be using.
     */
    inUse(worker: string, now: number): number {
        const holdings = this.workers.get(worker)?.holdings.values() ?? [];
        return [...holdings].filter(each => each.expiresAt > now).reduce((sum, each) => sum + each.granted, 0);
    }

    /**
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots reserved for instances that have not asked for grants lately.
     */
    reservedForSilent(worker: string, now: number): number {
        const isActive = (instance: string) =>
            (this.requesters.get(instance)?.expiresAt ?? 0) > this.expiryFrom(now) - SILENCE_TIMEOUT_MS;
        const holdings = this.workers.get(worker)?.holdings ?? [];
        return [...holdings].filter(([instance]) => !isActive(instance)).reduce((sum, [, each]) => sum + each.limit, 0);
    }

    /**
     * Handles an instance's request for grants.
     * @param ask Its demands and the slots that it holds.
     * @param now Time in ms.
     * @returns All slots that it may use from now on.
     */
    reply(ask: GrantAsk, now: number): GrantReply {
        const requester = this.requesters.get(ask.instance) ?? this.createRequester(ask);
        requester.demands = new Map(ask.demands.map(each => [each.service, each.slots]));
        requester.expiresAt = this.expiryFrom(now);
        this.requesters.set(ask.instance, requester);
        if (ask.epoch === this.epoch && ask.serial === requester.serial) {
            this.confirmHeld(ask);
        }
        requester.serial += 1;
        return {
            kind: "grant-reply",
            shard: this.shard,
            epoch: this.epoch,
            serial: requester.serial,
            grants: this.issueGrants(ask.instance, now),
        };
    }

    /**
     * @param service Name of a service.
     * @returns Slots wanted for it by all instances that have asked for grants lately.
     */
    demand(service: string): number {
        return [...this.requesters.values()].reduce((sum, each) => sum + (each.demands.get(service) ?? 0), 0);
    }

    /** Continues above the serial that a returning instance has seen; it would drop lower ones as out of date. */
    private createRequester(ask: GrantAsk): Requester {
        const serial = ask.epoch === this.epoch && ask.serial > 0 ? ask.serial + 1 : 0;
        return { serial, demands: new Map(), expiresAt: 0 };
    }

    private worker(name: string): WorkerSlots {
        const slots = this.workers.get(name) ?? { share: 0, holdings: new Map<string, Holding>() };
        this.workers.set(name, slots);
        return slots;
    }

    private expiryFrom(time: number): number {
        return time + withDrift(GRANT_LEASE_MS) + this.requestTailMs;
    }

    private dropExpired(now: number): void {
        for (const [instance, requester] of this.requesters) {
            if (requester.expiresAt <= now) {
                this.requesters.delete(instance);
            }
        }
        for (const { holdings } of this.workers.values()) {
            for (const holding of holdings.values()) {
                holding.granted = holding.expiresAt <= now ? 0 : holding.granted;
            }
        }
    }

    /** The holder has applied the latest reply, so it uses no more than the slots it reports as held. */
    private confirmHeld(ask: GrantAsk): void {
        const held = new Map(ask.held.map(grant => [grant.worker, grant.slots]));
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(ask.instance);
            if (holding !== undefined) {
                holding.granted = Math.min(holding.granted, held.get(name) ?? 0);
            }
        }
    }

    /** Assigns each slot to the instance that is furthest below its fair share. */
    private updateTargets(now: number): void {
        const fairShares = this.fairShares();
        const assigned = new Map<string, number>();
        for (const worker of this.workers.values()) {
            worker.holdings.forEach(holding => (holding.target = 0));
            const slots = worker.share - this.silentSlots(worker);
            for (let slot = 0; slot < slots; slot++) {
                const instance = furthestBelowShare(fairShares, assigned, worker);
                if (instance === undefined) {
                    break;
                }
                const empty = { granted: 0, target: 0, limit: 0, expiresAt: this.expiryFrom(now) };
                const holding = worker.holdings.get(instance) ?? empty;
                holding.target += 1;
                worker.holdings.set(instance, holding);
                assigned.set(instance, (assigned.get(instance) ?? 0) + 1);
            }
        }
    }

    /** Slots granted to instances that do not ask for grants; they stay reserved until their limits are lowered. */
    private silentSlots(worker: WorkerSlots): number {
        const silent = [...worker.holdings].filter(([instance]) => !this.requesters.has(instance));
        return silent.reduce((sum, [, holding]) => sum + holding.granted, 0);
    }

    /** Number of slots that each instance should have, in proportion to its demand. */
    private fairShares(): Map<string, number> {
        const demands = [...this.requesters].map(([instance, requester]): [string, number] => {
            const wanted = [...requester.demands.values()].reduce((sum, each) => sum + each, 0);
            return [instance, wanted + BASE_DEMAND_SLOTS];
        });
        const total = demands.reduce((sum, [, demand]) => sum + demand, 0);
        const slots = [...this.workers.values()].reduce((sum, worker) => sum + worker.share, 0);
        return new Map(demands.map(([instance, demand]) => [instance, (slots * demand) / total]));
    }

    private issueGrants(instance: string, now: number): Grant[] {
        const grants: Grant[] = [];
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(instance);
            if (holding === undefined) {
                continue;
            }
            const slots = Math.min(holding.target, holding.limit);
            // A lowered grant counts in full until the holder confirms the lower one.
            holding.granted = Math.max(holding.granted, slots);
            holding.expiresAt = this.expiryFrom(now);
            if (slots > 0) {
                grants.push({ worker: name, slots });
            }
        }
        return grants;
    }
}

function furthestBelowShare(
    fairShares: ReadonlyMap<string, number>,
    assigned: ReadonlyMap<string, number>,
    worker: WorkerSlots,
): string | undefined {
    let best: string | undefined;
    let largestDeficit = Number.NEGATIVE_INFINITY;
    for (const [instance, fairShare] of fairShares) {
        const holding = worker.holdings.get(instance);
        // An instance keeps a slot that it has unless the deficit of another one is larger by a whole slot.
        const retentionBonus = holding !== undefined && holding.limit > holding.target ? 1 : 0;
        const deficit = fairShare - (assigned.get(instance) ?? 0) + retentionBonus;
        if (deficit > largestDeficit) {
            largestDeficit = deficit;
            best = instance;
        }
    }
    return best;
}

/** Lowers each limit to the larger number of the granted and the target slots. */
function lowerLimits(name: string, { holdings }: WorkerSlots): GrantLimit[] {
    const changes: GrantLimit[] = [];
    for (const [instance, holding] of holdings) {
        const slots = Math.max(holding.granted, holding.target);
        if (slots < holding.limit) {
            holding.limit = slots;
            changes.push({ worker: name, instance, slots });
        }
    }
    return changes;
}

/** Raises limits towards the targets as far as the share allows; they take effect once they are in the log. */
function raiseLimits(name: string, { share, holdings }: WorkerSlots): GrantLimit[] {
    let free = share - [...holdings.values()].reduce((sum, each) => sum + each.limit, 0);
    const changes: GrantLimit[] = [];
    for (const [instance, holding] of holdings) {
        const increase = Math.min(free, holding.target - holding.limit);
        if (increase > 0) {
            free -= increase;
            changes.push({ worker: name, instance, slots: holding.limit + increase });
        }
    }
    return changes;
}
