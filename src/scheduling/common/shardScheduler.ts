import { EffectSink } from "../../base/common/effectSink";
import { FenceReply, GrantAsk, GrantReply } from "../../coordination/common/grant";
import { GrantTable } from "../../coordination/common/grantTable";
import { AppliedBatch, LogSession } from "../../coordination/common/logSession";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { WorkerListing } from "../../services/common/instanceList";
import { Offset } from "../../services/common/logService";
import { LogEffect, LogEvent } from "../../services/common/logEvents";
import { WorkerEffect, WorkerEvent } from "../../services/common/workerEvents";
import { Adoption, FenceSender } from "./adoption";
import { AttemptState } from "./attempt";
import { AttemptTracker } from "./attemptTracker";
import { AuditEffect } from "./auditEntry";
import { CapacityLedger } from "./capacityLedger";
import { LeaseCaller } from "./leaseCaller";
import { Placer } from "./placer";
import { Rebalancer } from "./rebalancer";
import { SchedulingConfig } from "./schedulingConfig";
import {
    PLACEMENT_INTERVAL_MS,
    REBALANCE_INTERVAL_MS,
    SNAPSHOT_INTERVAL_MS,
    SNAPSHOT_INTERVAL_RECORDS,
} from "./schedulingLimits";
import { SchedulingModels, ShardContext } from "./shardContext";
import { ShardFold, TaskListener } from "./shardFold";
import { ShardEntry } from "./taskEntry";
import { MIN_REPORT_INTERVAL_MS, WorkerContact } from "./workerContact";

/** Effects that the scheduling of a shard emits. */
export type ShardEffect = LogEffect<ShardEntry> | WorkerEffect | AuditEffect;

/** Dependencies and parameters of a shard's scheduler. */
export interface ShardSchedulerOptions {
    readonly ownership: ShardOwnership;
    readonly instance: string;
    /** Identifies this owner among the writers of the shard's stream. */
    readonly writer: string;
    /** Offset at which to start reading the shard's stream. */
    readonly from: Offset;
    readonly shardCount: number;
    readonly models: SchedulingModels;
    readonly config: SchedulingConfig;
    readonly outbox: EffectSink<ShardEffect>;
    readonly onTask: TaskListener;
    /** Instances that may hold grants of earlier owners. */
    readonly instances: () => Iterable<string>;
    readonly sendFence: FenceSender;
    /** Returns whether the service discovery data is recent. */
    readonly isDiscoveryFresh: (now: number) => boolean;
}

/**
 * Schedules one shard while this instance owns it: reads the shard's stream, adopts running attempts, and places
 * and tracks tasks.
 */
export class ShardScheduler {
    private readonly context: ShardContext;
    private readonly tracker: AttemptTracker;
    private readonly ledger: CapacityLedger;
    private readonly leaseCaller: LeaseCaller;
    private readonly placer: Placer;
    private readonly rebalancer: Rebalancer;
    private adoption: Adoption | undefined;
    private nextPlacementAt = 0;
    private nextRebalanceAt = 0;
    private lastSnapshotAt: number;
    private isSnapshotPending = false;

    private constructor(
        private readonly options: ShardSchedulerOptions,
        now: number,
    ) {
        const { ownership, config, outbox } = options;
        const fold = ShardFold.create(options.onTask);
        const session = LogSession.create<ShardEntry>(
            shardStreamName(ownership.name),
            options.writer,
            fold,
            options.from,
            outbox,
        );
        const grants = GrantTable.create(ownership.name, ownership.epoch, config.maxRequestMs());
        this.context = ShardContext.create(
            ownership,
            options.instance,
            session,
            fold,
            grants,
            options.models,
            config,
            outbox,
            options.isDiscoveryFresh,
        );
        this.tracker = AttemptTracker.create(this.context);
        this.ledger = CapacityLedger.create(this.context);
        this.leaseCaller = LeaseCaller.create(this.context, this.tracker);
        this.placer = Placer.create(this.context, this.ledger, this.leaseCaller, options.shardCount);
        this.rebalancer = Rebalancer.create(this.context, this.ledger, this.tracker, this.placer, this.leaseCaller);
        this.lastSnapshotAt = now;
        session.onDidApply(applied => this.onApplied(applied));
        session.append({ kind: "shard-fenced", epoch: ownership.epoch, instance: options.instance });
        session.open(now);
        session.flush(now);
    }

