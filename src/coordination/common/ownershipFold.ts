import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { EntryPosition, Fold } from "./fold";
import { Holding, InstancePhase, InstancePresent, OwnershipEntry, ShardClaimed, ShardReleased } from "./ownershipEntry";

/** Offsets after which an instance that has not been heard of is forgotten. */
const INSTANCE_RETENTION_OFFSETS = 5_000;

/** The ownership of one shard as the log's order decides it. */
export interface ShardTenure {
    readonly owner: string;
    readonly epoch: Epoch;
    /** Offset of the claim or the latest renewal. */
    readonly renewal: Offset;
    readonly phase: "held" | "released";
    readonly snapshotNext: Offset;
    /** Time after a release for which owners before the last one may still be renewing, in ms. */
    readonly authorityMs: number;
}

/** An instance as the log knows it. */
export interface InstanceRecord {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly phase: InstancePhase;
    readonly ticket: number;
    readonly offset: Offset;
}

const NEVER_OWNED: ShardTenure = {
    owner: "",
    epoch: -1,
    renewal: -1,
    phase: "released",
    snapshotNext: 0,
    authorityMs: 0,
};

interface SavedState {
    readonly shards: readonly (readonly [string, ShardTenure])[];
    readonly instances: readonly InstanceRecord[];
}

/** Who owns which shard, and which instances there are. */
export class OwnershipFold extends Fold<OwnershipEntry> {
    override readonly format: string = "1.0.0";
    private shards = new Map<string, ShardTenure>();
    private members = new Map<string, InstanceRecord>();

    private constructor() {
        super();
    }

    /** @returns The state before offset 0. */
    static create(): OwnershipFold {
        return new OwnershipFold();
    }

    /** @param shard Name of a shard. @returns Its ownership; epoch -1 when it never had an owner. */
    tenure(shard: string): ShardTenure {
        return this.shards.get(shard) ?? NEVER_OWNED;
    }

    /** All instances that have not said that they are gone. */
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
            // Two processes cannot have one address: the one before can reach nobody any more.
            const replaced = member.address === entry.address && name !== entry.instance;
            if (replaced || member.offset < offset - INSTANCE_RETENTION_OFFSETS) {
                this.members.delete(name);
            }
        }
    }

    private renewShard(instance: string, holding: Holding, offset: Offset): void {
        const tenure = this.tenure(holding.shard);
        // A renewal of what another instance has claimed since is void.
        if (tenure.phase === "held" && tenure.owner === instance && tenure.epoch === holding.epoch) {
            this.shards.set(holding.shard, { ...tenure, renewal: offset, snapshotNext: holding.snapshotNext });
        }
    }

    private claim(entry: ShardClaimed, offset: Offset): void {
        const tenure = this.tenure(entry.shard);
        if (tenure.epoch !== entry.seenEpoch || tenure.renewal !== entry.seenRenewal) {
            return;
        }
        this.shards.set(entry.shard, {
            owner: entry.instance,
            epoch: offset,
            renewal: offset,
            phase: "held",
            snapshotNext: tenure.snapshotNext,
            authorityMs: 0,
        });
    }

    private release(entry: ShardReleased, offset: Offset): void {
        const tenure = this.tenure(entry.shard);
        if (tenure.phase === "held" && tenure.owner === entry.instance && tenure.epoch === entry.epoch) {
            this.shards.set(entry.shard, {
                ...tenure,
                phase: "released",
                renewal: offset,
                snapshotNext: entry.snapshotNext,
                authorityMs: entry.authorityMs,
            });
        }
    }
}
