import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { SnapshotTaken } from "./snapshot";

/** A shard that an instance reports as owned. */
export interface Holding {
    readonly shard: string;
    readonly epoch: Epoch;
    /** Offset after the last record that the newest snapshot of the shard's stream includes. */
    readonly snapshotNext: Offset;
}

/** Whether an instance may claim shards or is shutting down. */
export type InstancePhase = "serving" | "draining";

/** Reports that an instance is alive, and renews its leases of the shards that it owns. */
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

/** Reports that an instance has ended. */
export interface InstanceGone {
    readonly kind: "instance-gone";
    readonly instance: string;
}

/** Claims a shard; its offset becomes the epoch. Void if the epoch or renewal differs from what the claimant saw. */
export interface ShardClaimed {
    readonly kind: "shard-claimed";
    readonly shard: string;
    readonly instance: string;
    readonly seenEpoch: Epoch;
    readonly seenRenewal: Offset;
}

/** Releases a shard. */
export interface ShardReleased {
    readonly kind: "shard-released";
    readonly shard: string;
    readonly instance: string;
    readonly epoch: Epoch;
    readonly snapshotNext: Offset;
    /** Time for which earlier owners may still renew leases and grants, in ms. */
    readonly authorityMs: number;
}

/** Entries of the ownership stream. */
export type OwnershipEntry = InstancePresent | InstanceGone | ShardClaimed | ShardReleased | SnapshotTaken;
