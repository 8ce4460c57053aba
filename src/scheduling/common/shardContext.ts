import { EffectSink } from "../../base/common/effectSink";
import { GrantTable } from "../../coordination/common/grantTable";
import { LogSession } from "../../coordination/common/logSession";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { WorkerListing } from "../../services/common/instanceList";
import { WorkerEffect } from "../../services/common/workerEvents";
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
import { WorkerContact } from "./workerContact";

/** Models that all shards of an instance share. */
export interface SchedulingModels {
    readonly usage: UsageModel;
    readonly interference: InterferenceModel;
    readonly failures: FamilyFailures;
    readonly durations: FamilyDurations;
    readonly policy: PlacementPolicy;
}

/** An assignment whose record is in flight to the log. */
export interface PendingAssignment {
    readonly worker: string;
    readonly size: TaskSize;
}

/** State shared by the classes that schedule one shard. All of it but the fold is lost when the ownership ends. */
export class ShardContext {
    readonly contacts = new Map<string, WorkerContact>();
    readonly attempts = new Map<number, Attempt>();
    readonly pendingAssignments = new Map<number, PendingAssignment>();
    /** Service slots by worker whose record is in flight to the log. */
    readonly pendingShares = new Map<string, number>();
    /** Service slots that each worker should have, whether or not they are free yet. */
    readonly desiredShares = new Map<string, number>();
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
        /** Returns whether the service discovery data is recent. */
        readonly isDiscoveryFresh: (now: number) => boolean,
    ) {}

    /**
     * @param ownership This instance's ownership of the shard.
     * @param instance Name of this instance.
     * @param session Session that keeps the fold up to date.
     * @param fold The shard's tasks.
     * @param grants Distributes the service slots of the shard's workers among the instances.
     * @param models Models that all shards share.
     * @param config Settings in force.
     * @param outbox Receives the effects.
     * @param isDiscoveryFresh Returns whether the service discovery data is recent.
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
        isDiscoveryFresh: (now: number) => boolean,
    ): ShardContext {
        return new ShardContext(ownership, instance, session, fold, grants, models, config, outbox, isDiscoveryFresh);
    }

    /** Name of the shard. */
    get shard(): string {
        return this.ownership.name;
    }

    /** @returns Whether a worker may get new tasks: it is live and not being drained, according to recent data. */
    canAcceptTasks(listing: WorkerListing, now: number): boolean {
        return listing.availability === "live" && !this.config.isDrained(listing.id) && this.isDiscoveryFresh(now);
    }

    /** @returns A number for the next call to a worker. */
    nextCallNumber(): number {
        this.callCount += 1;
        return this.callCount;
    }

    /**
     * @param worker Name of a worker.
     * @returns Its slots that batch tasks must not use, including shares in flight to the log.
     */
    reservedServiceSlots(worker: string): number {
        return Math.max(this.fold.serviceSlots(worker), this.pendingShares.get(worker) ?? 0);
    }

    /** @param number Number of a task. @returns Its name in calls to workers. */
    taskName(number: number): string {
        return `${this.shard}/${number}`;
    }

    /** Writes a decision to the audit trail. */
    audit(subject: AuditSubject, name: string, action: string, reason: string): void {
        const entry = { subject, name, action, reason, at: Date.now(), instance: this.instance };
        this.outbox.emit({ kind: "audit", entry });
    }
}

/** @param name Name of a task in calls to workers. @returns Its number. */
export function taskNumber(name: string): number {
    return Number(name.slice(name.lastIndexOf("/") + 1));
}
