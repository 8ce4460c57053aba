import { FenceAsk, FenceReply, GrantAsk, GrantReply } from "../../coordination/common/grant";
import { AuditEntry } from "../../scheduling/common/auditEntry";

/** Asks for the state of a stream, for an instance that cannot read it from the log. */
export interface StateAsk {
    readonly kind: "state-ask";
    readonly stream: string;
}

/** State of a stream. */
export interface StateReply {
    readonly kind: "state-reply";
    readonly stream: string;
    readonly next: number;
    readonly format: string;
    readonly image: string;
}

/** Asks the owner of a shard for a task. */
export interface TaskAsk {
    readonly kind: "task-ask";
    readonly shard: string;
    readonly key: string;
}

/** A task as its owner knows it; the state is empty when the key is not known. */
export interface TaskReply {
    readonly kind: "task-reply";
    readonly key: string;
    readonly state: string;
    readonly result: string;
    readonly attempts: number;
    readonly evictions: number;
    readonly worker: string;
    readonly waitReason: string;
}

/** Asks the owner of a shard for its tasks. */
export interface TaskListAsk {
    readonly kind: "task-list-ask";
    readonly shard: string;
}

/** The latest tasks of a shard. */
export interface TaskListReply {
    readonly kind: "task-list-reply";
    readonly tasks: readonly TaskReply[];
}

/** Asks for the decisions about one subject; an empty name asks for the latest of all. */
export interface ReportAsk {
    readonly kind: "report-ask";
    readonly name: string;
}

/** Decisions that an instance took. */
export interface ReportReply {
    readonly kind: "report-reply";
    readonly entries: readonly AuditEntry[];
}

/** The question cannot be answered here and now. */
export interface Unavailable {
    readonly kind: "unavailable";
    readonly reason: string;
}

/** Question of one instance to another. */
export type PeerAsk = GrantAsk | FenceAsk | StateAsk | TaskAsk | TaskListAsk | ReportAsk;

/** Answer of one instance to another. */
export type PeerReply = GrantReply | FenceReply | StateReply | TaskReply | TaskListReply | ReportReply | Unavailable;

/** What the loop learns from other instances. */
export type PeerEvent =
    | { readonly kind: "peer-asked"; readonly id: number; readonly from: string; readonly ask: PeerAsk }
    | { readonly kind: "peer-replied"; readonly call: number; readonly reply: PeerReply }
    | { readonly kind: "peer-failed"; readonly call: number };

/** What decisions ask of other instances. */
export type PeerEffect =
    | {
          readonly kind: "peer-ask";
          readonly call: number;
          readonly instance: string;
          readonly address: string;
          readonly ask: PeerAsk;
      }
    | { readonly kind: "peer-reply"; readonly id: number; readonly reply: PeerReply };
