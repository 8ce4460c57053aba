import { TicketObject } from "../../coordination/common/ticketEntry";
import { ObjectInForce, TicketVerdict } from "../../coordination/common/ticketFold";
import { AuditEntry } from "../../scheduling/common/auditEntry";
import { TaskRequest } from "../../scheduling/common/taskEntry";
import { TaskReply } from "./peerMessages";

/** A ticket as submitted by an operator. */
export interface TicketDraft {
    readonly number: number;
    readonly basedOn: number;
    readonly author: string;
    readonly reason: string;
    readonly objects: readonly TicketObject[];
}

/** API requests of callers and operators. The reply carries the same `id`. */
export type ApiRequest =
    | { readonly kind: "task-submit"; readonly id: number; readonly request: TaskRequest }
    | { readonly kind: "task-show"; readonly id: number; readonly key: string }
    | { readonly kind: "task-list"; readonly id: number }
    | { readonly kind: "task-cancel"; readonly id: number; readonly key: string }
    | { readonly kind: "ticket-file"; readonly id: number; readonly draft: TicketDraft }
    | { readonly kind: "ticket-list"; readonly id: number }
    | { readonly kind: "in-force-show"; readonly id: number }
    | { readonly kind: "status-show"; readonly id: number }
    | { readonly kind: "audit-show"; readonly id: number; readonly name: string };

/** An instance and the number of the ticket in force on it. */
export interface InstanceInForce {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly phase: string;
    readonly ticket: number;
}

/** Status of a shard. */
export interface ShardStatus {
    readonly shard: string;
    readonly region: string;
    readonly owner: string;
    readonly epoch: number;
    /** Ownership state on the instance that replies. */
    readonly state: string;
    readonly workers: number;
    readonly queued: number;
    readonly running: number;
}

/** Status of a log session. */
export interface StreamStatus {
    readonly stream: string;
    readonly state: string;
    readonly next: number;
    /** Time since the session last read up to the head of the stream, in ms; -1 if it never did. */
    readonly staleMs: number;
}

/** Replies to API requests. */
export type ApiReply =
    | { readonly kind: "task-accepted"; readonly key: string; readonly shard: string }
    | { readonly kind: "task-status"; readonly outcome: "done" | "not-run" | "unknown"; readonly task: TaskReply }
    | { readonly kind: "task-listing"; readonly tasks: readonly TaskReply[]; readonly unanswered: readonly string[] }
    | { readonly kind: "ticket-verdict"; readonly verdict: TicketVerdict }
    | { readonly kind: "ticket-listing"; readonly verdicts: readonly TicketVerdict[] }
    | {
          readonly kind: "in-force";
          readonly ticket: number;
          readonly offset: number;
          readonly staleMs: number;
          readonly objects: readonly ObjectInForce[];
          readonly instances: readonly InstanceInForce[];
      }
    | {
          readonly kind: "status";
          readonly instance: string;
          readonly phase: string;
          readonly streams: readonly StreamStatus[];
          readonly shards: readonly ShardStatus[];
          readonly openRequests: number;
          readonly violations: Readonly<Record<string, number>>;
      }
    | {
          readonly kind: "audit-listing";
          readonly entries: readonly AuditEntry[];
          readonly unanswered: readonly string[];
      }
    | { readonly kind: "not-found"; readonly message: string }
    | { readonly kind: "not-run"; readonly message: string; readonly retryAfterMs: number }
    | { readonly kind: "unknown"; readonly message: string };

/** Sends the reply to an API request. */
export interface ApiEffect {
    readonly kind: "api-reply";
    readonly id: number;
    readonly reply: ApiReply;
}
