import { Epoch } from "../../services/common/worker";
import { withDrift } from "./duration";
import { Grant, GRANT_INTERVAL_MS, GRANT_LEASE_MS, GrantAsk, GrantLimit, GrantReply } from "./grant";

/** What one instance has of one worker's slots. */
interface Holding {
    /** Slots that the instance may be using. */
    granted: number;
    /** Slots that it is to have. */
    target: number;
    /** Slots that the log lets it have at the most. */
    limit: number;
    /** Time (ms, the owner's clock) until which the instance may be using what it was granted. */
    until: number;
}

/** Slots of one worker that services may use. */
interface WorkerSlots {
    share: number;
    readonly holdings: Map<string, Holding>;
}

interface Asker {
    serial: number;
    demands: ReadonlyMap<string, number>;
    until: number;
}

/** Demand that every instance is taken to have, so that each can serve its first caller at once. */
const BASE_DEMAND = 1;

/** Time without a request for grants after which an instance counts as not heard of, in ms. */
const UNHEARD_MS = 3 * GRANT_INTERVAL_MS;

/**
 * Splits the service slots of a shard's workers among the instances. What an instance may have at the most is
 * kept in the log, so that a new owner knows what may be in use; the limits of a worker never exceed its share.
 * A limit is lowered only after its holder has confirmed that it uses fewer slots, or its grant has lapsed.
 */
export class GrantTable {
    private readonly workers = new Map<string, WorkerSlots>();
    private readonly askers = new Map<string, Asker>();

    private constructor(
        private readonly shard: string,
        private readonly epoch: Epoch,
        /** Longest time that a request goes on after its grant has lapsed, in ms. */
        private readonly requestTailMs: number,
    ) {}

    /**
     * @param shard Name of the shard.
     * @param epoch Epoch of the owner that grants.
     * @param requestTailMs Longest time that a request goes on after its grant has lapsed, in ms.
     * @returns A table without workers.
     */
    static create(shard: string, epoch: Epoch, requestTailMs: number): GrantTable {
        return new GrantTable(shard, epoch, requestTailMs);
    }

    /**
     * Sets the slots that services may use on a worker.
     * @param worker Name of the worker.
     * @param slots The slots; 0 takes the worker out as the grants of it lapse.
     */
    setShare(worker: string, slots: number): void {
        this.worker(worker).share = slots;
    }

    /**
     * Takes in the limits that the log has from earlier owners: until an instance answers, it may be using them.
     * @param limits All limits of the shard.
     * @param known Tells whether an instance may still be running.
     * @param authorityEndsAt Time (ms) after which earlier owners renew nothing.
     * @param now Time in ms.
     */
    inherit(
        limits: readonly GrantLimit[],
        known: (instance: string) => boolean,
        authorityEndsAt: number,
        now: number,
    ): void {
        for (const { worker, instance, slots } of limits) {
            const until = known(instance) ? this.lapse(authorityEndsAt) : now + this.requestTailMs;
            const holding = { granted: slots, target: 0, limit: slots, until };
            this.worker(worker).holdings.set(instance, holding);
        }
    }

