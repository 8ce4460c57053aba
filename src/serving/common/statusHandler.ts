import { Invariants } from "../../base/common/invariants";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { ShardStatus, StreamStatus } from "./apiMessages";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";

/** Reports the status of the instance. */
export class StatusHandler extends Feature {
    private constructor(private readonly services: InstanceServices) {
        super();
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): StatusHandler {
        return new StatusHandler(services);
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind !== "status-show") {
            return;
        }
        const { services } = this;
        services.outbox.emit({
            kind: "api-reply",
            id: event.id,
            reply: {
                kind: "status",
                instance: services.identity.instance,
                phase: services.isStopping ? "draining" : "serving",
                streams: this.streamStatuses(now),
                shards: [...services.ownership.all].map(shard => this.shardStatus(shard)),
                openRequests: services.openRequests,
                violations: Object.fromEntries(Invariants.instance.violationCounts()),
            },
        });
    }

    override tick(): void {
        // No periodic work.
    }

    private streamStatuses(now: number): StreamStatus[] {
        const { tickets, ownershipSession, shardSchedulers } = this.services;
        const sessions = [tickets, ownershipSession, ...[...shardSchedulers.values()].map(each => each.session)];
        return sessions.map(({ stream, state, next, coveredUntil }) => {
            const staleMs = Number.isFinite(coveredUntil) ? Math.max(0, Math.round(now - coveredUntil)) : -1;
            return { stream, state, next, staleMs };
        });
    }

    private shardStatus(shard: ShardOwnership): ShardStatus {
        const { ownershipFold, shardSchedulers, directory } = this.services;
        const ownership = ownershipFold.ownership(shard.name);
        const openTasks = [...(shardSchedulers.get(shard.name)?.fold.openTasks ?? [])];
        return {
            shard: shard.name,
            region: shard.region,
            owner: ownership.phase === "held" ? ownership.owner : "",
            epoch: ownership.epoch,
            state: shard.state,
            workers: directory.workersOf(shard.name).length,
            queued: openTasks.filter(task => task.state === "queued").length,
            running: openTasks.filter(task => task.assignment !== undefined).length,
        };
    }
}

FeatureRegistry.instance.register(services => StatusHandler.create(services));
