import { GRANT_INTERVAL_MS, GrantAsk, ServiceLatency } from "../../coordination/common/grant";
import { GrantHoldings } from "../../coordination/common/grantHoldings";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";
import { PeerAsk, PeerReply } from "./peerTraffic";

/** Latencies of upstreams that go with one request for grants. */
const MAX_LATENCIES = 6;

/** Time between two requests for grants while an owner has given none, in ms. */
const EMPTY_INTERVAL_MS = 500;

/** Rise of the demand that is told at once, and the shortest time between two of them in ms. */
const RISE_FACTOR = 1.5;
const RISE_INTERVAL_MS = 1_000;

/** Holds this instance's slots, and asks the owners of the shards for them. */
export class GrantHandler extends Feature {
    private readonly holdings: GrantHoldings;
    private sampled = 0;
    private toldDemand = 0;
    private nextRiseAt = 0;
    private readonly nextAskAt = new Map<string, number>();

    private constructor(private readonly services: InstanceServices) {
        super();
        this.holdings = GrantHoldings.create((worker, now) => services.requests?.usedSlots(worker, now) ?? 0);
        services.holdings = this.holdings;
        services.localAnswers.push((_from, ask, now) => this.answer(ask, now));
    }

    /** @param services What all features share. @returns The handler. */
    static create(services: InstanceServices): GrantHandler {
        return new GrantHandler(services);
    }

    override handle(_event: InstanceEvent, _now: number): void {
        // Questions reach the desk through the services.
    }

    override tick(now: number): void {
        if (this.services.isStopping && this.services.ownership.isGone) {
            return;
        }
        for (const { name } of this.services.plan) {
            if (now >= (this.nextAskAt.get(name) ?? 0)) {
                this.ask(name, now);
            }
        }
        this.noteRise(now);
    }

    /** A demand that rises fast is told sooner. */
    private noteRise(now: number): void {
        const demand = [...(this.services.requests?.demand().values() ?? [])].reduce((sum, each) => sum + each, 0);
        const rises = demand > this.toldDemand * RISE_FACTOR + 1;
        if (!rises || now < this.nextRiseAt) {
            return;
        }
        this.toldDemand = demand;
        this.nextRiseAt = now + RISE_INTERVAL_MS;
        this.services.plan.forEach(({ name }) => this.nextAskAt.set(name, now));
    }

    private ask(shard: string, now: number): void {
        const owner = this.services.ownership.ownerOf(shard);
        if (owner === undefined || !this.services.ownershipFold.instances.has(this.services.identity.instance)) {
            return;
        }
        this.nextAskAt.set(shard, now + GRANT_INTERVAL_MS);
        this.services.ask(owner.instance, owner.address, this.grantAsk(shard, now), now, reply => {
            if (reply?.kind === "grant-reply") {
                this.holdings.take(reply, now);
                const hasNothing = reply.grants.length === 0;
                this.nextAskAt.set(shard, now + (hasNothing ? EMPTY_INTERVAL_MS : GRANT_INTERVAL_MS));
            }
        });
    }

    private grantAsk(shard: string, now: number): GrantAsk {
        const { directory, identity } = this.services;
        const workers = directory.workersOf(shard);
        const services = new Set(workers.flatMap(worker => worker.services));
        const demand = this.services.requests?.demand();
        const demands = [...services].map(service => {
            const hosts = Math.max(1, directory.hosts(service).length);
            const local = workers.filter(worker => worker.services.includes(service)).length;
            return { service, slots: ((demand?.get(service) ?? 0) * local) / hosts };
        });
        const names = new Set(workers.map(worker => worker.id));
        return {
            kind: "grant-ask",
            shard,
            instance: identity.instance,
            ...this.holdings.position(shard),
            demands,
            held: this.holdings.held(shard, now),
            latencies: this.sample(
                (this.services.requests?.latencies(services) ?? []).filter(each => names.has(each.worker)),
            ),
        };
    }

    /** Some of the latencies, others each time: from slow ones alone the owner would learn that all tasks hurt. */
    private sample(latencies: readonly ServiceLatency[]): ServiceLatency[] {
        this.sampled += MAX_LATENCIES;
        const start = latencies.length === 0 ? 0 : this.sampled % latencies.length;
        return [...latencies.slice(start), ...latencies.slice(0, start)].slice(0, MAX_LATENCIES);
    }

    private answer(ask: PeerAsk, now: number): PeerReply | undefined {
        const isMeant = ask.kind === "fence-ask" && ask.instance === this.services.identity.instance;
        return isMeant ? this.holdings.fence(ask, now) : undefined;
    }
}

FeatureRegistry.instance.register(services => GrantHandler.create(services));
