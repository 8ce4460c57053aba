import { EffectSink } from "../../base/common/effectSink";
import { FenceReply, GrantAsk, GrantReply } from "../../coordination/common/grant";
import { GrantTable } from "../../coordination/common/grantTable";
import { AppliedBatch, LogSession } from "../../coordination/common/logSession";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { WorkerListing } from "../../services/common/instanceList";
import { Offset } from "../../services/common/logService";
import { LogEffect, LogEvent } from "../../services/common/logTraffic";
import { WorkerEffect, WorkerEvent } from "../../services/common/workerTraffic";
import { Adoption, FenceSender } from "./adoption";
import { AttemptState } from "./attempt";
import { AttemptFollower } from "./attemptFollower";
import { AuditEffect } from "./auditEntry";
import { CapacityLedger } from "./capacityLedger";
import { LeaseCaller } from "./leaseCaller";
import { Placer } from "./placer";
import { Reviewer } from "./reviewer";
import { SchedulingConfig } from "./schedulingConfig";
import {
    PLACEMENT_INTERVAL_MS,
    REVIEW_INTERVAL_MS,
    SNAPSHOT_INTERVAL_MS,
    SNAPSHOT_INTERVAL_RECORDS,
} from "./schedulingLimits";
import { SchedulingModels, ShardContext } from "./shardContext";
import { ShardFold, TaskListener } from "./shardFold";
import { ShardEntry } from "./taskEntry";
import { MIN_REPORT_INTERVAL_MS, WorkerLink } from "./workerLink";

/** Effects that keeping a shard asks for. */
export type ShardEffect = LogEffect<ShardEntry> | WorkerEffect | AuditEffect;

/** What a keeper is given. */
export interface ShardKeeperOptions {
    readonly ownership: ShardOwnership;
    readonly instance: string;
    /** Names this incarnation as a writer of the shard's stream. */
    readonly writer: string;
    /** Offset to begin reading the shard's stream at. */
    readonly from: Offset;
    readonly shardCount: number;
    readonly models: SchedulingModels;
    readonly config: SchedulingConfig;
    readonly outbox: EffectSink<ShardEffect>;
    readonly onTask: TaskListener;
    /** Instances that may hold grants of earlier owners. */
    readonly instances: () => Iterable<string>;
    readonly sendFence: FenceSender;
    /** Tells whether the platform's list has been looked at lately. */
    readonly isListFresh: (now: number) => boolean;
}

/** Owns one shard from the claim to its loss: reads its stream, adopts what runs, places and follows tasks. */
export class ShardKeeper {
    private readonly context: ShardContext;
    private readonly follower: AttemptFollower;
    private readonly ledger: CapacityLedger;
    private readonly caller: LeaseCaller;
    private readonly placer: Placer;
    private readonly reviewer: Reviewer;
    private adoption: Adoption | undefined;
    private nextPlacementAt = 0;
    private nextReviewAt = 0;
    private snapshotAt: number;
    private snapshotPending = false;

    private constructor(
        private readonly options: ShardKeeperOptions,
        now: number,
    ) {
        const { ownership, config, outbox } = options;
        const fold = ShardFold.create(options.onTask);
        const session = LogSession.create<ShardEntry>(
            streamOf(ownership.name),
            options.writer,
            fold,
            options.from,
            outbox,
        );
        const grants = GrantTable.create(ownership.name, ownership.epoch, config.requestTailMs());
        this.context = ShardContext.create(
            ownership,
            options.instance,
            session,
            fold,
            grants,
            options.models,
            config,
            outbox,
            options.isListFresh,
        );
        this.follower = AttemptFollower.create(this.context);
        this.ledger = CapacityLedger.create(this.context);
        this.caller = LeaseCaller.create(this.context, this.follower);
        this.placer = Placer.create(this.context, this.ledger, this.caller, options.shardCount);
        this.reviewer = Reviewer.create(this.context, this.ledger, this.follower, this.placer, this.caller);
        this.snapshotAt = now;
        session.onDidApply(applied => this.onApplied(applied));
        session.append({ kind: "shard-fenced", epoch: ownership.epoch, instance: options.instance });
        session.open(now);
        session.flush(now);
    }

