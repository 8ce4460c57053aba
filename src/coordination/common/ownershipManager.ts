import { Emitter } from "../../base/common/emitter";
import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { withDrift } from "./duration";
import { Lease } from "./lease";
import { AppliedBatch, LogSession } from "./logSession";
import { Membership } from "./membership";
import { OwnershipEntry, ShardClaimed } from "./ownershipEntry";
import { InstanceRecord, OwnershipFold } from "./ownershipFold";
import { assignBalanced } from "./rendezvous";
import { OwnershipHost, OwnershipState, ShardOwnership } from "./shardOwnership";

/** Time between two presence entries of an instance. */
export const PRESENCE_INTERVAL_MS = 4_000;

/** Duration of an owner's lease of a shard, and of an instance's membership. */
export const OWNERSHIP_LEASE_MS = 12_000;

/** Time for which an owner keeps renewing leases and grants while the log is unreachable. */
export const HOLDOVER_MS = 300_000;

/** Time for which the placement must assign a shard to another instance before its owner releases it. */
const REBALANCE_DELAY_MS = 15_000;

/**
 * Delay before an instance that has just joined treats a released shard as vacant. By then it has read the entries
 * that other instances appended meanwhile.
 */
const JOIN_DELAY_MS = 1_000;

/** Identity of this instance. */
export interface InstanceIdentity {
    /** Unique for each incarnation of the process. */
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
}

/** A shard and the region of its workers. */
export interface ShardPlan {
    readonly name: string;
    readonly region: string;
}

/** A change of this instance's role in the ownership of a shard. */
export interface OwnershipChange {
    readonly shard: ShardOwnership;
    readonly from: OwnershipState;
    readonly now: number;
}

/** The end of an instance. */
export interface InstanceEnd {
    readonly instance: string;
    readonly now: number;
}

/** A release that was read, and the time (ms) until which owners before it may still renew. */
interface ObservedRelease {
    readonly epoch: Epoch;
    readonly authorityEndsAt: number;
}

/** Provides the state that an instance reports in its presence entries. */
export abstract class PresenceSource {
    /** @returns Number of the ticket in force on this instance. */
    abstract ticketNumber(): number;
    /** @returns Offset after the last record that the newest snapshot of the shard's stream includes. */
    abstract snapshotNext(shard: string): Offset;
    /** @returns Whether the instance uses no granted slots. */
    abstract isIdle(): boolean;
}

/**
 * Spreads the shards over the live instances, together with its peers. Membership and ownership both follow from
 * the ownership stream alone, so all instances see the claims in the same order.
 */
export class OwnershipManager extends OwnershipHost {
    private readonly shards: ReadonlyMap<string, ShardOwnership>;
    private readonly lastSeenAt = new Map<string, number>();
    private readonly changes = Emitter.create<OwnershipChange>();
    private readonly ended = Emitter.create<InstanceEnd>();
    private knownInstances = new Set<string>();
    /** Latest release of each shard. */
    private readonly releases = new Map<string, ObservedRelease>();
    private presenceRequestedAt: number | undefined;
    private joinedAt = Number.POSITIVE_INFINITY;
    private nextPresenceAt = 0;
    private readonly membership: Membership;

    /** Fires when this instance's role in the ownership of a shard changes. */
    readonly onDidChange = this.changes.event;

    /** Fires when an instance is removed: it has ended, was replaced at its address or was silent for too long. */
    readonly onDidEnd = this.ended.event;

    private constructor(
        private readonly identity: InstanceIdentity,
        private readonly plan: readonly ShardPlan[],
        private readonly fold: OwnershipFold,
        private readonly session: LogSession<OwnershipEntry>,
        private readonly source: PresenceSource,
    ) {
        super();
        this.membership = Membership.create({
            hasReleasedAll: () => this.hasReleasedAll(),
            announceEnd: () => this.announceEnd(),
        });
        this.shards = new Map(plan.map(each => [each.name, ShardOwnership.create(each.name, each.region, this)]));
        session.onDidApply(applied => this.handleBatch(applied));
    }

