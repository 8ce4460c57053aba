import { OwnershipChange } from "../../coordination/common/ownershipManager";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { LogEvent } from "../../services/common/logEvents";
import { FamilyDurations } from "../../scheduling/common/familyDurations";
import { FamilyFailures } from "../../scheduling/common/familyFailures";
import { InterferenceModel } from "../../scheduling/common/interferenceModel";
import { LearnedPlacement } from "../../scheduling/common/learnedPlacement";
import { LearnedUsage } from "../../scheduling/common/learnedUsage";
import { SchedulingModels } from "../../scheduling/common/shardContext";
import { ShardScheduler } from "../../scheduling/common/shardScheduler";
import { Task } from "../../scheduling/common/task";
import { ShardEntry } from "../../scheduling/common/taskEntry";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceEvent } from "./instanceEvents";
import { InstanceServices } from "./instanceServices";
import { PeerAsk, PeerReply, TaskReply } from "./peerMessages";

/** Maximum number of tasks of one shard in a listing. */
const MAX_LISTED_TASKS = 200;

/** Runs the schedulers of the shards that this instance owns. */
export class ShardHandler extends Feature {
    private readonly schedulers = new Map<string, ShardScheduler>();
    private models: SchedulingModels;

    private constructor(private readonly services: InstanceServices) {
        super();
        const interference = InterferenceModel.create();
        this.models = {
            usage: LearnedUsage.create(() => {
                const { tailLatency, throughput } = services.config.weights();
                return throughput >= tailLatency;
            }),
            interference,
            failures: FamilyFailures.create(),
            durations: FamilyDurations.create(),
            policy: LearnedPlacement.create(interference, () => services.config.weights()),
        };
        services.ownership.onDidChange(change => this.onOwnershipChange(change));
        services.directoryUpdated.event(() =>
            this.schedulers.forEach((scheduler, shard) => this.updateWorkers(shard, scheduler)),
        );
        services.localResponders.push((from, ask, now) => this.respond(from, ask, now));
        services.shardSchedulers = this.schedulers;
        services.ownership.onDidEnd(({ instance, now }) =>
            this.schedulers.forEach(scheduler => scheduler.handleInstanceGone(instance, now)),
        );
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): ShardHandler {
        return new ShardHandler(services);
    }

    /** Replaces models; applies to shards that are taken over afterwards. */
    useModels(models: Partial<SchedulingModels>): void {
        this.models = { ...this.models, ...models };
    }

    override handle(event: InstanceEvent, now: number): void {
        switch (event.kind) {
            case "log-appended":
            case "log-append-failed":
            case "log-read":
            case "log-read-failed":
            case "log-truncated":
                return this.handleLog(event as LogEvent<ShardEntry>, now);
            case "worker-answered":
            case "worker-failed":
                this.schedulers.forEach(scheduler => scheduler.handleWorker(event, now));
        }
    }

    override tick(now: number, wallNow: number): void {
        this.schedulers.forEach(scheduler => scheduler.tick(now, wallNow));
    }

    private handleLog(event: LogEvent<ShardEntry>, now: number): void {
        for (const scheduler of this.schedulers.values()) {
            if (scheduler.session.stream === event.stream) {
                scheduler.handleLog(event, now);
            }
        }
    }

    private onOwnershipChange({ shard, from, now }: OwnershipChange): void {
        this.services.audit("shard", shard.name, shard.state, `was ${from}, epoch ${shard.epoch}`);
        switch (shard.state) {
            case "fencing":
                return this.openShard(shard, now);
            case "adopting":
                return this.schedulers.get(shard.name)?.adopt(now);
            case "watching":
                this.schedulers.get(shard.name)?.close(now);
                this.schedulers.delete(shard.name);
                this.services.snapshotOffsets.delete(shard.name);
        }
    }

    private openShard(shard: ShardOwnership, now: number): void {
        const { services } = this;
        const scheduler = ShardScheduler.create(
            {
                ownership: shard,
                instance: services.identity.instance,
                writer: `${services.identity.instance}@${shard.epoch}`,
                from: services.ownershipFold.ownership(shard.name).snapshotNext,
                shardCount: services.plan.length,
                models: this.models,
                config: services.config,
                outbox: services.outbox,
                onTask: (task, event) => services.taskChanged.fire({ shard: shard.name, task, event }),
                instances: () => services.ownershipFold.instances.keys(),
                isDiscoveryFresh: at => services.directory.isFresh(at),
                sendFence: instance => this.sendFence(shard.name, instance),
            },
            now,
        );
        this.schedulers.set(shard.name, scheduler);
        services.snapshotOffsets.set(shard.name, () => scheduler.snapshotNext);
        this.updateWorkers(shard.name, scheduler);
    }

    private updateWorkers(shard: string, scheduler: ShardScheduler): void {
        scheduler.updateWorkers(this.services.directory.workersOf(shard));
    }

    private sendFence(shard: string, instance: string): void {
        const { services } = this;
        const address = services.ownershipFold.instances.get(instance)?.address ?? "";
        const { epoch } = services.ownership.get(shard);
        services.callPeer(
            instance,
            address,
            { kind: "fence-ask", shard, epoch, instance },
            performance.now(),
            (reply, now) => {
                if (reply?.kind === "fence-reply") {
                    this.schedulers.get(shard)?.handleFenceReply(instance, reply, now);
                }
            },
        );
    }

    private respond(_from: string, ask: PeerAsk, now: number): PeerReply | undefined {
        if (ask.kind === "grant-ask") {
            return this.schedulers.get(ask.shard)?.handleGrantAsk(ask, now);
        }
        if (ask.kind === "state-ask") {
            const scheduler = [...this.schedulers.values()].find(each => each.session.stream === ask.stream);
            const image = scheduler?.session.image();
            return image === undefined ? undefined : { kind: "state-reply", stream: ask.stream, ...image };
        }
        if (ask.kind === "task-ask") {
            const scheduler = this.actingScheduler(ask.shard);
            return scheduler === undefined ? undefined : toTaskReply(scheduler, ask.key, scheduler.fold.find(ask.key));
        }
        if (ask.kind === "task-list-ask") {
            const scheduler = this.actingScheduler(ask.shard);
            const tasks = scheduler?.fold.latest(MAX_LISTED_TASKS);
            return tasks === undefined
                ? undefined
                : {
                      kind: "task-list-reply",
                      tasks: tasks.map(task => toTaskReply(scheduler!, task.request.key, task)),
                  };
        }
        return undefined;
    }

    /** Returns the shard's scheduler if this instance is its acting owner, so that its tasks are authoritative. */
    private actingScheduler(shard: string): ShardScheduler | undefined {
        return this.services.ownership.get(shard)?.isActing ? this.schedulers.get(shard) : undefined;
    }
}

function toTaskReply(scheduler: ShardScheduler, key: string, task: Task | undefined): TaskReply {
    return {
        kind: "task-reply",
        key,
        state: task?.state ?? "",
        result: task?.result ?? "",
        attempts: task?.attempts ?? 0,
        evictions: task?.evictions ?? 0,
        worker: task?.assignment?.worker ?? "",
        waitReason: task === undefined ? "" : (scheduler.waitReasons.get(task.number) ?? ""),
    };
}

FeatureRegistry.instance.register(services => ShardHandler.create(services));
