import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { OwnershipHost, ShardOwnership } from "../../../coordination/common/shardOwnership";
import { WorkerListing } from "../../../services/common/instanceList";
import { Batch } from "../../../services/common/logEvents";
import { FamilyDurations } from "../familyDurations";
import { FamilyFailures } from "../familyFailures";
import { FirstFit } from "../firstFit";
import { InterferenceModel } from "../interferenceModel";
import { LearnedUsage } from "../learnedUsage";
import { DEFAULT_WEIGHTS } from "../policyWeights";
import { ShardEffect, ShardScheduler } from "../shardScheduler";
import { ShardEntry, TaskRequest } from "../taskEntry";

const HOST: OwnershipHost = { claim: () => undefined, release: () => undefined, onDidChangeState: () => undefined };

function create(usage = LearnedUsage.create()) {
    const ownership = ShardOwnership.create("s", "north", HOST);
    ownership.isPreferredOwner = true;
    ownership.fire("vacant", 0);
    ownership.epoch = 5;
    ownership.fire("claim-won", 0);
    const outbox = Outbox.create<ShardEffect>();
    const scheduler = ShardScheduler.create(
        {
            ownership,
            instance: "i",
            writer: "i@5",
            from: 0,
            shardCount: 1,
            models: {
                usage,
                interference: InterferenceModel.create(),
                failures: FamilyFailures.create(),
                durations: FamilyDurations.create(),
                policy: FirstFit.create(),
            },
            config: {
                weights: () => DEFAULT_WEIGHTS,
                quota: team => ({ team, guaranteedSlots: 1, maxSlots: 1 }),
                serviceSlot: () => ({ cpus: 1, memoryGb: 1 }),
                minServiceSlots: () => 1,
                maxRequestMs: () => 1_000,
                isDrained: () => false,
            },
            outbox,
            onTask: () => undefined,
            instances: () => [],
            sendFence: () => undefined,
            isDiscoveryFresh: () => true,
        },
        0,
    );
    let next = 0;
    const read = (entry: ShardEntry) => {
        next += 1;
        const batches = [{ offset: next - 1, batch: { writer: "i@5", sequence: next, entries: [entry] } }];
        const page = { stream: "shard-s", read: next, from: next - 1, batches, next, head: next };
        scheduler.handleLog({ kind: "log-read", ...page }, 0);
    };
    return { ownership, scheduler, read, outbox };
}

test("grant limits read while the owner is suspended take effect, unless they are of an earlier epoch", t => {
    const { ownership, scheduler, read } = create();
    read({ kind: "shard-fenced", epoch: 5, instance: "i" });
    scheduler.tick(0, 0);
    t.is(ownership.state, "adopting");
    ownership.fire("holdover-expired", 0);
    t.is(ownership.state, "suspended");
    read({ kind: "grants-limited", epoch: 5, limits: [{ worker: "w", instance: "i", slots: 2 }] });
    t.is(scheduler.grants.totalLimit("w"), 2);
    read({ kind: "grants-limited", epoch: 4, limits: [{ worker: "w", instance: "i", slots: 7 }] });
    t.is(scheduler.grants.totalLimit("w"), 2);
});

/** A worker of 64 GB on which one service has a share of at least two slots of 1 GB. */
const LISTING: WorkerListing = {
    id: "w",
    address: "w",
    region: "north",
    failureDomain: "d",
    rack: "r",
    availability: "live",
    capacity: { slots: 8, connections: 8, cpus: 16, memoryGb: 64, accelerators: 0 },
    services: ["web"],
};

const REQUEST: TaskRequest = {
    key: "k",
    team: "t",
    family: "uneven",
    urgency: "normal",
    idempotency: "idempotent",
    cpus: 2,
    memoryGb: 60,
    accelerators: 0,
    durationMs: 1_000,
    dueAt: 0,
    payload: "",
};

// The estimate exceeded every worker, and no run could correct it.
test("a task whose declaration fits on a worker is placed, also if its family's usage is uneven", t => {
    const usage = LearnedUsage.create();
    for (let index = 0; index < 200; index++) {
        usage.observe(REQUEST.family, { cpus: 2, memoryGb: index % 2 === 0 ? 5 : 60 });
    }
    const { ownership, scheduler, outbox } = create(usage);
    const stream = "shard-s";
    const log: Batch<ShardEntry>[] = [];
    let pendingRead: { readonly read: number; readonly from: number } | undefined;
    const write = (entry: ShardEntry) => log.push({ writer: "client", sequence: log.length + 1, entries: [entry] });
    const handle = (effect: ShardEffect, now: number) => {
        if (effect.kind === "worker-call") {
            const report = { boot: "b", clock: now, measuredAt: now, running: [], finished: [], refused: [] };
            scheduler.handleWorker({ kind: "worker-answered", worker: "w", call: effect.call, report }, now);
        } else if (effect.kind === "log-append") {
            const { writer, sequence } = effect.batch;
            const offset = log.push(effect.batch) - 1;
            scheduler.handleLog({ kind: "log-appended", stream, writer, sequence, offset }, now);
        } else if (effect.kind === "log-read-next") {
            pendingRead = effect;
        }
    };
    const advanceTo = (end: number) => {
        for (; now <= end; now += 100) {
            scheduler.tick(now, now);
            outbox.drain().forEach(effect => handle(effect, now));
            if (pendingRead !== undefined && log.length > pendingRead.from) {
                const { read, from } = pendingRead;
                pendingRead = undefined;
                const batches = log.slice(from).map((batch, index) => ({ offset: from + index, batch }));
                const next = log.length;
                scheduler.handleLog({ kind: "log-read", stream, read, from, batches, next, head: next }, now);
            }
        }
    };
    let now = 0;
    scheduler.updateWorkers([LISTING]);
    advanceTo(1_000);
    t.is(ownership.state, "adopting");
    scheduler.adopt(now);
    advanceTo(5_000);
    write({ ...REQUEST, kind: "task-submitted", submittedAt: now });
    advanceTo(10_000);
    const assignment = log.flatMap(batch => batch.entries).find(entry => entry.kind === "task-assigned");
    t.deepEqual([...scheduler.waitReasons], []);
    t.true(assignment?.kind === "task-assigned" && assignment.memoryGb >= REQUEST.memoryGb, JSON.stringify(assignment));
});