    /**
     * Takes in what an instance holds from earlier owners.
     * @param now Time in ms.
     */
    adopt(instance: string, held: readonly Grant[], now: number): void {
        const slots = new Map(held.map(grant => [grant.worker, grant.slots]));
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(instance);
            if (holding !== undefined) {
                holding.granted = Math.min(holding.granted, slots.get(name) ?? 0);
                // What is held stays until the demands of all instances are known.
                holding.target = holding.granted;
                holding.until = this.lapse(now);
            }
        }
    }

    /** Notes that an instance has ended; requests that it sent may go on for a while. @param now Time in ms. */
    forget(instance: string, now: number): void {
        this.askers.delete(instance);
        for (const { holdings } of this.workers.values()) {
            const holding = holdings.get(instance);
            if (holding !== undefined) {
                holding.until = Math.min(holding.until, now + this.requestTailMs);
            }
        }
    }

    /**
     * Takes in limits that the log has accepted.
     * @param limits The limits.
     */
    applyLimits(limits: readonly GrantLimit[]): void {
        for (const { worker, instance, slots } of limits) {
            const { holdings } = this.worker(worker);
            const holding = holdings.get(instance) ?? { granted: 0, target: 0, limit: 0, until: 0 };
            holding.limit = slots;
            holdings.set(instance, holding);
            if (slots === 0 && holding.target === 0) {
                holdings.delete(instance);
            }
        }
    }

    /**
     * Finds the limits to change. A lowered one binds the table from now on, a raised one once it is applied.
     * @param now Time in ms.
     * @returns The changes to record; after them no worker's limits exceed its share.
     */
    changeLimits(now: number): GrantLimit[] {
        this.dropLapsed(now);
        this.retarget(now);
        return [...this.workers].flatMap(([name, worker]) => [
            ...lowerLimits(name, worker),
            ...raiseLimits(name, worker),
        ]);
    }

    /** @param worker Name of a worker. @returns Slots that the log lets instances have together. */
    limited(worker: string): number {
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
        return [...holdings].filter(each => each.until > now).reduce((sum, each) => sum + each.granted, 0);
    }

    /**
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots that are kept for instances which have not been heard of lately.
     */
    idle(worker: string, now: number): number {
        const heard = (instance: string) => (this.askers.get(instance)?.until ?? 0) > this.lapse(now) - UNHEARD_MS;
        const holdings = this.workers.get(worker)?.holdings ?? [];
        return [...holdings].filter(([instance]) => !heard(instance)).reduce((sum, [, each]) => sum + each.limit, 0);
    }

    /**
     * Answers an instance.
     * @param ask What it wants and holds.
     * @param now Time in ms.
     * @returns All that it may use from now on.
     */
    reply(ask: GrantAsk, now: number): GrantReply {
        const asker = this.askers.get(ask.instance) ?? this.createAsker(ask);
        asker.demands = new Map(ask.demands.map(each => [each.service, each.slots]));
        asker.until = this.lapse(now);
        this.askers.set(ask.instance, asker);
        if (ask.epoch === this.epoch && ask.serial === asker.serial) {
            this.confirm(ask);
        }
        asker.serial += 1;
        return {
            kind: "grant-reply",
            shard: this.shard,
            epoch: this.epoch,
            serial: asker.serial,
            grants: this.grant(ask.instance, now),
        };
    }

    /**
     * @param service Name of a service.
     * @returns Slots wanted for it by all instances that have asked lately.
     */
    demand(service: string): number {
        return [...this.askers.values()].reduce((sum, each) => sum + (each.demands.get(service) ?? 0), 0);
    }

    /** An instance that comes back goes on counting above what it has seen, or it would drop the answers as old. */
    private createAsker(ask: GrantAsk): Asker {
        const seen = ask.epoch === this.epoch && ask.serial > 0 ? ask.serial + 1 : 0;
        return { serial: seen, demands: new Map(), until: 0 };
    }

    private worker(name: string): WorkerSlots {
        const known = this.workers.get(name) ?? { share: 0, holdings: new Map<string, Holding>() };
        this.workers.set(name, known);
        return known;
    }

    private lapse(now: number): number {
        return now + withDrift(GRANT_LEASE_MS) + this.requestTailMs;
    }

    private dropLapsed(now: number): void {
        for (const [instance, asker] of this.askers) {
            if (asker.until <= now) {
                this.askers.delete(instance);
            }
        }
        for (const { holdings } of this.workers.values()) {
            for (const holding of holdings.values()) {
                holding.granted = holding.until <= now ? 0 : holding.granted;
            }
        }
    }

    /** The holder has seen the latest reply, so what it says it holds is all that it uses. */
    private confirm(ask: GrantAsk): void {
        const held = new Map(ask.held.map(grant => [grant.worker, grant.slots]));
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(ask.instance);
            if (holding !== undefined) {
                holding.granted = Math.min(holding.granted, held.get(name) ?? 0);
            }
        }
    }

    /** Gives each slot to the instance that is furthest below its part of the demand. */
    private retarget(now: number): void {
        const parts = this.parts();
        const given = new Map<string, number>();
        for (const worker of this.workers.values()) {
            worker.holdings.forEach(holding => (holding.target = 0));
            const slots = worker.share - this.unheardSlots(worker);
            for (let slot = 0; slot < slots; slot++) {
                const instance = furthestBelow(parts, given, worker);
                if (instance === undefined) {
                    break;
                }
                const fresh = { granted: 0, target: 0, limit: 0, until: this.lapse(now) };
                const holding = worker.holdings.get(instance) ?? fresh;
                holding.target += 1;
                worker.holdings.set(instance, holding);
                given.set(instance, (given.get(instance) ?? 0) + 1);
            }
        }
    }

    /** Slots of instances that do not ask are not to be given out before their limits are lowered. */
    private unheardSlots(worker: WorkerSlots): number {
        const unheard = [...worker.holdings].filter(([instance]) => !this.askers.has(instance));
        return unheard.reduce((sum, [, holding]) => sum + holding.granted, 0);
    }

    /** Part of all slots that each instance should have, by demand. */
    private parts(): Map<string, number> {
        const demands = [...this.askers].map(([instance, asker]): [string, number] => {
            const wanted = [...asker.demands.values()].reduce((sum, each) => sum + each, 0);
            return [instance, wanted + BASE_DEMAND];
        });
        const total = demands.reduce((sum, [, demand]) => sum + demand, 0);
        const slots = [...this.workers.values()].reduce((sum, worker) => sum + worker.share, 0);
        return new Map(demands.map(([instance, demand]) => [instance, (slots * demand) / total]));
    }

    private grant(instance: string, now: number): Grant[] {
        const grants: Grant[] = [];
        for (const [name, { holdings }] of this.workers) {
            const holding = holdings.get(instance);
            if (holding === undefined) {
                continue;
            }
            const slots = Math.min(holding.target, holding.limit);
            // A lowered grant counts in full until the holder confirms the lower one.
            holding.granted = Math.max(holding.granted, slots);
            holding.until = this.lapse(now);
            if (slots > 0) {
                grants.push({ worker: name, slots });
            }
        }
        return grants;
    }
}

function furthestBelow(
    parts: ReadonlyMap<string, number>,
    given: ReadonlyMap<string, number>,
    worker: WorkerSlots,
): string | undefined {
    let best: string | undefined;
    let largest = Number.NEGATIVE_INFINITY;
    for (const [instance, part] of parts) {
        const holding = worker.holdings.get(instance);
        // What an instance already has stays with it unless another is a whole slot worse off.
        const stickiness = holding !== undefined && holding.limit > holding.target ? 1 : 0;
        const deficit = part - (given.get(instance) ?? 0) + stickiness;
        if (deficit > largest) {
            largest = deficit;
            best = instance;
        }
    }
    return best;
}

/** Lowers limits to what is neither used nor to be given. */
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

/** Raises limits towards the targets as far as the share allows; they bind once they are in the log. */
function raiseLimits(name: string, { share, holdings }: WorkerSlots): GrantLimit[] {
    let free = share - [...holdings.values()].reduce((sum, each) => sum + each.limit, 0);
    const changes: GrantLimit[] = [];
    for (const [instance, holding] of holdings) {
        const raise = Math.min(free, holding.target - holding.limit);
        if (raise > 0) {
            free -= raise;
            changes.push({ worker: name, instance, slots: holding.limit + raise });
        }
    }
    return changes;
}
