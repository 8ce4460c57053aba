import { Appender } from "../../coordination/common/appender";
import { streamOf } from "../../scheduling/common/shardKeeper";
import { ShardEntry, TaskRequest } from "../../scheduling/common/taskEntry";
import { DeskReply } from "./deskTraffic";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";
import { PeerReply, TaskReply } from "./peerTraffic";

/** Longest time that a caller waits for a submission to be durable, in ms. */
const SUBMISSION_PATIENCE_MS = 3_000;

/** When a refused caller should try again, in ms. */
const RETRY_AFTER_MS = 2_000;

interface PendingEntry {
    readonly id: number;
    readonly shard: string;
    readonly entry: ShardEntry;
    readonly until: number;
}

/** Takes callers' batch tasks: makes them durable in the stream of their shard, and answers what became of them. */
export class TaskHandler extends Feature {
    private readonly appenders = new Map<string, Appender<ShardEntry>>();
    private readonly pending = new Map<number, PendingEntry>();

    private constructor(private readonly services: InstanceServices) {
        super();
    }

    /** @param services What all features share. @returns The handler. */
    static create(services: InstanceServices): TaskHandler {
        return new TaskHandler(services);
    }

    override get isIdle(): boolean {
        return this.pending.size === 0;
    }

    override handle(event: InstanceEvent, now: number): void {
        switch (event.kind) {
            case "task-submit":
                return this.submit(event.id, event.request, now);
            case "task-cancel":
                return this.cancel(event.id, event.key, now);
            case "task-show":
                return this.show(event.id, event.key, now);
            case "task-list":
                return this.list(event.id, now);
            case "log-appended":
            case "log-append-failed":
                this.appenders.get(event.stream)?.handle(event, now);
                return;
        }
    }

    override tick(now: number): void {
        for (const pending of [...this.pending.values()]) {
            if (now >= pending.until) {
                this.giveUp(pending);
            }
        }
        this.appenders.forEach(appender => appender.flush(now));
    }

    private submit(id: number, request: TaskRequest, now: number): void {
        const shard = this.services.directory.shardOfTask(request.key);
        const reply: DeskReply = { kind: "task-accepted", key: request.key, shard };
        this.append(id, shard, { kind: "task-submitted", ...request, submittedAt: Date.now() }, reply, now);
    }

    private cancel(id: number, key: string, now: number): void {
        const shard = this.services.directory.shardOfTask(key);
        this.append(id, shard, { kind: "task-cancelled", key }, { kind: "task-accepted", key, shard }, now);
    }

    private append(id: number, shard: string, entry: ShardEntry, reply: DeskReply, now: number): void {
        const appender = this.appender(shard);
        // What cannot be made durable now is refused at once rather than kept.
        if (appender.isFailing || this.services.isStopping) {
            this.refuse(id, this.services.isStopping ? "the instance is stopping" : "the log cannot be reached");
            return;
        }
        const pending = { id, shard, entry, until: now + SUBMISSION_PATIENCE_MS };
        const queued = appender.append(entry, () => {
            if (this.pending.delete(id)) {
                this.reply(id, reply);
            }
        });
        if (queued) {
            this.pending.set(id, pending);
        } else {
            this.refuse(id, "too many submissions are waiting");
        }
    }

    private giveUp(pending: PendingEntry): void {
        this.pending.delete(pending.id);
        if (this.appender(pending.shard).withdraw(pending.entry) === "withdrawn") {
            this.refuse(pending.id, "the log cannot be reached");
        } else {
            this.reply(pending.id, { kind: "unknown", message: "the log did not answer; ask again with the same key" });
        }
    }

    private show(id: number, key: string, now: number): void {
        const shard = this.services.directory.shardOfTask(key);
        const owner = this.services.ownership.ownerOf(shard);
        if (owner === undefined) {
            this.reply(id, { kind: "unknown", message: `shard ${shard} has no owner at the moment` });
            return;
        }
        this.services.ask(owner.instance, owner.address, { kind: "task-ask", shard, key }, now, reply => {
            if (reply?.kind !== "task-reply") {
                this.reply(id, { kind: "unknown", message: `the owner of shard ${shard} does not answer` });
            } else if (reply.state === "") {
                this.reply(id, { kind: "not-found", message: `no task has the key ${key}` });
            } else {
                this.reply(id, { kind: "task-status", outcome: outcomeOf(reply), task: reply });
            }
        });
    }

    private list(id: number, now: number): void {
        const { ownership, plan } = this.services;
        const tasks: TaskReply[] = [];
        const unanswered: string[] = [];
        let waiting = plan.length;
        const take = (shard: string, reply: PeerReply | undefined) => {
            if (reply?.kind === "task-list-reply") {
                tasks.push(...reply.tasks);
            } else {
                unanswered.push(shard);
            }
            waiting -= 1;
            if (waiting === 0) {
                this.reply(id, { kind: "task-listing", tasks, unanswered });
            }
        };
        for (const { name } of plan) {
            const owner = ownership.ownerOf(name);
            if (owner === undefined) {
                take(name, undefined);
            } else {
                this.services.ask(owner.instance, owner.address, { kind: "task-list-ask", shard: name }, now, reply =>
                    take(name, reply),
                );
            }
        }
    }

    private refuse(id: number, message: string): void {
        this.reply(id, { kind: "not-run", message, retryAfterMs: RETRY_AFTER_MS });
    }

    private reply(id: number, reply: DeskReply): void {
        this.services.outbox.emit({ kind: "desk-reply", id, reply });
    }

    private appender(shard: string): Appender<ShardEntry> {
        const stream = streamOf(shard);
        const known = this.appenders.get(stream);
        if (known !== undefined) {
            return known;
        }
        const appender = Appender.create<ShardEntry>(
            stream,
            `${this.services.identity.instance}/entry`,
            this.services.outbox,
        );
        this.appenders.set(stream, appender);
        return appender;
    }
}

/** What a caller is told: `not-run` only of a task that never will have run. */
export function outcomeOf(task: TaskReply): "done" | "not-run" | "unknown" {
    if (task.state === "done") {
        return "done";
    }
    const neverRan = task.attempts === 0 && (task.state === "refused" || task.state === "cancelled");
    return neverRan ? "not-run" : "unknown";
}

FeatureRegistry.instance.register(services => TaskHandler.create(services));