    /**
     * @param identity Identity of this instance.
     * @param plan All shards; must be the same on every instance.
     * @param fold Fold of the ownership stream.
     * @param session Session that reads the ownership stream into the fold.
     * @param source Provides the contents of presence entries.
     * @returns A manager that owns no shard.
     */
    static create(
        identity: InstanceIdentity,
        plan: readonly ShardPlan[],
        fold: OwnershipFold,
        session: LogSession<OwnershipEntry>,
        source: PresenceSource,
    ): OwnershipManager {
        return new OwnershipManager(identity, plan, fold, session, source);
    }

    /** All shards. */
    get all(): Iterable<ShardOwnership> {
        return this.shards.values();
    }

    /** @param shard Name of a shard. @returns This instance's role in its ownership. */
    get(shard: string): ShardOwnership {
        return this.shards.get(shard)!;
    }

    /** Whether everything has been released and the entry `instance-gone` is durable. */
    get isGone(): boolean {
        return this.membership.state === "gone";
    }

    /**
     * @param now Time in ms.
     * @returns Instances seen within the last lease; includes this one once its own presence entry was read.
     */
    liveInstances(now: number): InstanceRecord[] {
        const oldest = Math.min(now, this.session.coveredUntil) - withDrift(OWNERSHIP_LEASE_MS);
        return [...this.fold.instances.values()].filter(each => (this.lastSeenAt.get(each.instance) ?? 0) >= oldest);
    }

    /** @param shard Name of a shard. @returns The owner according to the log, if that instance is known. */
    ownerOf(shard: string): InstanceRecord | undefined {
        const ownership = this.fold.ownership(shard);
        return ownership.phase === "held" ? this.fold.instances.get(ownership.owner) : undefined;
    }

    /** Starts to release all shards. */
    drain(): void {
        this.membership.fire("drain");
        this.nextPresenceAt = 0;
    }

    /** Renews the presence and reviews each shard; called periodically. @param now Time in ms. */
    tick(now: number): void {
        if (!this.session.isReady) {
            return;
        }
        this.renewPresence(now);
        this.updatePlacement(now);
        for (const shard of this.shards.values()) {
            this.reviewShard(shard, now);
        }
        this.membership.fire("checked");
    }

    override claim(shard: ShardOwnership): void {
        const ownership = this.fold.ownership(shard.name);
        this.session.append({
            kind: "shard-claimed",
            shard: shard.name,
            instance: this.identity.instance,
            seenEpoch: ownership.epoch,
            seenRenewal: ownership.renewal,
        });
    }

    override release(shard: ShardOwnership, now: number): void {
        this.session.append({
            kind: "shard-released",
            shard: shard.name,
            instance: this.identity.instance,
            epoch: shard.epoch,
            snapshotNext: this.source.snapshotNext(shard.name),
            authorityMs: Math.ceil(Math.max(0, shard.authorityEndsAt - now)),
        });
    }

    override onDidChangeState(shard: ShardOwnership, from: OwnershipState, now: number): void {
        this.changes.fire({ shard, from, now });
    }

    private renewPresence(now: number): void {
        // A presence entry that is skipped by starting from a snapshot is never read back.
        if (this.session.backlog === 0 && now > (this.presenceRequestedAt ?? now) + OWNERSHIP_LEASE_MS) {
            this.presenceRequestedAt = undefined;
        }
        if (now < this.nextPresenceAt || this.presenceRequestedAt !== undefined || !this.isMember) {
            return;
        }
        this.presenceRequestedAt = now;
        this.nextPresenceAt = now + PRESENCE_INTERVAL_MS;
        const held = [...this.shards.values()].filter(shard => shard.isHeld);
        this.session.append({
            kind: "instance-present",
            ...this.identity,
            phase: this.membership.phase,
            ticket: this.source.ticketNumber(),
            holdings: held.map(shard => ({
                shard: shard.name,
                epoch: shard.epoch,
                snapshotNext: this.source.snapshotNext(shard.name),
            })),
        });
    }