    /**
     * @param options What the keeper is given.
     * @param now Time in ms.
     * @returns A keeper that has begun to read the shard's stream.
     */
    static create(options: ShardKeeperOptions, now: number): ShardKeeper {
        return new ShardKeeper(options, now);
    }

    /** The shard's tasks. */
    get fold(): ShardFold {
        return this.context.fold;
    }

    /** Session with the shard's stream. */
    get session(): LogSession<ShardEntry> {
        return this.context.session;
    }

    /** The workers of the shard. */
    get links(): ReadonlyMap<string, WorkerLink> {
        return this.context.links;
    }

    /** Splits the service slots of the shard's workers. */
    get grants(): GrantTable {
        return this.context.grants;
    }

    /** @param task Number of a task. @returns What is known of its attempt. */
    attemptState(task: number): AttemptState | undefined {
        return this.context.attempts.get(task)?.state;
    }

    /** Why each waiting task waits. */
    get waitReasons(): Placer["reasons"] {
        return this.placer.reasons;
    }

    /** Offset up to which the newest snapshot goes. */
    get snapshotNext(): Offset {
        return this.session.snapshotNext ?? this.options.from;
    }

    /** Stops reading. @param now Time in ms. */
    close(now: number): void {
        this.session.close(now);
    }

    /** Takes in the platform's list of the shard's workers. */
    relist(listings: readonly WorkerListing[]): void {
        const { links, fold } = this.context;
        const listed = new Set(listings.map(each => each.id));
        for (const listing of listings) {
            const link = links.get(listing.id);
            if (link === undefined) {
                links.set(listing.id, WorkerLink.create(listing));
            } else {
                link.relist(listing);
            }
        }
        for (const [id, link] of links) {
            if (!listed.has(id) && fold.onWorker(id).size === 0) {
                links.delete(id);
            } else if (!listed.has(id)) {
                link.relist({ ...link.listing, availability: "leaving" });
            }
        }
    }

    /** Takes in an event of the shard's stream. */
    handleLog(event: LogEvent<ShardEntry>, now: number): void {
        this.session.handle(event, now);
    }

    /** Takes in a worker's answer. */
    handleWorker(event: WorkerEvent, now: number): void {
        const link = this.context.links.get(event.worker);
        if (link === undefined || link.outstanding !== event.call) {
            return;
        }
        link.outstanding = undefined;
        if (event.kind === "worker-answered") {
            link.answered(event.report, now);
            this.follower.read(link, event.report, now);
            const soonest = now + MIN_REPORT_INTERVAL_MS;
            link.nextCallAt = Math.min(link.nextCallAt, Math.max(soonest, this.follower.nextEnd(link, now)));
        }
    }

    /** Answers an instance that asks for slots; `undefined` while the shard cannot grant any. */
    handleAsk(ask: GrantAsk, now: number): GrantReply | undefined {
        const { ownership, grants, models } = this.context;
        // What an instance holds from earlier owners must be known before it is given anything.
        const unknown = this.adoption?.awaits(ask.instance) === true;
        if (!ownership.isActing || ownership.state === "adopting" || unknown) {
            return undefined;
        }
        for (const { service, worker, slowdown } of ask.latencies) {
            const history = this.context.links.get(worker)?.history.at(now);
            models.interference.observe(
                service,
                slowdown,
                (history ?? []).filter(each => each.name !== service),
            );
        }
        return grants.reply(ask, now);
    }

    /** Takes in what an instance holds from earlier owners. */
    handleFence(instance: string, reply: FenceReply, now: number): void {
        this.adoption?.answered(instance, reply, now);
    }

    /** Notes that an instance has ended. @param now Time in ms. */
    handleGone(instance: string, now: number): void {
        this.adoption?.gone(instance, now);
    }

