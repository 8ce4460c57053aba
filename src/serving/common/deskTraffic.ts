import { TicketObject } from "../../coordination/common/ticketEntry";
import { ObjectInForce, TicketVerdict } from "../../coordination/common/ticketFold";
import { AuditEntry } from "../../scheduling/common/auditEntry";
import { TaskRequest } from "../../scheduling/common/taskEntry";
import { TaskReply } from "./peerTraffic";

/** A ticket as an operator files it. */
export interface TicketDraft {
    readonly number: number;
    readonly basedOn: number;
    readonly author: string;
    readonly reason: string;
    readonly objects: readonly TicketObject[];
}

/** Wishes of callers and operators. `id` numbers the wish that the reply answers. */
export type DeskEvent =
    | { readonly kind: "task-submit"; readonly id: number; readonly request: TaskRequest }
    | { readonly kind: "task-show"; readonly id: number; readonly key: string }
    | { readonly kind: "task-list"; readonly id: number }
    | { readonly kind: "task-cancel"; readonly id: number; readonly key: string }
    | { readonly kind: "ticket-file"; readonly id: number; readonly draft: TicketDraft }
    | { readonly kind: "ticket-list"; readonly id: number }
    | { readonly kind: "in-force-show"; readonly id: number }
    | { readonly kind: "status-show"; readonly id: number }
    | { readonly kind: "audit-show"; readonly id: number; readonly name: string };

/** An instance with the ticket that it has in force. */
export interface InstanceInForce {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly phase: string;
    readonly ticket: number;
}

/** A shard with its owner. */
export interface ShardStatus {
    readonly shard: string;
    readonly region: string;
    readonly owner: string;
    readonly epoch: number;
    /** Part of the answering instance. */
    readonly state: string;
    readonly workers: number;
    readonly queued: number;
    readonly running: number;
}

/** State of a log session. */
export interface StreamStatus {
    readonly stream: string;
    readonly state: string;
    readonly next: number;
    /** Time since everything appended was known to have been read, in ms. */
    readonly staleMs: number;
}

/** Answers to wishes. */
export type DeskReply =
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

/** Hands an answer to whoever wished. */
export interface ApiEffect {
    readonly kind: "desk-reply";
    readonly id: number;
    readonly reply: DeskReply;
}