    private updatePlacement(now: number): void {
        const serving = this.liveInstances(now).filter(each => each.phase === "serving");
        const regions = new Set(this.plan.map(each => each.region));
        for (const region of regions) {
            const local = serving.filter(each => each.region === region);
            const candidates = (local.length > 0 ? local : serving).map(each => each.instance).sort();
            const names = this.plan.filter(each => each.region === region).map(each => each.name);
            const assignees = assignBalanced(names, candidates);
            for (const name of names) {
                this.updatePreferred(this.get(name), assignees.get(name), now);
            }
        }
    }

    private updatePreferred(shard: ShardOwnership, assignee: string | undefined, now: number): void {
        shard.isPreferredOwner = assignee === this.identity.instance;
        const isMisplaced = assignee !== undefined && !shard.isPreferredOwner;
        shard.misplacedSince = isMisplaced ? (shard.misplacedSince ?? now) : undefined;
    }

    private reviewShard(shard: ShardOwnership, now: number): void {
        if (this.isVacant(shard)) {
            shard.fire("vacant", now);
        }
        if (now >= shard.lease.endsAt + HOLDOVER_MS) {
            shard.fire("holdover-expired", now);
        } else if (!shard.lease.isHeld(now)) {
            shard.fire("lease-expired", now);
        } else {
            shard.fire("lease-renewed", now);
        }
        const misplacedMs = shard.misplacedSince === undefined ? 0 : now - shard.misplacedSince;
        if (misplacedMs > REBALANCE_DELAY_MS || this.membership.phase === "draining") {
            shard.fire("release-due", now);
        }
    }

    /**
     * A shard is vacant once its owner has released it or has certainly appended no renewal within its lease, or
     * within lease and holdover if the shard belongs to another region.
     */
    private isVacant(shard: ShardOwnership): boolean {
        if (!this.session.isCurrent || this.membership.phase === "draining") {
            return false;
        }
        const ownership = this.fold.ownership(shard.name);
        const coveredUntil = this.session.coveredUntil;
        if (ownership.phase === "released") {
            return coveredUntil > this.memberSince() + JOIN_DELAY_MS;
        }
        const isLocal = shard.region === this.identity.region;
        const timeoutMs = isLocal ? OWNERSHIP_LEASE_MS : OWNERSHIP_LEASE_MS + HOLDOVER_MS;
        return coveredUntil > Lease.observedEnd(this.lastRenewalAt(shard), timeoutMs);
    }

    /** Renewals read before this instance had joined count as read at that time. */
    private lastRenewalAt(shard: ShardOwnership): number {
        return Math.max(shard.renewalSeenAt, this.memberSince());
    }

    /** Time (ms) when this instance's first presence entry was read; infinite while it is not a member. */
    private memberSince(): number {
        return this.lastSeenAt.get(this.identity.instance) === undefined ? Number.POSITIVE_INFINITY : this.joinedAt;
    }

    private handleBatch(applied: AppliedBatch<OwnershipEntry>): void {
        const { placed, isNew, now } = applied;
        for (const entry of placed.batch.entries) {
            this.handleEntry(entry, placed.offset, isNew, now);
        }
        for (const shard of this.shards.values()) {
            this.updateFromFold(shard, now);
        }
        this.reportEnded(now);
    }

    private reportEnded(now: number): void {
        const present = new Set(this.fold.instances.keys());
        for (const instance of this.knownInstances) {
            if (!present.has(instance)) {
                this.ended.fire({ instance, now });
            }
        }
        this.knownInstances = present;
    }