    /** Begins an adoption: whenever the ownership comes to that state. @param now Time in ms. */
    adopt(now: number): void {
        const { links, fold, attempts } = this.context;
        links.forEach(link => link.restart(now));
        for (const task of fold.openTasks) {
            if (task.assignment !== undefined && !attempts.has(task.number)) {
                this.follower.follow(task, task.assignment.epoch !== this.context.ownership.epoch);
            }
        }
        // An owner that comes back to the same epoch knows what it granted.
        this.adoption =
            this.adoption?.resume(now) ??
            Adoption.create(this.context, this.options.instances(), this.options.sendFence, now);
    }

    /** Acts on the passing of time. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    tick(now: number, wallNow: number): void {
        const { ownership, session, fold, links } = this.context;
        session.tick(now);
        if (ownership.state === "fencing" && session.isReady && fold.epoch === ownership.epoch) {
            ownership.fire("fence-read", now);
        }
        links.forEach(link => link.tick(now));
        if (ownership.isActing) {
            this.act(now, wallNow);
        }
        session.flush(now);
    }

    private act(now: number, wallNow: number): void {
        const { ownership } = this.context;
        this.adoption?.tick(now);
        this.follower.tick(now);
        if (ownership.state === "owning" && now >= this.nextPlacementAt) {
            this.nextPlacementAt = now + PLACEMENT_INTERVAL_MS;
            this.placer.pass(now, wallNow);
        }
        if (ownership.state === "owning" && now >= this.nextReviewAt) {
            this.nextReviewAt = now + REVIEW_INTERVAL_MS;
            this.reviewer.review(now, wallNow);
            this.snapshotWhenDue(now);
        }
        this.caller.tick(now);
    }

    private onApplied(applied: AppliedBatch<ShardEntry>): void {
        // A late copy of a batch changes nothing.
        const entries = applied.counted ? applied.placed.batch.entries : [];
        for (const entry of entries) {
            this.note(entry, applied);
        }
    }

    private note(entry: ShardEntry, applied: AppliedBatch<ShardEntry>): void {
        const { fold, pendingAssignments, pendingShares, ownership } = this.context;
        switch (entry.kind) {
            case "task-assigned":
            case "task-refused":
                pendingAssignments.delete(entry.task);
                if (entry.epoch === ownership.epoch && ownership.isActing) {
                    this.followAccepted(entry.task);
                }
                return;
            case "attempt-ended": {
                const task = fold.task(entry.task);
                if (task !== undefined) {
                    this.follower.unfollow(task);
                }
                return;
            }
            case "shares-set":
                entry.shares.forEach(share => pendingShares.delete(share.worker));
                // The slots can be given out now.
                this.nextReviewAt = applied.now;
                return;
            case "grants-limited":
                // Also while suspended: the limits are in force, and the next ones wait for these.
                if (entry.epoch === ownership.epoch) {
                    this.context.grants.applyLimits(entry.limits);
                    this.reviewer.limitsRecorded();
                }
                return;
            case "snapshot-taken":
                this.snapshotPending = false;
                this.snapshotAt = applied.now;
                return;
            case "task-submitted":
                this.nextPlacementAt = Math.min(this.nextPlacementAt, applied.now);
                return;
            case "shard-fenced":
            case "task-cancelled":
                return;
        }
    }

    private followAccepted(number: number): void {
        const { fold, attempts } = this.context;
        const task = fold.task(number);
        if (task?.assignment !== undefined && !attempts.has(number)) {
            this.follower.follow(task, false);
            this.caller.hurry(task.assignment.worker, performance.now());
        }
    }

    private snapshotWhenDue(now: number): void {
        const records = this.session.next - this.snapshotNext;
        const due =
            records > SNAPSHOT_INTERVAL_RECORDS || (records > 0 && now > this.snapshotAt + SNAPSHOT_INTERVAL_MS);
        const image = due && !this.snapshotPending ? this.session.image() : undefined;
        if (image !== undefined) {
            this.snapshotPending = this.session.append({ kind: "snapshot-taken", ...image });
        }
    }
}

/** @param shard Name of a shard. @returns Name of its stream. */
export function streamOf(shard: string): string {
    return `shard-${shard}`;
}
