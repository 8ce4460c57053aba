import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { EntryPosition, Fold } from "./fold";
import { Holding, InstancePhase, InstancePresent, OwnershipEntry, ShardClaimed, ShardReleased } from "./ownershipEntry";

/** Number of offsets without a presence entry after which an instance is removed. */
const INSTANCE_RETENTION_OFFSETS = 5_000;

/** The ownership of one shard according to the log. */
export interface ShardOwner {
    readonly owner: string;
    readonly epoch: Epoch;
    /** Offset of the claim or the latest renewal. */
    readonly renewal: Offset;
    readonly phase: "held" | "released";
    readonly snapshotNext: Offset;
    /** Time after a release for which owners before the last one may still renew leases and grants, in ms. */
    readonly authorityMs: number;
}

/** An instance according to its latest presence entry in the log. */
export interface InstanceRecord {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly phase: InstancePhase;
    readonly ticket: number;
    readonly offset: Offset;
}

const NEVER_OWNED: ShardOwner = {
    owner: "",
    epoch: -1,
    renewal: -1,
    phase: "released",
    snapshotNext: 0,
    authorityMs: 0,
};

interface SavedState {
    readonly shards: readonly (readonly [string, ShardOwner])[];
    readonly instances: readonly InstanceRecord[];
}

/** The owners of the shards and the known instances. */
export class OwnershipFold extends Fold<OwnershipEntry> {
    override readonly format: string = "1.0.0";
    private shards = new Map<string, ShardOwner>();
    private members = new Map<string, InstanceRecord>();

    private constructor() {
        super();
    }

    /** @returns The state before offset 0. */
    static create(): OwnershipFold {
        return new OwnershipFold();
    }

    /** @param shard Name of a shard. @returns Its ownership; epoch -1 when it never had an owner. */
    ownership(shard: string): ShardOwner {
        return this.shards.get(shard) ?? NEVER_OWNED;
    }

    /** Instances by name, without those that have ended, were replaced at their address or were silent for too long. */
    get instances(): ReadonlyMap<string, InstanceRecord> {
        return this.members;
    }

    protected override apply(entry: OwnershipEntry, position: EntryPosition): void {
        switch (entry.kind) {
            case "instance-present":
                return this.renew(entry, position.offset);
            case "instance-gone":
                this.members.delete(entry.instance);
                return;
            case "shard-claimed":
                return this.claim(entry, position.offset);
            case "shard-released":
                return this.release(entry, position.offset);
            case "snapshot-taken":
                return;
        }
    }

    protected override save(): SavedState {
        return { shards: [...this.shards], instances: [...this.members.values()] };
    }

    protected override load(state: unknown): void {
        const saved = state as SavedState;
        this.shards = new Map(saved.shards);
        this.members = new Map(saved.instances.map(each => [each.instance, each]));
    }

    private renew(entry: InstancePresent, offset: Offset): void {
        const { kind: _kind, holdings, ...rest } = entry;
        this.members.set(entry.instance, { ...rest, offset });
        for (const holding of holdings) {
            this.renewShard(entry.instance, holding, offset);
        }
        for (const [name, member] of this.members) {
            // Two processes cannot share an address, so the earlier instance has ended.
            const isReplaced = member.address === entry.address && name !== entry.instance;
            if (isReplaced || member.offset < offset - INSTANCE_RETENTION_OFFSETS) {
                this.members.delete(name);
            }
        }
    }

    private renewShard(instance: string, holding: Holding, offset: Offset): void {
        const current = this.ownership(holding.shard);
        // A renewal is void if another instance has claimed the shard since.
        if (current.phase === "held" && current.owner === instance && current.epoch === holding.epoch) {
            this.shards.set(holding.shard, { ...current, renewal: offset, snapshotNext: holding.snapshotNext });
        }
    }

    private claim(entry: ShardClaimed, offset: Offset): void {
        const current = this.ownership(entry.shard);
        if (current.epoch !== entry.seenEpoch || current.renewal !== entry.seenRenewal) {
            return;
        }
        this.shards.set(entry.shard, {
            owner: entry.instance,
            epoch: offset,
            renewal: offset,
            phase: "held",
            snapshotNext: current.snapshotNext,
            authorityMs: 0,
        });
    }

    private release(entry: ShardReleased, offset: Offset): void {
        const current = this.ownership(entry.shard);
        if (current.phase === "held" && current.owner === entry.instance && current.epoch === entry.epoch) {
            this.shards.set(entry.shard, {
                ...current,
                phase: "released",
                renewal: offset,
                snapshotNext: entry.snapshotNext,
                authorityMs: entry.authorityMs,
            });
        }
    }
}