    /**
     * @param options Dependencies and parameters.
     * @param now Time in ms.
     * @returns A scheduler that has started to read the shard's stream.
     */
    static create(options: ShardSchedulerOptions, now: number): ShardScheduler {
        return new ShardScheduler(options, now);
    }

    /** The shard's tasks. */
    get fold(): ShardFold {
        return this.context.fold;
    }

    /** Session that reads and appends to the shard's stream. */
    get session(): LogSession<ShardEntry> {
        return this.context.session;
    }

    /** The workers of the shard. */
    get contacts(): ReadonlyMap<string, WorkerContact> {
        return this.context.contacts;
    }

    /** Distributes the service slots of the shard's workers among the instances. */
    get grants(): GrantTable {
        return this.context.grants;
    }

    /** @param task Number of a task. @returns State of its current attempt. */
    attemptState(task: number): AttemptState | undefined {
        return this.context.attempts.get(task)?.state;
    }

    /** Why each queued task has not been placed, by task number. */
    get waitReasons(): Placer["waitReasons"] {
        return this.placer.waitReasons;
    }

    /** Offset of the first record that the latest snapshot does not include. */
    get snapshotNext(): Offset {
        return this.session.snapshotNext ?? this.options.from;
    }

    /** Stops reading the shard's stream. @param now Time in ms. */
    close(now: number): void {
        this.session.close(now);
    }

    /**
     * Updates the shard's workers from service discovery. A deregistered worker that still has tasks counts as leaving.
     * @param listings All registered workers of the shard.
     */
    updateWorkers(listings: readonly WorkerListing[]): void {
        const { contacts, fold } = this.context;
        const registered = new Set(listings.map(each => each.id));
        for (const listing of listings) {
            const contact = contacts.get(listing.id);
            if (contact === undefined) {
                contacts.set(listing.id, WorkerContact.create(listing));
            } else {
                contact.updateListing(listing);
            }
        }
        for (const [id, contact] of contacts) {
            if (!registered.has(id) && fold.tasksOn(id).size === 0) {
                contacts.delete(id);
            } else if (!registered.has(id)) {
                contact.updateListing({ ...contact.listing, availability: "leaving" });
            }
        }
    }

    /** Handles an event of the shard's stream. */
    handleLog(event: LogEvent<ShardEntry>, now: number): void {
        this.session.handle(event, now);
    }

    /** Handles the response to a call to a worker, or its failure. */
    handleWorker(event: WorkerEvent, now: number): void {
        const contact = this.context.contacts.get(event.worker);
        if (contact === undefined || contact.callInFlight !== event.call) {
            return;
        }
        contact.callInFlight = undefined;
        if (event.kind === "worker-answered") {
            contact.recordReport(event.report, now);
            this.tracker.applyReport(contact, event.report, now);
            const earliest = now + MIN_REPORT_INTERVAL_MS;
            contact.nextCallAt = Math.min(
                contact.nextCallAt,
                Math.max(earliest, this.tracker.nextExpectedEnd(contact, now)),
            );
        }
    }

    /** Replies to an instance's request for slots; `undefined` while the shard cannot grant any. */
    handleGrantAsk(ask: GrantAsk, now: number): GrantReply | undefined {
        const { ownership, grants, models } = this.context;
        // The instance must report its grants from earlier owners before it gets new ones.
        const isAwaitingHoldings = this.adoption?.isAwaiting(ask.instance) === true;
        if (!ownership.isActing || ownership.state === "adopting" || isAwaitingHoldings) {
            return undefined;
        }
        for (const { service, worker, slowdown } of ask.latencies) {
            const colocated = this.context.contacts.get(worker)?.history.at(now);
            models.interference.observe(
                service,
                slowdown,
                (colocated ?? []).filter(each => each.name !== service),
            );
        }
        return grants.reply(ask, now);
    }

    /** Handles an instance's report of the grants that it holds from earlier owners. */
    handleFenceReply(instance: string, reply: FenceReply, now: number): void {
        this.adoption?.handleReply(instance, reply, now);
    }

    /** Handles the end of an instance. @param now Time in ms. */
    handleInstanceGone(instance: string, now: number): void {
        this.adoption?.handleInstanceGone(instance, now);
    }

