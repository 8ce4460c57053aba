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

/** Time between two renewals of an instance. */
export const PRESENCE_INTERVAL_MS = 4_000;

/** Duration of an owner's lease of a shard, and of an instance's membership. */
export const OWNERSHIP_LEASE_MS = 12_000;

/** How long an owner goes on renewing what runs while the log cannot be reached. */
export const HOLDOVER_MS = 300_000;

/** How long another instance must be the better owner before a shard is handed over. */
const REBALANCE_DELAY_MS = 15_000;

/** Delay before an instance that has just become current acts on what it has not heard. */
const SETTLE_MS = 1_000;

/** Who this instance is. */
export interface InstanceIdentity {
    /** Unique for each incarnation of the process. */
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
}

/** A shard and the region whose workers it has. */
export interface ShardPlan {
    readonly name: string;
    readonly region: string;
}

/** A change of this instance's part in the ownership of a shard. */
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

interface ReadRelease {
    readonly epoch: Epoch;
    readonly authorityEndsAt: number;
}

/** Answers what the keeper puts into its renewals. */
export abstract class PresenceSource {
    /** @returns Number of the ticket in force here. */
    abstract ticketNumber(): number;
    /** @returns Offset up to which the newest snapshot of the shard's stream goes. */
    abstract snapshotNext(shard: string): Offset;
    /** @returns Whether the instance uses nothing that it was granted. */
    abstract isIdle(): boolean;
}

/**
 * Takes part in spreading the shards over the live instances. Membership and ownership both follow from the
 * ownership stream alone, so no two instances can hold different orders of claims.
 */
export class OwnershipKeeper extends OwnershipHost {
    private readonly shards: ReadonlyMap<string, ShardOwnership>;
    private readonly seenAt = new Map<string, number>();
    private readonly changes = Emitter.create<OwnershipChange>();
    private readonly gone = Emitter.create<InstanceEnd>();
    private members = new Set<string>();
    /** Releases that were read, by shard: the epoch given up, and until when (ms) owners before it may renew. */
    private readonly releases = new Map<string, ReadRelease>();
    private presenceAskedAt: number | undefined;
    private joinedAt = Number.POSITIVE_INFINITY;
    private nextPresenceAt = 0;
    private readonly membership: Membership;

    /** Fires when this instance's part in the ownership of a shard changes. */
    readonly onDidChange = this.changes.event;

    /** Fires when an instance has said that it is gone, or another one has its address. */
    readonly onDidEnd = this.gone.event;

    private constructor(
        private readonly identity: InstanceIdentity,
        private readonly plan: readonly ShardPlan[],
        private readonly fold: OwnershipFold,
        private readonly session: LogSession<OwnershipEntry>,
        private readonly source: PresenceSource,
    ) {
        super();
        this.membership = Membership.create({
            hasNothing: () => this.hasNothing(),
            sayFarewell: () => this.sayFarewell(),
        });
        this.shards = new Map(plan.map(each => [each.name, ShardOwnership.create(each.name, each.region, this)]));
        session.onDidApply(applied => this.onApplied(applied));
    }

    /**
     * @param identity Who this instance is.
     * @param plan All shards; every instance must be given the same.
     * @param fold Fold of the ownership stream.
     * @param session Session that keeps the fold.
     * @param source Answers what renewals carry.
     * @returns A keeper that watches.
     */
    static create(
        identity: InstanceIdentity,
        plan: readonly ShardPlan[],
        fold: OwnershipFold,
        session: LogSession<OwnershipEntry>,
        source: PresenceSource,
    ): OwnershipKeeper {
        return new OwnershipKeeper(identity, plan, fold, session, source);
    }

    /** All shards. */
    get all(): Iterable<ShardOwnership> {
        return this.shards.values();
    }

    /** @param shard Name of a shard. @returns This instance's part in it. */
    get(shard: string): ShardOwnership {
        return this.shards.get(shard)!;
    }

    /** Whether nothing is held any more and the farewell is durable. */
    get isGone(): boolean {
        return this.membership.state === "gone";
    }

    /**
     * @param now Time in ms.
     * @returns Instances heard of within a lease, this one included once it is.
     */
    live(now: number): InstanceRecord[] {
        const oldest = Math.min(now, this.session.coveredUntil) - withDrift(OWNERSHIP_LEASE_MS);
        return [...this.fold.instances.values()].filter(each => (this.seenAt.get(each.instance) ?? 0) >= oldest);
    }

