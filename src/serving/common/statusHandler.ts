import { Invariants } from "../../base/common/invariant";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { ShardStatus, StreamStatus } from "./deskTraffic";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";

/** Answers how the instance is. */
export class StatusHandler extends Feature {
    private constructor(private readonly services: InstanceServices) {
        super();
    }

    /** @param services What all features share. @returns The handler. */
    static create(services: InstanceServices): StatusHandler {
        return new StatusHandler(services);
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind !== "status-show") {
            return;
        }
        const { services } = this;
        services.outbox.emit({
            kind: "desk-reply",
            id: event.id,
            reply: {
                kind: "status",
                instance: services.identity.instance,
                phase: services.isStopping ? "draining" : "serving",
                streams: this.streams(now),
                shards: [...services.ownership.all].map(shard => this.shard(shard)),
                openRequests: services.openRequests,
                violations: Object.fromEntries(Invariants.instance.violated()),
            },
        });
    }

    override tick(): void {
        // Nothing happens with time alone.
    }

    private streams(now: number): StreamStatus[] {
        const { tickets, ownershipSession, shards } = this.services;
        const sessions = [tickets, ownershipSession, ...[...shards.values()].map(keeper => keeper.session)];
        return sessions.map(({ stream, state, next, coveredUntil }) => {
            const staleMs = Number.isFinite(coveredUntil) ? Math.max(0, Math.round(now - coveredUntil)) : -1;
            return { stream, state, next, staleMs };
        });
    }

    private shard(shard: ShardOwnership): ShardStatus {
        const { ownershipFold, shards, directory } = this.services;
        const tenure = ownershipFold.tenure(shard.name);
        const tasks = [...(shards.get(shard.name)?.fold.openTasks ?? [])];
        return {
            shard: shard.name,
            region: shard.region,
            owner: tenure.phase === "held" ? tenure.owner : "",
            epoch: tenure.epoch,
            state: shard.state,
            workers: directory.workersOf(shard.name).length,
            queued: tasks.filter(task => task.state === "queued").length,
            running: tasks.filter(task => task.assignment !== undefined).length,
        };
    }
}

FeatureRegistry.instance.register(services => StatusHandler.create(services));