    private handleEntry(entry: OwnershipEntry, offset: Offset, isNew: boolean, now: number): void {
        if (!isNew) {
            return;
        }
        switch (entry.kind) {
            case "instance-present":
                this.lastSeenAt.set(entry.instance, now);
                entry.holdings.forEach(holding => this.recordRenewal(holding.shard, offset, now));
                if (entry.instance === this.identity.instance) {
                    this.handleOwnPresence(offset, now);
                }
                return;
            case "shard-claimed":
                return this.handleClaim(entry, offset, now);
            case "shard-released":
                this.recordRenewal(entry.shard, offset, now);
                if (entry.instance === this.identity.instance) {
                    this.shards.get(entry.shard)?.fire("released", now);
                }
                return;
            case "instance-gone":
                this.lastSeenAt.delete(entry.instance);
                return;
            case "snapshot-taken":
                return;
        }
    }

    private recordRenewal(name: string, offset: Offset, now: number): void {
        const shard = this.shards.get(name);
        if (shard !== undefined && this.fold.ownership(name).renewal === offset) {
            shard.renewalSeenAt = now;
        }
    }

    private handleOwnPresence(offset: Offset, now: number): void {
        const requestedAt = this.presenceRequestedAt ?? now;
        this.presenceRequestedAt = undefined;
        this.joinedAt = Math.min(this.joinedAt, now);
        for (const shard of this.shards.values()) {
            if (shard.isHeld && this.fold.ownership(shard.name).renewal === offset) {
                shard.extend(Lease.create(requestedAt, OWNERSHIP_LEASE_MS));
            }
        }
    }

    private handleClaim(entry: ShardClaimed, offset: Offset, now: number): void {
        const shard = this.shards.get(entry.shard);
        if (shard === undefined) {
            return;
        }
        const isWon = this.fold.ownership(entry.shard).epoch === offset;
        if (isWon && entry.instance === this.identity.instance) {
            shard.authorityEndsAt = this.earlierAuthorityEnd(shard, entry, now);
            shard.epoch = offset;
            shard.extend(Lease.create(shard.claimedAt, OWNERSHIP_LEASE_MS));
            shard.fire("claim-won", now);
        } else if (entry.instance === this.identity.instance) {
            shard.fire("claim-lost", now);
        }
        if (isWon) {
            shard.renewalSeenAt = now;
        }
    }

    /**
     * An earlier owner may act until its holdover ends, or, if it released the shard, until the owners before it may no
     * longer renew.
     * @returns End of that time, in ms.
     */
    private earlierAuthorityEnd(shard: ShardOwnership, entry: ShardClaimed, now: number): number {
        if (entry.seenEpoch < 0) {
            return now;
        }
        const release = this.releases.get(entry.shard);
        if (release?.epoch === entry.seenEpoch) {
            return Math.max(now, release.authorityEndsAt);
        }
        return Lease.observedEnd(this.lastRenewalAt(shard), OWNERSHIP_LEASE_MS + HOLDOVER_MS);
    }

    private updateFromFold(shard: ShardOwnership, now: number): void {
        const ownership = this.fold.ownership(shard.name);
        if (ownership.phase === "released" && this.releases.get(shard.name)?.epoch !== ownership.epoch) {
            const authorityEndsAt = Lease.observedEnd(now, ownership.authorityMs);
            this.releases.set(shard.name, { epoch: ownership.epoch, authorityEndsAt });
        }
        const isLost =
            ownership.epoch !== shard.epoch || (ownership.phase === "released" && shard.state !== "releasing");
        if (shard.epoch >= 0 && isLost) {
            shard.fire("superseded", now);
        }
    }

    /** Whether the instance still renews its presence. */
    private get isMember(): boolean {
        return this.membership.state === "serving" || this.membership.state === "leaving";
    }

    private hasReleasedAll(): boolean {
        const ownsNone = [...this.shards.values()].every(
            shard => shard.state === "watching" || shard.state === "claiming",
        );
        return ownsNone && this.source.isIdle() && this.presenceRequestedAt === undefined;
    }

    private announceEnd(): void {
        const { instance } = this.identity;
        this.session.append({ kind: "instance-gone", instance }, () => this.membership.fire("announced"));
    }
}
