import { OwnershipChange } from "../../coordination/common/ownershipKeeper";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { LogEvent } from "../../services/common/logTraffic";
import { FamilyDurations } from "../../scheduling/common/familyDurations";
import { FamilyFailures } from "../../scheduling/common/familyFailures";
import { InterferenceModel } from "../../scheduling/common/interferenceModel";
import { LearnedPlacement } from "../../scheduling/common/learnedPlacement";
import { LearnedUsage } from "../../scheduling/common/learnedUsage";
import { SchedulingModels } from "../../scheduling/common/shardContext";
import { ShardKeeper } from "../../scheduling/common/shardKeeper";
import { Task } from "../../scheduling/common/task";
import { ShardEntry } from "../../scheduling/common/taskEntry";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceEvent } from "./instanceTraffic";
import { InstanceServices } from "./instanceServices";
import { PeerAsk, PeerReply, TaskReply } from "./peerTraffic";

/** Tasks of one shard that a listing has at most. */
const MAX_LISTED_TASKS = 200;

/** Keeps the shards that this instance owns. */
export class ShardDesk extends Feature {
    private readonly keepers = new Map<string, ShardKeeper>();
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
        services.ownership.onDidChange(change => this.onOwnership(change));
        services.listed.event(() => this.keepers.forEach((keeper, shard) => this.relist(shard, keeper)));
        services.localAnswers.push((from, ask, now) => this.answer(from, ask, now));
        services.shards = this.keepers;
        services.ownership.onDidEnd(({ instance, now }) =>
            this.keepers.forEach(keeper => keeper.handleGone(instance, now)),
        );
    }

    /** @param services What all features share. @returns The desk. */
    static create(services: InstanceServices): ShardDesk {
        return new ShardDesk(services);
    }

    /** Replaces models, for shards that are taken over from now on. */
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
                this.keepers.forEach(keeper => keeper.handleWorker(event, now));
        }
    }

    override tick(now: number, wallNow: number): void {
        this.keepers.forEach(keeper => keeper.tick(now, wallNow));
    }

    private handleLog(event: LogEvent<ShardEntry>, now: number): void {
        for (const keeper of this.keepers.values()) {
            if (keeper.session.stream === event.stream) {
                keeper.handleLog(event, now);
            }
        }
    }

    private onOwnership({ shard, from, now }: OwnershipChange): void {
        this.services.audit("shard", shard.name, shard.state, `was ${from}, epoch ${shard.epoch}`);
        switch (shard.state) {
            case "fencing":
                return this.open(shard, now);
            case "adopting":
                return this.keepers.get(shard.name)?.adopt(now);
            case "watching":
                this.keepers.get(shard.name)?.close(now);
                this.keepers.delete(shard.name);
                this.services.snapshotOffsets.delete(shard.name);
        }
    }

    private open(shard: ShardOwnership, now: number): void {
        const { services } = this;
        const keeper = ShardKeeper.create(
            {
                ownership: shard,
                instance: services.identity.instance,
                writer: `${services.identity.instance}@${shard.epoch}`,
                from: services.ownershipFold.tenure(shard.name).snapshotNext,
                shardCount: services.plan.length,
                models: this.models,
                config: services.config,
                outbox: services.outbox,
                onTask: (task, event) => services.tasks.fire({ shard: shard.name, task, event }),
                instances: () => services.ownershipFold.instances.keys(),
                isListFresh: at => services.directory.isFresh(at),
                sendFence: instance => this.sendFence(shard.name, instance),
            },
            now,
        );
        this.keepers.set(shard.name, keeper);
        services.snapshotOffsets.set(shard.name, () => keeper.snapshotNext);
        this.relist(shard.name, keeper);
    }

    private relist(shard: string, keeper: ShardKeeper): void {
        keeper.relist(this.services.directory.workersOf(shard));
    }

    private sendFence(shard: string, instance: string): void {
        const { services } = this;
        const address = services.ownershipFold.instances.get(instance)?.address ?? "";
        const { epoch } = services.ownership.get(shard);
        services.ask(
            instance,
            address,
            { kind: "fence-ask", shard, epoch, instance },
            performance.now(),
            (reply, now) => {
                if (reply?.kind === "fence-reply") {
                    this.keepers.get(shard)?.handleFence(instance, reply, now);
                }
            },
        );
    }

    private answer(_from: string, ask: PeerAsk, now: number): PeerReply | undefined {
        if (ask.kind === "grant-ask") {
            return this.keepers.get(ask.shard)?.handleAsk(ask, now);
        }
        if (ask.kind === "state-ask") {
            const keeper = [...this.keepers.values()].find(each => each.session.stream === ask.stream);
            const image = keeper?.session.image();
            return image === undefined ? undefined : { kind: "state-reply", stream: ask.stream, ...image };
        }
        if (ask.kind === "task-ask") {
            const keeper = this.acting(ask.shard);
            return keeper === undefined ? undefined : describe(keeper, ask.key, keeper.fold.find(ask.key));
        }
        if (ask.kind === "task-list-ask") {
            const keeper = this.acting(ask.shard);
            const tasks = keeper?.fold.latest(MAX_LISTED_TASKS);
            return tasks === undefined
                ? undefined
                : { kind: "task-list-reply", tasks: tasks.map(task => describe(keeper!, task.request.key, task)) };
        }
        return undefined;
    }

    /** The keeper of a shard whose tasks this instance can vouch for. */
    private acting(shard: string): ShardKeeper | undefined {
        return this.services.ownership.get(shard)?.isActing ? this.keepers.get(shard) : undefined;
    }
}

function describe(keeper: ShardKeeper, key: string, task: Task | undefined): TaskReply {
    return {
        kind: "task-reply",
        key,
        state: task?.state ?? "",
        result: task?.result ?? "",
        attempts: task?.attempts ?? 0,
        evictions: task?.evictions ?? 0,
        worker: task?.assignment?.worker ?? "",
        waitReason: task === undefined ? "" : (keeper.waitReasons.get(task.number) ?? ""),
    };
}

FeatureRegistry.instance.register(services => ShardDesk.create(services));
