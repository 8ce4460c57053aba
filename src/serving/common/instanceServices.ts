import { Emitter } from "../../base/common/emitter";
import { Outbox } from "../../base/common/outbox";
import { GrantHoldings } from "../../coordination/common/grantHoldings";
import { LogSession } from "../../coordination/common/logSession";
import { OwnershipEntry } from "../../coordination/common/ownershipEntry";
import { OwnershipFold } from "../../coordination/common/ownershipFold";
import { InstanceIdentity, OwnershipManager, ShardPlan } from "../../coordination/common/ownershipManager";
import { TicketEntry } from "../../coordination/common/ticketEntry";
import { TicketFold } from "../../coordination/common/ticketFold";
import { AuditSource } from "./auditSource";
import { WorkerListing } from "../../services/common/instanceList";
import { RequestUsage } from "../../routing/common/requestUsage";
import { Directory } from "./directory";
import { InstanceEffect } from "./instanceEvents";
import { OWNERSHIP_STREAM, TICKET_STREAM } from "./logEntry";
import { PeerAsk, PeerReply } from "./peerMessages";
import { AuditSubject } from "../../scheduling/common/auditEntry";
import { ShardScheduler } from "../../scheduling/common/shardScheduler";
import { Task, TaskEvent } from "../../scheduling/common/task";
import { TicketConfig } from "./ticketConfig";

/** A change of a task, as the owner of its shard reads it from the log. */
export interface TaskChange {
    readonly shard: string;
    readonly task: Task;
    readonly event: TaskEvent;
}

/** Called with the reply of another instance; `undefined` if there was none. */
export type PeerListener = (reply: PeerReply | undefined, now: number) => void;

/** Replies to a request from this instance's own state; returns `undefined` for a request that it cannot answer. */
export type LocalResponder = (from: string, ask: PeerAsk, now: number) => PeerReply | undefined;

/** State and services that all features of an instance share. */
export class InstanceServices {
    readonly outbox = Outbox.create<InstanceEffect>();
    readonly ticketFold = TicketFold.create();
    readonly ownershipFold = OwnershipFold.create();
    readonly config = TicketConfig.create(this.ticketFold);
    readonly directory: Directory;
    /** Session of the ticket stream. */
    readonly tickets: LogSession<TicketEntry>;
    readonly ownershipSession: LogSession<OwnershipEntry>;
    /** Fires when the directory has been replaced by a new listing. */
    readonly directoryUpdated = Emitter.create<void>();
    /** Fires for every change of a task in the shards that this instance owns. */
    readonly taskChanged = Emitter.create<TaskChange>();
    /** Schedulers of the shards that this instance owns. */
    shardSchedulers: ReadonlyMap<string, ShardScheduler> = new Map();
    /** For each shard that this instance owns, a function that returns the offset after its newest snapshot. */
    readonly snapshotOffsets = new Map<string, () => number>();
    readonly localResponders: LocalResponder[] = [];
    readonly ownership: OwnershipManager;
    /** Latest decisions of this instance; not set until the process has started its performers. */
    auditSource: AuditSource | undefined;
    /** Slots of workers that shard owners have granted to this instance. */
    holdings: GrantHoldings | undefined;
    /** Slots that callers' requests use and demand. */
    requestUsage: RequestUsage | undefined;
    /** Whether the instance is shutting down. */
    isStopping = false;
    private readonly peerListeners = new Map<number, PeerListener>();
    private callCount = 0;

    private constructor(
        readonly identity: InstanceIdentity,
        readonly plan: readonly ShardPlan[],
    ) {
        this.directory = Directory.create(plan);
        this.tickets = LogSession.create<TicketEntry>(
            TICKET_STREAM,
            identity.instance,
            this.ticketFold,
            0,
            this.outbox,
        );
        this.ownershipSession = LogSession.create<OwnershipEntry>(
            OWNERSHIP_STREAM,
            identity.instance,
            this.ownershipFold,
            0,
            this.outbox,
        );
        this.ownership = OwnershipManager.create(identity, plan, this.ownershipFold, this.ownershipSession, {
            ticketNumber: () => this.ticketFold.latestNumber,
            snapshotNext: shard => this.snapshotOffsets.get(shard)?.() ?? 0,
            isIdle: () => this.openRequests === 0,
        });
    }

    /**
     * @param identity Name, address and location of the instance.
     * @param plan All shards; must be the same on every instance.
     * @returns The services, with closed log sessions.
     */
    static create(identity: InstanceIdentity, plan: readonly ShardPlan[]): InstanceServices {
        return new InstanceServices(identity, plan);
    }

    /** Number of requests without a response, including abandoned ones that may still be running. */
    get openRequests(): number {
        return this.requestUsage?.openCount ?? 0;
    }

    /** @param now Time in ms. @returns Whether this instance has slots for every service that runs on a live worker. */
    canServe(now: number): boolean {
        const slots = (host: WorkerListing) =>
            this.holdings?.slots(this.directory.shardOfWorker(host), host.id, now) ?? 0;
        return [...this.directory.services()]
            .map(service => this.directory.hosts(service).filter(host => host.availability === "live"))
            .every(hosts => hosts.length === 0 || hosts.some(host => slots(host) > 0));
    }

    /** Adds a decision to the audit trail. */
    audit(subject: AuditSubject, name: string, action: string, reason: string): void {
        const { instance } = this.identity;
        this.outbox.emit({ kind: "audit", entry: { subject, name, action, reason, at: Date.now(), instance } });
    }

    /** Sends a request to an instance; one to this instance is answered directly. @param now Time in ms. */
    callPeer(instance: string, address: string, ask: PeerAsk, now: number, listener: PeerListener): void {
        if (instance === this.identity.instance) {
            listener(this.respond(instance, ask, now), now);
            return;
        }
        this.callCount += 1;
        this.peerListeners.set(this.callCount, listener);
        this.outbox.emit({ kind: "peer-ask", call: this.callCount, instance, address, ask });
    }

    /** Completes a call. @param call Number of the call. @param reply The reply; `undefined` if there was none. */
    completeCall(call: number, reply: PeerReply | undefined, now: number): void {
        const listener = this.peerListeners.get(call);
        this.peerListeners.delete(call);
        listener?.(reply, now);
    }

    /** @returns This instance's reply to a request. */
    respond(from: string, ask: PeerAsk, now: number): PeerReply {
        for (const responder of this.localResponders) {
            const reply = responder(from, ask, now);
            if (reply !== undefined) {
                return reply;
            }
        }
        return { kind: "unavailable", reason: `${ask.kind} cannot be answered now` };
    }
}