    /** Starts or resumes the adoption, each time the ownership enters the state `adopting`. @param now Time in ms. */
    adopt(now: number): void {
        const { contacts, fold, attempts } = this.context;
        contacts.forEach(contact => contact.beginEpoch(now));
        for (const task of fold.openTasks) {
            if (task.assignment !== undefined && !attempts.has(task.number)) {
                this.tracker.track(task, task.assignment.epoch !== this.context.ownership.epoch);
            }
        }
        // An owner that resumes in the same epoch still knows what it granted.
        this.adoption =
            this.adoption?.resume(now) ??
            Adoption.create(this.context, this.options.instances(), this.options.sendFence, now);
    }

    /** Runs the work that is due. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    tick(now: number, wallNow: number): void {
        const { ownership, session, fold, contacts } = this.context;
        session.tick(now);
        if (ownership.state === "fencing" && session.isReady && fold.epoch === ownership.epoch) {
            ownership.fire("fence-read", now);
        }
        contacts.forEach(contact => contact.tick(now));
        if (ownership.isActing) {
            this.tickOwner(now, wallNow);
        }
        session.flush(now);
    }

    private tickOwner(now: number, wallNow: number): void {
        const { ownership } = this.context;
        this.adoption?.tick(now);
        this.tracker.tick(now);
        if (ownership.state === "owning" && now >= this.nextPlacementAt) {
            this.nextPlacementAt = now + PLACEMENT_INTERVAL_MS;
            this.placer.placeQueued(now, wallNow);
        }
        if (ownership.state === "owning" && now >= this.nextRebalanceAt) {
            this.nextRebalanceAt = now + REBALANCE_INTERVAL_MS;
            this.rebalancer.rebalance(now, wallNow);
            this.takeSnapshotIfDue(now);
        }
        this.leaseCaller.tick(now);
    }

    private onApplied(applied: AppliedBatch<ShardEntry>): void {
        // A duplicate of a batch has no effect.
        const entries = applied.isNew ? applied.placed.batch.entries : [];
        for (const entry of entries) {
            this.applyEntry(entry, applied);
        }
    }

    private applyEntry(entry: ShardEntry, applied: AppliedBatch<ShardEntry>): void {
        const { fold, pendingAssignments, pendingShares, ownership } = this.context;
        switch (entry.kind) {
            case "task-assigned":
            case "task-refused":
                pendingAssignments.delete(entry.task);
                if (entry.epoch === ownership.epoch && ownership.isActing) {
                    this.trackAssignment(entry.task);
                }
                return;
            case "attempt-ended": {
                const task = fold.task(entry.task);
                if (task !== undefined) {
                    this.tracker.untrack(task);
                }
                return;
            }
            case "shares-set":
                entry.shares.forEach(share => pendingShares.delete(share.worker));
                // The new share can be granted now.
                this.nextRebalanceAt = applied.now;
                return;
            case "grants-limited":
                // Also while suspended: the limits are in force, and new limits are held back until these are applied.
                if (entry.epoch === ownership.epoch) {
                    this.context.grants.applyLimits(entry.limits);
                    this.rebalancer.onLimitsApplied();
                }
                return;
            case "snapshot-taken":
                this.isSnapshotPending = false;
                this.lastSnapshotAt = applied.now;
                return;
            case "task-submitted":
                this.nextPlacementAt = Math.min(this.nextPlacementAt, applied.now);
                return;
            case "shard-fenced":
            case "task-cancelled":
                return;
        }
    }

    private trackAssignment(number: number): void {
        const { fold, attempts } = this.context;
        const task = fold.task(number);
        if (task?.assignment !== undefined && !attempts.has(number)) {
            this.tracker.track(task, false);
            this.leaseCaller.callSoon(task.assignment.worker, performance.now());
        }
    }

    private takeSnapshotIfDue(now: number): void {
        const records = this.session.next - this.snapshotNext;
        const isDue =
            records > SNAPSHOT_INTERVAL_RECORDS || (records > 0 && now > this.lastSnapshotAt + SNAPSHOT_INTERVAL_MS);
        const image = isDue && !this.isSnapshotPending ? this.session.image() : undefined;
        if (image !== undefined) {
            this.isSnapshotPending = this.session.append({ kind: "snapshot-taken", ...image });
        }
    }
}

/** @param shard Name of a shard. @returns Name of its stream. */
export function shardStreamName(shard: string): string {
    return `shard-${shard}`;
}
