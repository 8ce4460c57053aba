import { EffectSink } from "../../base/common/effectSink";
import { GrantTable } from "../../coordination/common/grantTable";
import { LogSession } from "../../coordination/common/logSession";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { WorkerListing } from "../../services/common/instanceList";
import { WorkerEffect } from "../../services/common/workerTraffic";
import { Attempt } from "./attempt";
import { AuditEffect, AuditSubject } from "./auditEntry";
import { FamilyDurations } from "./familyDurations";
import { FamilyFailures } from "./familyFailures";
import { InterferenceModel } from "./interferenceModel";
import { PlacementPolicy } from "./placementPolicy";
import { SchedulingConfig } from "./schedulingConfig";
import { ShardFold } from "./shardFold";
import { ShardEntry, TaskSize } from "./taskEntry";
import { UsageModel } from "./usageModel";
import { WorkerLink } from "./workerLink";

/** What the parts of an instance that schedule have in common over all shards. */
export interface SchedulingModels {
    readonly usage: UsageModel;
    readonly interference: InterferenceModel;
    readonly failures: FamilyFailures;
    readonly durations: FamilyDurations;
    readonly policy: PlacementPolicy;
}

/** An assignment that is on its way to the log. */
export interface PendingAssignment {
    readonly worker: string;
    readonly size: TaskSize;
}

/** What the parts that schedule one shard share. All of it but the fold is lost with the ownership. */
export class ShardContext {
    readonly links = new Map<string, WorkerLink>();
    readonly attempts = new Map<number, Attempt>();
    readonly pendingAssignments = new Map<number, PendingAssignment>();
    /** Shares that are on their way to the log. */
    readonly pendingShares = new Map<string, number>();
    /** Shares that the services of each worker need, whether or not they have them yet. */
    readonly wantedShares = new Map<string, number>();
    private callCount = 0;

    private constructor(
        readonly ownership: ShardOwnership,
        readonly instance: string,
        readonly session: LogSession<ShardEntry>,
        readonly fold: ShardFold,
        readonly grants: GrantTable,
        readonly models: SchedulingModels,
        readonly config: SchedulingConfig,
        readonly outbox: EffectSink<WorkerEffect | AuditEffect>,
        /** Tells whether the platform's list has been looked at lately. */
        readonly isListFresh: (now: number) => boolean,
    ) {}

    /**
     * @param ownership The instance's part in the ownership of the shard.
     * @param instance Name of this instance.
     * @param session Session that keeps the fold.
     * @param fold The shard's tasks.
     * @param grants Splits the service slots of the shard's workers.
     * @param models What was learnt.
     * @param config What is in force.
     * @param outbox Takes the effects.
     * @param isListFresh Tells whether the platform's list has been looked at lately.
     * @returns A context without workers.
     */
    static create(
        ownership: ShardOwnership,
        instance: string,
        session: LogSession<ShardEntry>,
        fold: ShardFold,
        grants: GrantTable,
        models: SchedulingModels,
        config: SchedulingConfig,
        outbox: EffectSink<WorkerEffect | AuditEffect>,
        isListFresh: (now: number) => boolean,
    ): ShardContext {
        return new ShardContext(ownership, instance, session, fold, grants, models, config, outbox, isListFresh);
    }

    /** Name of the shard. */
    get shard(): string {
        return this.ownership.name;
    }

    /** @returns Whether a worker may be given new work: nobody is taking it away, as far as is known now. */
    isOpen(listing: WorkerListing, now: number): boolean {
        return listing.availability === "live" && !this.config.isDrained(listing.id) && this.isListFresh(now);
    }

    /** @returns A number for the next call to a worker. */
    nextCall(): number {
        this.callCount += 1;
        return this.callCount;
    }

    /** @param worker Name of a worker. @returns Slots of it that batch tasks must leave to services. */
    slotsForServices(worker: string): number {
        return Math.max(this.fold.serviceSlots(worker), this.pendingShares.get(worker) ?? 0);
    }

    /** @param number Number of a task. @returns Its name towards workers. */
    taskName(number: number): string {
        return `${this.shard}/${number}`;
    }

    /** Puts a decision into the audit trail. */
    audit(subject: AuditSubject, name: string, action: string, reason: string): void {
        const entry = { subject, name, action, reason, at: Date.now(), instance: this.instance };
        this.outbox.emit({ kind: "audit", entry });
    }
}

/** @param name Name of a task towards workers. @returns Its number. */
export function taskNumber(name: string): number {
    return Number(name.slice(name.lastIndexOf("/") + 1));
}
