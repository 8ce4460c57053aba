import { GRANT_INTERVAL_MS, GrantAsk, ServiceLatency } from "../../coordination/common/grant";
import { GrantHoldings } from "../../coordination/common/grantHoldings";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";
import { PeerAsk, PeerReply } from "./peerMessages";

/** Maximum number of upstream latencies reported with one grant request. */
const MAX_REPORTED_LATENCIES = 6;

/** Time between two grant requests to an owner that has granted nothing, in ms. */
const EMPTY_GRANT_INTERVAL_MS = 500;

/** Ratio of the demand to that at the last early request, above which grants are requested early again. */
const DEMAND_RISE_RATIO = 1.5;

/** Minimum time between two early grant requests, in ms. */
const MIN_EARLY_REQUEST_INTERVAL_MS = 1_000;

/** Requests slots from the shard owners, and holds those granted to this instance. */
export class GrantHandler extends Feature {
    private readonly holdings: GrantHoldings;
    private sampleOffset = 0;
    private demandAtEarlyRequest = 0;
    private nextEarlyRequestAt = 0;
    private readonly nextRequestAt = new Map<string, number>();

    private constructor(private readonly services: InstanceServices) {
        super();
        this.holdings = GrantHoldings.create((worker, now) => services.requestUsage?.usedSlots(worker, now) ?? 0);
        services.holdings = this.holdings;
        services.localResponders.push((_from, ask, now) => this.respond(ask, now));
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): GrantHandler {
        return new GrantHandler(services);
    }

    override handle(_event: InstanceEvent, _now: number): void {
        // Peers' requests arrive through the local responder registered in the constructor.
    }

    override tick(now: number): void {
        if (this.services.isStopping && this.services.ownership.isGone) {
            return;
        }
        for (const { name } of this.services.plan) {
            if (now >= (this.nextRequestAt.get(name) ?? 0)) {
                this.requestGrants(name, now);
            }
        }
        this.requestEarlyIfDemandRose(now);
    }

    /** Makes all grant requests due at once when the demand has risen fast. */
    private requestEarlyIfDemandRose(now: number): void {
        const demand = [...(this.services.requestUsage?.demand().values() ?? [])].reduce((sum, each) => sum + each, 0);
        const hasRisen = demand > this.demandAtEarlyRequest * DEMAND_RISE_RATIO + 1;
        if (!hasRisen || now < this.nextEarlyRequestAt) {
            return;
        }
        this.demandAtEarlyRequest = demand;
        this.nextEarlyRequestAt = now + MIN_EARLY_REQUEST_INTERVAL_MS;
        this.services.plan.forEach(({ name }) => this.nextRequestAt.set(name, now));
    }

    private requestGrants(shard: string, now: number): void {
        const owner = this.services.ownership.ownerOf(shard);
        if (owner === undefined || !this.services.ownershipFold.instances.has(this.services.identity.instance)) {
            return;
        }
        this.nextRequestAt.set(shard, now + GRANT_INTERVAL_MS);
        this.services.callPeer(owner.instance, owner.address, this.createRequest(shard, now), now, reply => {
            if (reply?.kind === "grant-reply") {
                this.holdings.applyReply(reply, now);
                const isEmpty = reply.grants.length === 0;
                this.nextRequestAt.set(shard, now + (isEmpty ? EMPTY_GRANT_INTERVAL_MS : GRANT_INTERVAL_MS));
            }
        });
    }

    private createRequest(shard: string, now: number): GrantAsk {
        const { directory, identity } = this.services;
        const workers = directory.workersOf(shard);
        const services = new Set(workers.flatMap(worker => worker.services));
        const demand = this.services.requestUsage?.demand();
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
            ...this.holdings.latestReply(shard),
            demands,
            held: this.holdings.held(shard, now),
            latencies: this.sample(
                (this.services.requestUsage?.latencies(services) ?? []).filter(each => names.has(each.worker)),
            ),
        };
    }

    /**
     * Selects the next latencies in turn. From slow upstreams alone, the owner would conclude that every task causes
     * interference.
     */
    private sample(latencies: readonly ServiceLatency[]): ServiceLatency[] {
        this.sampleOffset += MAX_REPORTED_LATENCIES;
        const start = latencies.length === 0 ? 0 : this.sampleOffset % latencies.length;
        return [...latencies.slice(start), ...latencies.slice(0, start)].slice(0, MAX_REPORTED_LATENCIES);
    }

    private respond(ask: PeerAsk, now: number): PeerReply | undefined {
        const isAddressed = ask.kind === "fence-ask" && ask.instance === this.services.identity.instance;
        return isAddressed ? this.holdings.fence(ask, now) : undefined;
    }
}

FeatureRegistry.instance.register(services => GrantHandler.create(services));
