import { Outbox } from "../../base/common/outbox";
import { GrantTable } from "../../coordination/common/grantTable";
import { LogSession } from "../../coordination/common/logSession";
import { ShardOwnership } from "../../coordination/common/shardOwnership";
import { WorkerListing } from "../../services/common/instanceList";
import { LogEffect } from "../../services/common/logEvents";
import { WorkerEffect } from "../../services/common/workerEvents";
import { AttemptTracker } from "../../scheduling/common/attemptTracker";
import { AuditEffect } from "../../scheduling/common/auditEntry";
import { CapacityLedger } from "../../scheduling/common/capacityLedger";
import { FamilyDurations } from "../../scheduling/common/familyDurations";
import { FamilyFailures } from "../../scheduling/common/familyFailures";
import { InterferenceModel } from "../../scheduling/common/interferenceModel";
import { LearnedPlacement } from "../../scheduling/common/learnedPlacement";
import { LearnedUsage } from "../../scheduling/common/learnedUsage";
import { LeaseCaller } from "../../scheduling/common/leaseCaller";
import { Placer } from "../../scheduling/common/placer";
import { DEFAULT_WEIGHTS } from "../../scheduling/common/policyWeights";
import { ShardContext } from "../../scheduling/common/shardContext";
import { ShardFold } from "../../scheduling/common/shardFold";
import { ShardEntry, TaskSubmitted } from "../../scheduling/common/taskEntry";
import { WorkerContact } from "../../scheduling/common/workerContact";
import { BenchConfig } from "./benchConfig";
import { BenchHost } from "./benchHost";

const TEAM_COUNT = 130;
const FAMILY_COUNT = 40;
const SHARD_COUNT = 16;

/** @param index Number of the worker. @returns The listing of a worker of the target size. */
export function benchListing(index: number): WorkerListing {
    return {
        id: `worker-${index}`,
        address: `10.0.${index >> 8}.${index & 255}:8080`,
        region: "north",
        failureDomain: `domain-${index % 5}`,
        rack: `rack-${index >> 3}`,
        availability: "live",
        capacity: { slots: 8, connections: 64, cpus: 64, memoryGb: 250, accelerators: index % 2 === 0 ? 2 : 0 },
        services: ["quotes"],
    };
}

/** @param index Number of the task. @returns The submission of a task of the target size. */
export function benchTask(index: number): TaskSubmitted {
    return {
        kind: "task-submitted",
        key: `job-${index >> 3}-task-${index}`,
        team: `team-${index % TEAM_COUNT}`,
        family: `family-${index % FAMILY_COUNT}`,
        urgency: index % 10 === 0 ? "urgent" : "normal",
        idempotency: "idempotent",
        cpus: 4,
        memoryGb: 8,
        accelerators: 0,
        durationMs: 600_000,
        dueAt: 0,
        payload: "s3://bucket/input",
        submittedAt: 1_800_000_000_000,
    };
}

/** One shard with an owner and workers that have reported; there is no log, network or other shard. */
export class ShardBench {
    readonly fold = ShardFold.create();
    readonly context: ShardContext;
    readonly placer: Placer;
    private nextOffset = 0;
    private lastSequence = 0;

    private constructor(workers: number) {
        const outbox = Outbox.create<LogEffect<ShardEntry> | WorkerEffect | AuditEffect>();
        const ownership = ShardOwnership.create("north-0", "north", BenchHost.create());
        ownership.epoch = 0;
        const session = LogSession.create<ShardEntry>("shard-north-0", "me", this.fold, 0, outbox);
        const interference = InterferenceModel.create();
        this.context = ShardContext.create(
            ownership,
            "me",
            session,
            this.fold,
            GrantTable.create("north-0", 0, 10_000),
            {
                usage: LearnedUsage.create(),
                interference,
                failures: FamilyFailures.create(),
                durations: FamilyDurations.create(),
                policy: LearnedPlacement.create(interference, () => DEFAULT_WEIGHTS),
            },
            BenchConfig.create(),
            outbox,
            () => true,
        );
        for (let index = 0; index < workers; index++) {
            this.addWorker(index);
        }
        const tracker = AttemptTracker.create(this.context);
        const caller = LeaseCaller.create(this.context, tracker);
        this.placer = Placer.create(this.context, CapacityLedger.create(this.context), caller, SHARD_COUNT);
        this.apply([{ kind: "shard-fenced", epoch: 0, instance: "me" }]);
    }

    /** @param workers Number of workers. @returns A shard without tasks. */
    static create(workers: number): ShardBench {
        return new ShardBench(workers);
    }

    /** Folds a record with the entries. */
    apply(entries: readonly ShardEntry[]): void {
        this.lastSequence += 1;
        this.fold.applyBatch({
            offset: this.nextOffset,
            batch: { writer: "me", sequence: this.lastSequence, entries },
        });
        this.nextOffset += 1;
    }

    /** Adds running tasks, assigned to the workers round-robin. */
    fill(tasks: number): void {
        const workers = [...this.context.contacts.keys()];
        for (let index = 0; index < tasks; index++) {
            this.apply([benchTask(index)]);
            const task = this.fold.find(benchTask(index).key)!;
            const worker = workers[index % workers.length];
            const size = { cpus: 4, memoryGb: 8, accelerators: 0 };
            const assignment = { epoch: 0, task: task.number, attempt: 1, worker, boot: "b1" };
            this.apply([{ kind: "task-assigned", ...assignment, ...size }]);
        }
    }

    private addWorker(index: number): void {
        const contact = WorkerContact.create(benchListing(index));
        const report = { boot: "b1", clock: 1, measuredAt: 1, running: [], finished: [], refused: [] };
        contact.recordReport(report, performance.now());
        this.context.contacts.set(contact.listing.id, contact);
    }
}
