import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { GrantTable } from "../../../coordination/common/grantTable";
import { LogSession } from "../../../coordination/common/logSession";
import { ShardOwnership } from "../../../coordination/common/shardOwnership";
import { WorkerListing } from "../../../services/common/instanceList";
import { AttemptTracker } from "../attemptTracker";
import { FamilyDurations } from "../familyDurations";
import { FamilyFailures } from "../familyFailures";
import { FirstFit } from "../firstFit";
import { InterferenceModel } from "../interferenceModel";
import { LearnedUsage } from "../learnedUsage";
import { DEFAULT_WEIGHTS } from "../policyWeights";
import { ShardContext } from "../shardContext";
import { ShardFold } from "../shardFold";
import { ShardEffect } from "../shardScheduler";
import { AttemptEnded, ShardEntry } from "../taskEntry";
import { WorkerContact } from "../workerContact";

const SIZE = { cpus: 1, memoryGb: 1, accelerators: 0 };

const LISTING: WorkerListing = {
    id: "w",
    address: "w",
    region: "north",
    failureDomain: "d",
    rack: "r",
    availability: "live",
    capacity: { slots: 8, connections: 8, cpus: 16, memoryGb: 64, accelerators: 0 },
    services: [],
};

/** A shard with one task, whose attempt was sent to a worker. */
class Fixture {
    private readonly outbox = Outbox.create<ShardEffect>();
    private readonly fold = ShardFold.create();
    private readonly session = LogSession.create<ShardEntry>("shard-s", "i", this.fold, 0, this.outbox);
    private readonly contact = WorkerContact.create(LISTING);
    private readonly tracker: AttemptTracker;
    private readonly number: number;

    constructor() {
        const context = this.createContext();
        this.tracker = AttemptTracker.create(context);
        const request = { team: "t", family: "f", urgency: "normal", durationMs: 1, dueAt: 0, payload: "" } as const;
        this.apply(0, {
            kind: "task-submitted",
            key: "k",
            idempotency: "idempotent",
            ...request,
            ...SIZE,
            submittedAt: 0,
        });
        const task = this.fold.find("k")!;
        this.number = task.number;
        const assignment = { epoch: 1, task: task.number, attempt: 1, worker: "w", boot: "b" };
        this.apply(1, { kind: "shard-fenced", epoch: 1, instance: "i" });
        this.apply(2, { kind: "task-assigned", ...assignment, ...SIZE });
        this.tracker.track(task, false);
        context.attempts.get(task.number)!.fire("sent");
    }

    private createContext(): ShardContext {
        const host = { claim: () => undefined, release: () => undefined, onDidChangeState: () => undefined };
        const ownership = ShardOwnership.create("s", "north", host);
        ownership.epoch = 1;
        const models = {
            usage: LearnedUsage.create(),
            interference: InterferenceModel.create(),
            failures: FamilyFailures.create(),
            durations: FamilyDurations.create(),
            policy: FirstFit.create(),
        };
        const config = {
            weights: () => DEFAULT_WEIGHTS,
            quota: (team: string) => ({ team, guaranteedSlots: 1, maxSlots: 1 }),
            serviceSlot: () => ({ cpus: 1, memoryGb: 1 }),
            minServiceSlots: () => 1,
            maxRequestMs: () => 1_000,
            isDrained: () => false,
        };
        const grants = GrantTable.create("s", 1, 1_000);
        const { session, fold, outbox } = this;
        return ShardContext.create(ownership, "i", session, fold, grants, models, config, outbox, () => true);
    }

    private apply(offset: number, ...entries: ShardEntry[]): void {
        this.fold.applyBatch({ offset, batch: { writer: `w${offset}`, sequence: 1, entries } });
    }

    /** Handles a report of the worker. @param clock Reading of its clock, in ms. @param boot Its incarnation. */
    report(clock: number, boot = "b"): void {
        const measured = { progress: 0.1, cpus: 0, memoryGb: 0, slowdown: 1 };
        const running = boot === "b" ? [{ task: `s/${this.number}`, attempt: 1, ...measured }] : [];
        const report = { boot, clock, measuredAt: clock, running, finished: [], refused: [] };
        this.tracker.applyReport(this.contact, report, clock);
    }

    /** @returns The record of the end of the attempt. */
    ended(): AttemptEnded | undefined {
        this.session.flush(0);
        return this.outbox
            .drain()
            .flatMap(effect => (effect.kind === "log-append" ? effect.batch.entries : []))
            .find(entry => entry.kind === "attempt-ended");
    }
}

test("the end of an attempt is recorded with the time for which it was reported at work", t => {
    const fixture = new Fixture();
    [5_000, 15_000, 25_500].forEach(clock => fixture.report(clock));
    fixture.report(300, "b2");
    t.like(fixture.ended(), { end: "lost", workedMs: 20_500 });
});

test("an attempt that was reported once is not known to have worked", t => {
    const fixture = new Fixture();
    fixture.report(600_000);
    fixture.report(300, "b2");
    t.like(fixture.ended(), { end: "lost", workedMs: 0 });
});
