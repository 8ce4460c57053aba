import { Appender } from "../../coordination/common/appender";
import { shardStreamName } from "../../scheduling/common/shardScheduler";
import { ShardEntry, TaskRequest } from "../../scheduling/common/taskEntry";
import { ApiReply } from "./apiMessages";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";
import { PeerReply, TaskReply } from "./peerMessages";

/** Time within which a submission must become durable, in ms. */
const SUBMISSION_TIMEOUT_MS = 3_000;

/** Delay after which a refused caller should retry, in ms. */
const RETRY_AFTER_MS = 2_000;

interface PendingEntry {
    readonly id: number;
    readonly shard: string;
    readonly entry: ShardEntry;
    readonly expiresAt: number;
}

/** Handles requests about batch tasks: appends submissions to the stream of their shard, and reports task states. */
export class TaskHandler extends Feature {
    private readonly appenders = new Map<string, Appender<ShardEntry>>();
    private readonly pending = new Map<number, PendingEntry>();

    private constructor(private readonly services: InstanceServices) {
        super();
    }

    /** @param services Shared by all features. @returns The handler. */
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
            if (now >= pending.expiresAt) {
                this.expire(pending);
            }
        }
        this.appenders.forEach(appender => appender.flush(now));
    }

    private submit(id: number, request: TaskRequest, now: number): void {
        const shard = this.services.directory.shardOfTask(request.key);
        const reply: ApiReply = { kind: "task-accepted", key: request.key, shard };
        this.append(id, shard, { kind: "task-submitted", ...request, submittedAt: Date.now() }, reply, now);
    }

    private cancel(id: number, key: string, now: number): void {
        const shard = this.services.directory.shardOfTask(key);
        this.append(id, shard, { kind: "task-cancelled", key }, { kind: "task-accepted", key, shard }, now);
    }

    private append(id: number, shard: string, entry: ShardEntry, reply: ApiReply, now: number): void {
        const appender = this.appenderOf(shard);
        // Refuses at once what cannot be made durable now, rather than buffering it.
        if (appender.isFailing || this.services.isStopping) {
            this.refuse(id, this.services.isStopping ? "the instance is stopping" : "the log cannot be reached");
            return;
        }
        const pending = { id, shard, entry, expiresAt: now + SUBMISSION_TIMEOUT_MS };
        const isQueued = appender.append(entry, () => {
            if (this.pending.delete(id)) {
                this.reply(id, reply);
            }
        });
        if (isQueued) {
            this.pending.set(id, pending);
        } else {
            this.refuse(id, "too many submissions are waiting");
        }
    }

    private expire(pending: PendingEntry): void {
        this.pending.delete(pending.id);
        if (this.appenderOf(pending.shard).withdraw(pending.entry) === "withdrawn") {
            this.refuse(pending.id, "the log cannot be reached");
        } else {
            this.reply(pending.id, {
                kind: "unknown",
                message: "the log did not answer; ask again with the same key",
            });
        }
    }

    private show(id: number, key: string, now: number): void {
        const shard = this.services.directory.shardOfTask(key);
        const owner = this.services.ownership.ownerOf(shard);
        if (owner === undefined) {
            this.reply(id, { kind: "unknown", message: `shard ${shard} has no owner at the moment` });
            return;
        }
        this.services.callPeer(owner.instance, owner.address, { kind: "task-ask", shard, key }, now, reply => {
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
        let remaining = plan.length;
        const addReply = (shard: string, reply: PeerReply | undefined) => {
            if (reply?.kind === "task-list-reply") {
                tasks.push(...reply.tasks);
            } else {
                unanswered.push(shard);
            }
            remaining -= 1;
            if (remaining === 0) {
                this.reply(id, { kind: "task-listing", tasks, unanswered });
            }
        };
        for (const { name } of plan) {
            const owner = ownership.ownerOf(name);
            if (owner === undefined) {
                addReply(name, undefined);
            } else {
                this.services.callPeer(
                    owner.instance,
                    owner.address,
                    { kind: "task-list-ask", shard: name },
                    now,
                    reply => addReply(name, reply),
                );
            }
        }
    }

    private refuse(id: number, message: string): void {
        this.reply(id, { kind: "not-run", message, retryAfterMs: RETRY_AFTER_MS });
    }

    private reply(id: number, reply: ApiReply): void {
        this.services.outbox.emit({ kind: "api-reply", id, reply });
    }

    private appenderOf(shard: string): Appender<ShardEntry> {
        const stream = shardStreamName(shard);
        const existing = this.appenders.get(stream);
        if (existing !== undefined) {
            return existing;
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

/** @returns Outcome reported to the caller: `not-run` only for a task that never ran and never will. */
export function outcomeOf(task: TaskReply): "done" | "not-run" | "unknown" {
    if (task.state === "done") {
        return "done";
    }
    const neverRan = task.attempts === 0 && (task.state === "refused" || task.state === "cancelled");
    return neverRan ? "not-run" : "unknown";
}

FeatureRegistry.instance.register(services => TaskHandler.create(services));
