import { GrantLimit } from "../../coordination/common/grant";
import { SnapshotTaken } from "../../coordination/common/snapshot";
import { AttemptOutcome, Epoch } from "../../services/common/worker";

/** How soon a task must start. */
export type Urgency = "urgent" | "normal";

/** Whether a task may safely run a second time. */
export type Idempotency = "idempotent" | "non-idempotent";

/** Resources that are declared by a task or reserved for it. */
export interface TaskSize {
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** A batch task as submitted. */
export interface TaskRequest extends TaskSize {
    /** The caller's idempotency key; it identifies the task. */
    readonly key: string;
    readonly team: string;
    /** Tasks of one family behave alike; usage and interference are estimated by family. */
    readonly family: string;
    readonly urgency: Urgency;
    readonly idempotency: Idempotency;
    /** Declared run time in ms. */
    readonly durationMs: number;
    /** Deadline, in ms since the Unix epoch; 0 without one. */
    readonly dueAt: number;
    readonly payload: string;
}

/** A task was submitted. */
export interface TaskSubmitted extends TaskRequest {
    readonly kind: "task-submitted";
    /** Time of submission, in ms since the Unix epoch. */
    readonly submittedAt: number;
}

/** A caller requested the cancellation of a task. */
export interface TaskCancelled {
    readonly kind: "task-cancelled";
    readonly key: string;
}

/** The owner with this epoch has taken over: later records of earlier owners have no effect. */
export interface ShardFenced {
    readonly kind: "shard-fenced";
    readonly epoch: Epoch;
    readonly instance: string;
}

/** The owner assigned a task to a worker. */
export interface TaskAssigned extends TaskSize {
    readonly kind: "task-assigned";
    readonly epoch: Epoch;
    readonly task: number;
    readonly attempt: number;
    readonly worker: string;
    /** Incarnation of the worker for which the attempt is intended; no other incarnation starts it. */
    readonly boot: string;
}

/** How an attempt ended, as determined by the owner. `lost`: it may have run in part, and is certainly not running. */
export type AttemptEnd = AttemptOutcome | "lost" | "never-started";

/** An attempt ended. */
export interface AttemptEnded {
    readonly kind: "attempt-ended";
    readonly epoch: Epoch;
    readonly task: number;
    readonly attempt: number;
    readonly end: AttemptEnd;
    readonly result: string;
    readonly checkpoint: string;
    /** Time for which the attempt was reported as running, in ms; undefined in records of earlier versions. */
    readonly workedMs?: number;
}

/** The owner refused a task that cannot run on any worker of the shard. */
export interface TaskRefused {
    readonly kind: "task-refused";
    readonly epoch: Epoch;
    readonly task: number;
    readonly reason: string;
}

/** Slots of one worker that are reserved for services. */
export interface ServiceShare {
    readonly worker: string;
    readonly slots: number;
}

/** The owner set the slots reserved for services. Grants never exceed them, and batch tasks never use them. */
export interface SharesSet {
    readonly kind: "shares-set";
    readonly epoch: Epoch;
    readonly shares: readonly ServiceShare[];
}

/** The owner limited the slots that instances may be granted. Grants are not logged, but never exceed these limits. */
export interface GrantsLimited {
    readonly kind: "grants-limited";
    readonly epoch: Epoch;
    readonly limits: readonly GrantLimit[];
}

/** Entries of a shard's stream. */
export type ShardEntry =
    | ShardFenced
    | TaskSubmitted
    | TaskCancelled
    | TaskAssigned
    | AttemptEnded
    | TaskRefused
    | SharesSet
    | GrantsLimited
    | SnapshotTaken;
