import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { SnapshotTaken } from "./snapshot";

/** A shard that an instance says it owns. */
export interface Holding {
    readonly shard: string;
    readonly epoch: Epoch;
    /** Offset in the shard's stream up to which its newest snapshot goes. */
    readonly snapshotNext: Offset;
}

/** Whether an instance takes on shards or is shutting down. */
export type InstancePhase = "serving" | "draining";

/** Says that an instance lives, and renews its leases of the shards that it owns. */
export interface InstancePresent {
    readonly kind: "instance-present";
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly phase: InstancePhase;
    /** Number of the ticket in force on the instance. */
    readonly ticket: number;
    readonly holdings: readonly Holding[];
}

/** Says that an instance has ended. */
export interface InstanceGone {
    readonly kind: "instance-gone";
    readonly instance: string;
}

/** Claims a shard. It is void unless the shard is as the claimant saw it; its offset becomes the epoch. */
export interface ShardClaimed {
    readonly kind: "shard-claimed";
    readonly shard: string;
    readonly instance: string;
    readonly seenEpoch: Epoch;
    readonly seenRenewal: Offset;
}

/** Gives a shard up. */
export interface ShardReleased {
    readonly kind: "shard-released";
    readonly shard: string;
    readonly instance: string;
    readonly epoch: Epoch;
    readonly snapshotNext: Offset;
    /** Time for which owners before this one may still be renewing what they granted, in ms. */
    readonly authorityMs: number;
}

/** Entries of the ownership stream. */
export type OwnershipEntry = InstancePresent | InstanceGone | ShardClaimed | ShardReleased | SnapshotTaken;