    /** @param shard Name of a shard. @returns The instance that owns it by the log's order, if it lives. */
    ownerOf(shard: string): InstanceRecord | undefined {
        const tenure = this.fold.tenure(shard);
        return tenure.phase === "held" ? this.fold.instances.get(tenure.owner) : undefined;
    }

    /** Begins to give all shards up. */
    drain(): void {
        this.membership.fire("drain");
        this.nextPresenceAt = 0;
    }

    /** Acts on the passing of time. @param now Time in ms. */
    tick(now: number): void {
        if (!this.session.isReady) {
            return;
        }
        this.renewPresence(now);
        this.judgePlacement(now);
        for (const shard of this.shards.values()) {
            this.judge(shard, now);
        }
        this.membership.fire("settled");
    }

    override claim(shard: ShardOwnership): void {
        const tenure = this.fold.tenure(shard.name);
        this.session.append({
            kind: "shard-claimed",
            shard: shard.name,
            instance: this.identity.instance,
            seenEpoch: tenure.epoch,
            seenRenewal: tenure.renewal,
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

    override changed(shard: ShardOwnership, from: OwnershipState, now: number): void {
        this.changes.fire({ shard, from, now });
    }

    private renewPresence(now: number): void {
        // A record that a snapshot skipped is never read back.
        if (this.session.backlog === 0 && now > (this.presenceAskedAt ?? now) + OWNERSHIP_LEASE_MS) {
            this.presenceAskedAt = undefined;
        }
        if (now < this.nextPresenceAt || this.presenceAskedAt !== undefined || !this.isMember) {
            return;
        }
        this.presenceAskedAt = now;
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

    private judgePlacement(now: number): void {
        const serving = this.live(now).filter(each => each.phase === "serving");
        const regions = new Set(this.plan.map(each => each.region));
        for (const region of regions) {
            const local = serving.filter(each => each.region === region);
            const members = (local.length > 0 ? local : serving).map(each => each.instance).sort();
            const names = this.plan.filter(each => each.region === region).map(each => each.name);
            const assigned = assignBalanced(names, members);
            for (const name of names) {
                this.notePreferred(this.get(name), assigned.get(name), now);
            }
        }
    }

    private notePreferred(shard: ShardOwnership, member: string | undefined, now: number): void {
        shard.preferred = member === this.identity.instance;
        const misplaced = member !== undefined && !shard.preferred;
        shard.misplacedSince = misplaced ? (shard.misplacedSince ?? now) : undefined;
    }

    private judge(shard: ShardOwnership, now: number): void {
        if (this.isVacant(shard)) {
            shard.fire("vacant", now);
        }
        if (now >= shard.lease.endsAt + HOLDOVER_MS) {
            shard.fire("holdover-over", now);
        } else if (!shard.lease.isHeld(now)) {
            shard.fire("lease-stale", now);
        } else {
            shard.fire("lease-renewed", now);
        }
        const misplacedFor = shard.misplacedSince === undefined ? 0 : now - shard.misplacedSince;
        if (misplacedFor > REBALANCE_DELAY_MS || this.membership.phase === "draining") {
            shard.fire("give-up", now);
        }
    }

    /** A shard is vacant once its owner released it, or once all that was appended lately holds no renewal. */
    private isVacant(shard: ShardOwnership): boolean {
        if (!this.session.isCurrent || this.membership.phase === "draining") {
            return false;
        }
        const tenure = this.fold.tenure(shard.name);
        const covered = this.session.coveredUntil;
        if (tenure.phase === "released") {
            return covered > this.firstCurrentAt() + SETTLE_MS;
        }
        const local = shard.region === this.identity.region;
        const silence = local ? OWNERSHIP_LEASE_MS : OWNERSHIP_LEASE_MS + HOLDOVER_MS;
        return covered > Lease.observedEnd(this.renewalSeen(shard), silence);
    }

    /** An owner whose renewals were all read before this instance was current counts as heard of then. */
    private renewalSeen(shard: ShardOwnership): number {
        return Math.max(shard.renewalSeenAt, this.firstCurrentAt());
    }

    private firstCurrentAt(): number {
        return this.seenAt.get(this.identity.instance) === undefined ? Number.POSITIVE_INFINITY : this.joinedAt;
    }

    private onApplied(applied: AppliedBatch<OwnershipEntry>): void {
        const { placed, counted, now } = applied;
        for (const entry of placed.batch.entries) {
            this.note(entry, placed.offset, counted, now);
        }
        for (const shard of this.shards.values()) {
            this.noteSuperseded(shard, now);
        }
        this.noteEnded(now);
    }

    private noteEnded(now: number): void {
        const members = new Set(this.fold.instances.keys());
        for (const instance of this.members) {
            if (!members.has(instance)) {
                this.gone.fire({ instance, now });
            }
        }
        this.members = members;
    }

    private note(entry: OwnershipEntry, offset: Offset, counted: boolean, now: number): void {
        if (!counted) {
            return;
        }
        switch (entry.kind) {
            case "instance-present":
                this.seenAt.set(entry.instance, now);
                entry.holdings.forEach(holding => this.noteRenewal(holding.shard, offset, now));
                if (entry.instance === this.identity.instance) {
                    this.noteOwnPresence(offset, now);
                }
                return;
            case "shard-claimed":
                return this.noteClaim(entry, offset, now);
            case "shard-released":
                this.noteRenewal(entry.shard, offset, now);
                if (entry.instance === this.identity.instance) {
                    this.shards.get(entry.shard)?.fire("released", now);
                }
                return;
            case "instance-gone":
                this.seenAt.delete(entry.instance);
                return;
            case "snapshot-taken":
                return;
        }
    }

    private noteRenewal(name: string, offset: Offset, now: number): void {
        const shard = this.shards.get(name);
        if (shard !== undefined && this.fold.tenure(name).renewal === offset) {
            shard.renewalSeenAt = now;
        }
    }

    private noteOwnPresence(offset: Offset, now: number): void {
        const askedAt = this.presenceAskedAt ?? now;
        this.presenceAskedAt = undefined;
        this.joinedAt = Math.min(this.joinedAt, now);
        for (const shard of this.shards.values()) {
            if (shard.isHeld && this.fold.tenure(shard.name).renewal === offset) {
                shard.extend(Lease.create(askedAt, OWNERSHIP_LEASE_MS));
            }
        }
    }

    private noteClaim(entry: ShardClaimed, offset: Offset, now: number): void {
        const shard = this.shards.get(entry.shard);
        if (shard === undefined) {
            return;
        }
        const won = this.fold.tenure(entry.shard).epoch === offset;
        if (won && entry.instance === this.identity.instance) {
            shard.authorityEndsAt = this.authorityEnd(shard, entry, now);
            shard.epoch = offset;
            shard.extend(Lease.create(shard.claimedAt, OWNERSHIP_LEASE_MS));
            shard.fire("claim-won", now);
        } else if (entry.instance === this.identity.instance) {
            shard.fire("claim-lost", now);
        }
        if (won) {
            shard.renewalSeenAt = now;
        }
    }

    /** The earlier owner acts until its holdover is over, unless it gave the shard up. */
    private authorityEnd(shard: ShardOwnership, entry: ShardClaimed, now: number): number {
        if (entry.seenEpoch < 0) {
            return now;
        }
        const release = this.releases.get(entry.shard);
        if (release?.epoch === entry.seenEpoch) {
            return Math.max(now, release.authorityEndsAt);
        }
        return Lease.observedEnd(this.renewalSeen(shard), OWNERSHIP_LEASE_MS + HOLDOVER_MS);
    }

    private noteSuperseded(shard: ShardOwnership, now: number): void {
        const tenure = this.fold.tenure(shard.name);
        if (tenure.phase === "released" && this.releases.get(shard.name)?.epoch !== tenure.epoch) {
            const authorityEndsAt = Lease.observedEnd(now, tenure.authorityMs);
            this.releases.set(shard.name, { epoch: tenure.epoch, authorityEndsAt });
        }
        const lost = tenure.epoch !== shard.epoch || (tenure.phase === "released" && shard.state !== "releasing");
        if (shard.epoch >= 0 && lost) {
            shard.fire("superseded", now);
        }
    }

    /** Whether the instance still renews itself. */
    private get isMember(): boolean {
        return this.membership.state === "serving" || this.membership.state === "leaving";
    }

    private hasNothing(): boolean {
        const idle = [...this.shards.values()].every(shard => shard.state === "watching" || shard.state === "claiming");
        return idle && this.source.isIdle() && this.presenceAskedAt === undefined;
    }

    private sayFarewell(): void {
        const { instance } = this.identity;
        this.session.append({ kind: "instance-gone", instance }, () => this.membership.fire("said"));
    }
}
