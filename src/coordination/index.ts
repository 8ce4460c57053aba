/**
 * Coordination components for embedding: state folded from an append-only log, shard ownership by leases that the
 * order of the log decides, tickets, grants and snapshots. Nothing here does input or output.
 * @packageDocumentation
 */
export { Appender } from "./common/appender";
export type { AppendState, DurableListener, Withdrawal } from "./common/appender";
export { withDrift } from "./common/duration";
export { Fold, MAX_BATCH_ENTRIES } from "./common/fold";
export type { EntryPosition, FoldImage } from "./common/fold";
export type { FenceAsk, FenceReply, Grant, GrantAsk, GrantLimit, GrantReply } from "./common/grant";
export { GRANT_LEASE_MS } from "./common/grant";
export { GrantHoldings } from "./common/grantHoldings";
export { GrantTable } from "./common/grantTable";
export { Lease } from "./common/lease";
export { LogSession } from "./common/logSession";
export type { AppliedBatch, LogSessionState } from "./common/logSession";
export type { OwnershipEntry } from "./common/ownershipEntry";
export { OwnershipFold } from "./common/ownershipFold";
export type { InstanceRecord, ShardOwner } from "./common/ownershipFold";
export { HOLDOVER_MS, OWNERSHIP_LEASE_MS, OwnershipManager, PresenceSource } from "./common/ownershipManager";
export type { InstanceIdentity, OwnershipChange, ShardPlan } from "./common/ownershipManager";
export { assignBalanced, bucketOf } from "./common/rendezvous";
export { Replica } from "./common/replica";
export type { ReplicaImage, ReplicaState } from "./common/replica";
export { ShardOwnership } from "./common/shardOwnership";
export type { OwnershipState } from "./common/shardOwnership";
export { isCompatible } from "./common/snapshot";
export type { SnapshotTaken } from "./common/snapshot";
export type { TicketEntry, TicketFiled, TicketObject } from "./common/ticketEntry";
export { TicketFold } from "./common/ticketFold";
export type { ObjectInForce, TicketState, TicketVerdict } from "./common/ticketFold";
export { Outbox } from "../base/common/outbox";
export type { Batch, LogEffect, LogEvent, PlacedBatch } from "../services/common/logEvents";
