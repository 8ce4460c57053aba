import { Emitter } from "../../base/common/emitter";
import { Outbox } from "../../base/common/outbox";
import { GrantHoldings } from "../../coordination/common/grantHoldings";
import { LogSession } from "../../coordination/common/logSession";
import { OwnershipEntry } from "../../coordination/common/ownershipEntry";
import { OwnershipFold } from "../../coordination/common/ownershipFold";
import { InstanceIdentity, OwnershipKeeper, ShardPlan } from "../../coordination/common/ownershipKeeper";
import { TicketEntry } from "../../coordination/common/ticketEntry";
import { TicketFold } from "../../coordination/common/ticketFold";
import { AuditSource } from "./auditSource";
import { WorkerListing } from "../../services/common/instanceList";
import { RequestUsage } from "../../routing/common/requestUsage";
import { Directory } from "./directory";
import { InstanceEffect } from "./instanceTraffic";
import { OWNERSHIP_STREAM, TICKET_STREAM } from "./logEntry";
import { PeerAsk, PeerReply } from "./peerTraffic";
import { AuditSubject } from "../../scheduling/common/auditEntry";
import { ShardKeeper } from "../../scheduling/common/shardKeeper";
import { Task, TaskEvent } from "../../scheduling/common/task";
import { TicketConfig } from "./ticketConfig";

/** A change of a task, as the owner of its shard reads it. */
export interface TaskChange {
    readonly shard: string;
    readonly task: Task;
    readonly event: TaskEvent;
}

/** Takes the answer of another instance; `undefined` when it did not answer. */
export type PeerListener = (reply: PeerReply | undefined, now: number) => void;

/** Questions of its own that an instance answers without asking anybody. */
export type LocalAnswer = (from: string, ask: PeerAsk, now: number) => PeerReply | undefined;

/** What all features of an instance share. */
export class InstanceServices {
    readonly outbox = Outbox.create<InstanceEffect>();
    readonly ticketFold = TicketFold.create();
    readonly ownershipFold = OwnershipFold.create();
    readonly config = TicketConfig.create(this.ticketFold);
    readonly directory: Directory;
    readonly tickets: LogSession<TicketEntry>;
    readonly ownershipSession: LogSession<OwnershipEntry>;
    readonly listed = Emitter.create<void>();
    readonly tasks = Emitter.create<TaskChange>();
    /** Keepers of the shards that this instance owns. */
    shards: ReadonlyMap<string, ShardKeeper> = new Map();
    readonly snapshotOffsets = new Map<string, () => number>();
    readonly localAnswers: LocalAnswer[] = [];
    readonly ownership: OwnershipKeeper;
    /** Latest decisions of this instance. */
    auditSource: AuditSource | undefined;
    /** Slots of other owners' workers that this instance may use. */
    holdings: GrantHoldings | undefined;
    /** What callers' requests use and want. */
    requests: RequestUsage | undefined;
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
        this.ownership = OwnershipKeeper.create(identity, plan, this.ownershipFold, this.ownershipSession, {
            ticketNumber: () => this.ticketFold.latestNumber,
            snapshotNext: shard => this.snapshotOffsets.get(shard)?.() ?? 0,
            isIdle: () => this.openRequests === 0,
        });
    }

    /**
     * @param identity Who the instance is.
     * @param plan All shards.
     * @returns The services, with closed log sessions.
     */
    static create(identity: InstanceIdentity, plan: readonly ShardPlan[]): InstanceServices {
        return new InstanceServices(identity, plan);
    }

    /** Number of requests that have no answer yet, or were given up and may still be running. */
    get openRequests(): number {
        return this.requests?.openCount ?? 0;
    }

    /** @param now Time in ms. @returns Whether callers of every service that runs somewhere can be served. */
    canServe(now: number): boolean {
        const slots = (host: WorkerListing) =>
            this.holdings?.slots(this.directory.shardOfWorker(host), host.id, now) ?? 0;
        return [...this.directory.services()]
            .map(service => this.directory.hosts(service).filter(host => host.availability === "live"))
            .every(hosts => hosts.length === 0 || hosts.some(host => slots(host) > 0));
    }

    /** Puts a decision into the audit trail. */
    audit(subject: AuditSubject, name: string, action: string, reason: string): void {
        const { instance } = this.identity;
        this.outbox.emit({ kind: "audit", entry: { subject, name, action, reason, at: Date.now(), instance } });
    }

    /** Asks another instance, or this one itself. @param now Time in ms. */
    ask(instance: string, address: string, ask: PeerAsk, now: number, listener: PeerListener): void {
        if (instance === this.identity.instance) {
            listener(this.answer(instance, ask, now), now);
            return;
        }
        this.callCount += 1;
        this.peerListeners.set(this.callCount, listener);
        this.outbox.emit({ kind: "peer-ask", call: this.callCount, instance, address, ask });
    }

    /** Takes in the answer to a question. @param reply The answer; `undefined` when there is none. */
    settle(call: number, reply: PeerReply | undefined, now: number): void {
        const listener = this.peerListeners.get(call);
        this.peerListeners.delete(call);
        listener?.(reply, now);
    }

    /** @returns The answer of this instance to a question. */
    answer(from: string, ask: PeerAsk, now: number): PeerReply {
        for (const answer of this.localAnswers) {
            const reply = answer(from, ask, now);
            if (reply !== undefined) {
                return reply;
            }
        }
        return { kind: "unavailable", reason: `${ask.kind} cannot be answered now` };
    }
}
