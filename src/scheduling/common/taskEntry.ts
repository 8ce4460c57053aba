import { GrantLimit } from "../../coordination/common/grant";
import { SnapshotTaken } from "../../coordination/common/snapshot";
import { AttemptOutcome, Epoch } from "../../services/common/worker";

/** How soon a task must start. */
export type Urgency = "urgent" | "normal";

/** Whether running a task a second time is harmless. */
export type Idempotency = "idempotent" | "non-idempotent";

/** Resources that a task declares or that are reserved for it. */
export interface TaskSize {
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** A batch task as a caller submits it. */
export interface TaskRequest extends TaskSize {
    /** The caller's idempotency key; it names the task. */
    readonly key: string;
    readonly team: string;
    /** Tasks of one family behave alike; usage and interference are learnt by family. */
    readonly family: string;
    readonly urgency: Urgency;
    readonly idempotency: Idempotency;
    /** Declared run time in ms. */
    readonly durationMs: number;
    /** Time by which it must be finished, in ms since the Unix epoch; 0 without one. */
    readonly dueAt: number;
    readonly payload: string;
}

/** A task was submitted. */
export interface TaskSubmitted extends TaskRequest {
    readonly kind: "task-submitted";
    /** Time of submission, in ms since the Unix epoch. */
    readonly submittedAt: number;
}

/** A caller asked for a task to be cancelled. */
export interface TaskCancelled {
    readonly kind: "task-cancelled";
    readonly key: string;
}

/** The owner with this epoch has taken office: records of earlier owners that follow are void. */
export interface ShardFenced {
    readonly kind: "shard-fenced";
    readonly epoch: Epoch;
    readonly instance: string;
}

/** The owner gave a task to a worker. */
export interface TaskAssigned extends TaskSize {
    readonly kind: "task-assigned";
    readonly epoch: Epoch;
    readonly task: number;
    readonly attempt: number;
    readonly worker: string;
    /** Boot of the worker that the attempt is meant for; no other boot starts it. */
    readonly boot: string;
}

/** How an attempt ended, as the owner concluded. `lost`: it may have run to some point, and certainly is over. */
export type AttemptEnd = AttemptOutcome | "lost" | "never-started";

/** An attempt is over. */
export interface AttemptEnded {
    readonly kind: "attempt-ended";
    readonly epoch: Epoch;
    readonly task: number;
    readonly attempt: number;
    readonly end: AttemptEnd;
    readonly result: string;
    readonly checkpoint: string;
}

/** The owner refused a task that can never run. */
export interface TaskRefused {
    readonly kind: "task-refused";
    readonly epoch: Epoch;
    readonly task: number;
    readonly reason: string;
}

/** Slots of one worker that are set apart for services. */
export interface ServiceShare {
    readonly worker: string;
    readonly slots: number;
}

/** The owner set the slots that services may use. Grants never exceed them, batch tasks never enter them. */
export interface SharesSet {
    readonly kind: "shares-set";
    readonly epoch: Epoch;
    readonly shares: readonly ServiceShare[];
}

/** The owner limited what instances may be granted. Grants are given out of the log, but never beyond this. */
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
