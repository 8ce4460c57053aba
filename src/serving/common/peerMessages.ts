import { FenceAsk, FenceReply, GrantAsk, GrantReply } from "../../coordination/common/grant";
import { AuditEntry } from "../../scheduling/common/auditEntry";

/** Requests the state of a stream, sent by an instance that cannot read it from the log. */
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

/** Requests a task from the owner of its shard. */
export interface TaskAsk {
    readonly kind: "task-ask";
    readonly shard: string;
    readonly key: string;
}

/** State of a task at the owner of its shard; `state` is empty if the key is unknown. */
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

/** Requests the tasks of a shard from its owner. */
export interface TaskListAsk {
    readonly kind: "task-list-ask";
    readonly shard: string;
}

/** The latest tasks of a shard. */
export interface TaskListReply {
    readonly kind: "task-list-reply";
    readonly tasks: readonly TaskReply[];
}

/** Requests the audit entries of one subject; an empty name requests the latest of all subjects. */
export interface ReportAsk {
    readonly kind: "report-ask";
    readonly name: string;
}

/** Audit entries of one instance. */
export interface ReportReply {
    readonly kind: "report-reply";
    readonly entries: readonly AuditEntry[];
}

/** The instance cannot answer the request at the moment. */
export interface Unavailable {
    readonly kind: "unavailable";
    readonly reason: string;
}

/** Request from one instance to another. */
export type PeerAsk = GrantAsk | FenceAsk | StateAsk | TaskAsk | TaskListAsk | ReportAsk;

/** Reply of one instance to another. */
export type PeerReply = GrantReply | FenceReply | StateReply | TaskReply | TaskListReply | ReportReply | Unavailable;

/** Events from other instances. */
export type PeerEvent =
    | { readonly kind: "peer-asked"; readonly id: number; readonly from: string; readonly ask: PeerAsk }
    | { readonly kind: "peer-replied"; readonly call: number; readonly reply: PeerReply }
    | { readonly kind: "peer-failed"; readonly call: number };

/** Messages to send to other instances. */
export type PeerEffect =
    | {
          readonly kind: "peer-ask";
          readonly call: number;
          readonly instance: string;
          readonly address: string;
          readonly ask: PeerAsk;
      }
    | { readonly kind: "peer-reply"; readonly id: number; readonly reply: PeerReply };
