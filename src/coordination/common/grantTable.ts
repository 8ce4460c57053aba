import { withDrift } from "./duration";
import { Grant, GRANT_LEASE_MS, GrantAsk, GrantReply } from "./grant";
import { Epoch } from "../../platform/common/worker";

/** What one instance has of one worker's slots. */
interface Holding {
    /** Slots that the instance may be using. */
    granted: number;
    /** Slots that it is to have. */
    target: number;
    /** Time (ms, the owner's clock) until which the instance may be using them. */
    until: number;
}

/** Slots of one worker that services may use. */
interface WorkerSlots {
    share: number;
    /** Share at the change of owners: all that earlier owners can have granted; unknown before it is set. */
    inheritedShare: number | undefined;
    readonly holdings: Map<string, Holding>;
    /** Slots that instances have accounted for of what earlier owners granted. */
    accounted: number;
}

interface Asker {
    serial: number;
    demands: ReadonlyMap<string, number>;
    until: number;
}

/** Demand that every instance is taken to have, so that each can serve its first caller at once. */
const BASE_DEMAND = 1;

/**
 * Splits the service slots of a shard's workers among the instances. Slots move from one instance to another
 * only after the first has confirmed that it uses fewer, or its grant has lapsed; so all grants together
 * never exceed a worker's share.
 */
export class GrantTable {
    private readonly workers = new Map<string, WorkerSlots>();
    private readonly askers = new Map<string, Asker>();
    private unaccountedUntil = Number.NEGATIVE_INFINITY;

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
        const known = this.worker(worker);
        known.share = slots;
        known.inheritedShare ??= slots;
    }

    /**
     * Takes over what an instance holds from an earlier owner.
     * @param now Time in ms.
     */
    adopt(instance: string, held: readonly Grant[], now: number): void {
        for (const grant of held) {
            const worker = this.worker(grant.worker);
            const { slots } = grant;
            worker.holdings.set(instance, { granted: slots, target: slots, until: this.lapse(now) });
            worker.accounted += slots;
        }
    }

    /**
     * Keeps back all that no instance has accounted for.
     * @param until Time (ms) by which grants of earlier owners have lapsed.
     */
    holdBackUnaccounted(until: number): void {
        this.unaccountedUntil = until;
    }

    /** Ends the keeping back, since every instance has answered. */
    accountForAll(): void {
        this.unaccountedUntil = Number.NEGATIVE_INFINITY;
    }

    /**
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots that instances may be using.
     */
    inUse(worker: string, now: number): number {
        const slots = this.workers.get(worker);
        if (slots === undefined) {
            return 0;
        }
        const granted = [...slots.holdings.values()].filter(each => each.until > now);
        const unaccounted = Math.max(0, (slots.inheritedShare ?? 0) - slots.accounted);
        const kept = now < this.unaccountedUntil ? unaccounted : 0;
        return granted.reduce((sum, each) => sum + each.granted, 0) + kept;
    }

    /**
     * Answers an instance.
     * @param ask What it wants and holds.
     * @param now Time in ms.
     * @returns All that it may use from now on.
     */
    reply(ask: GrantAsk, now: number): GrantReply {
        const asker = this.askers.get(ask.instance) ?? { serial: 0, demands: new Map(), until: 0 };
        asker.demands = new Map(ask.demands.map(each => [each.service, each.slots]));
        asker.until = this.lapse(now);
        this.askers.set(ask.instance, asker);
        this.dropLapsed(now);
        if (ask.epoch === this.epoch && ask.serial === asker.serial) {
            this.confirm(ask);
        }
        this.retarget(now);
        asker.serial += 1;
        return {
            kind: "grant-reply",
            shard: this.shard,
            epoch: this.epoch,
            serial: asker.serial,
            grants: this.raise(ask.instance, now),
        };
    }

    /**
     * @param service Name of a service.
     * @returns Slots wanted for it by all instances that have asked lately.
     */
    demand(service: string): number {
        return [...this.askers.values()].reduce((sum, each) => sum + (each.demands.get(service) ?? 0), 0);
    }

    private worker(name: string): WorkerSlots {
        const known = this.workers.get(name) ?? {
            share: 0,
            inheritedShare: undefined,
            holdings: new Map<string, Holding>(),
            accounted: 0,
        };
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
        for (const worker of this.workers.values()) {
            for (const [instance, holding] of worker.holdings) {
                if (holding.until <= now) {
                    worker.holdings.delete(instance);
                }
            }
        }
    }

    /** The holder has seen the latest reply, so what it says it holds is all that it uses. */
    private confirm(ask: GrantAsk): void {
        const held = new Map(ask.held.map(grant => [grant.worker, grant.slots]));
        for (const [name, worker] of this.workers) {
            const holding = worker.holdings.get(ask.instance);
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
            for (const holding of worker.holdings.values()) {
                holding.target = 0;
            }
            for (let slot = 0; slot < worker.share; slot++) {
                const instance = this.furthestBelow(parts, given, worker);
                if (instance === undefined) {
                    break;
                }
                const holding = worker.holdings.get(instance) ?? { granted: 0, target: 0, until: this.lapse(now) };
                holding.target += 1;
                worker.holdings.set(instance, holding);
                given.set(instance, (given.get(instance) ?? 0) + 1);
            }
        }
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

    private furthestBelow(
        parts: ReadonlyMap<string, number>,
        given: ReadonlyMap<string, number>,
        worker: WorkerSlots,
    ): string | undefined {
        let best: string | undefined;
        let largest = Number.NEGATIVE_INFINITY;
        for (const [instance, part] of parts) {
            const holding = worker.holdings.get(instance);
            // What an instance already has stays with it unless another is a whole slot worse off.
            const stickiness = holding !== undefined && holding.granted > holding.target ? 1 : 0;
            const deficit = part - (given.get(instance) ?? 0) + stickiness;
            if (deficit > largest) {
                largest = deficit;
                best = instance;
            }
        }
        return best;
    }

    private raise(instance: string, now: number): Grant[] {
        const grants: Grant[] = [];
        for (const [name, worker] of this.workers) {
            const holding = worker.holdings.get(instance);
            if (holding === undefined) {
                continue;
            }
            const free = Math.max(0, worker.share - this.inUse(name, now));
            const raised = Math.min(holding.target, holding.granted + free);
            // A lowered grant counts in full until the holder confirms the lower one.
            holding.granted = Math.max(holding.granted, raised);
            holding.until = this.lapse(now);
            if (raised > 0) {
                grants.push({ worker: name, slots: raised });
            }
        }
        return grants;
    }
}
