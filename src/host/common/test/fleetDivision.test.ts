import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { Fleet, ShardPlanner } from "../../../dispatch/common/shards/shardPlanner";
import { WorkerEntry } from "../../../dispatch/common/workers/workerEntry";
import { decodeShardPlan, ShardPlan } from "../../../jobs/common/shardPlan";
import { RecordEffect } from "../../../records/common/recordEvents";
import { RecordWriter } from "../../../records/common/recordWriter";
import { FleetDivision, RegisteredWorkers } from "../fleetDivision";

/** Divides every fleet of more than ten workers in three. */
class TestPlanner extends ShardPlanner {
    override countFor({ workers }: Fleet): number {
        return workers > 10 ? 3 : 1;
    }
}

function createWorkers(count: number): RegisteredWorkers {
    const entries = Array.from({ length: count }, (_, index): WorkerEntry => ({
        id: `w${index}`,
        incarnation: 1,
        service: "svc",
        address: "",
        failureDomain: `z${index % 2}`,
        state: "ready",
        warmupLeftMs: 0,
        capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
        labels: [],
        rack: `z${index % 2}-${index >> 2}`,
    }));
    const all = new Map(entries.map(entry => [entry.id, { entry, writtenAfter: 0 }]));
    return { size: all.size, all };
}

function createDivision() {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("leader-7", "jobs", { name: "leader", epoch: 7 }, outbox);
    const division = FleetDivision.create({ epoch: 7, cores: 1, writer }, new TestPlanner(), 0);
    const storedPlan = (now: number): ShardPlan | undefined => {
        writer.flush(now);
        const [effect] = outbox.drain();
        return effect?.kind === "append" ? decodeShardPlan(effect.append.records[0].value!) : undefined;
    };
    return { division, storedPlan };
}

const IDLE = { hasJobs: false, hasAssigned: false };

test("a large fleet is divided once it has stopped growing, with as many racks of each failure domain in each shard", t => {
    const { division, storedPlan } = createDivision();
    for (let now = 0; now <= 4_000; now += 500) {
        division.review({ now, workers: createWorkers(10 + now / 100), ...IDLE });
        t.false(division.isStoring);
    }
    const workers = createWorkers(48);
    division.review({ now: 4_500, workers: createWorkers(48), ...IDLE });
    division.review({ now: 5_600, workers, ...IDLE });
    t.true(division.isStoring);
    const plan = storedPlan(5_600)!;
    t.is(plan.count, 3);
    t.is(plan.epoch, 7);
    for (const domain of ["z0", "z1"]) {
        const shards = Object.keys(plan.racks).filter(rack => rack.startsWith(domain));
        const counts = [0, 1, 2].map(shard => shards.filter(rack => plan.racks[rack] === shard).length);
        t.deepEqual(counts, [4, 4, 4]);
    }
    division.recordDivided();
    t.false(division.isStoring);
    t.true(division.isDecided);
});

test("the shards have as much CPU if racks are of different sizes", t => {
    const { division, storedPlan } = createDivision();
    const { all } = createWorkers(60);
    // Of each failure domain, every third rack has half as many workers.
    const kept = [...all].filter(
        ([id, { entry }]) => Number(entry.rack.split("-")[1]) % 3 > 0 || Number(id.slice(1)) % 4 < 2,
    );
    const workers = { size: kept.length, all: new Map(kept) };
    division.review({ now: 4_500, workers, ...IDLE });
    division.review({ now: 5_600, workers, ...IDLE });
    const plan = storedPlan(5_600)!;
    const counts = [0, 1, 2].map(shard => kept.filter(([, { entry }]) => plan.racks[entry.rack] === shard).length);
    t.true(Math.max(...counts) - Math.min(...counts) <= 1, counts.join());
});

test("jobs do not wait for further workers to register", t => {
    const { division } = createDivision();
    division.review({ now: 100, workers: createWorkers(12), hasJobs: true, hasAssigned: false });
    t.true(division.isStoring);
});

test("a small fleet is not divided, and may be when it has grown before its first task", t => {
    const { division, storedPlan } = createDivision();
    division.review({ now: 9_000, workers: createWorkers(10), ...IDLE });
    t.false(division.isStoring);
    t.is(storedPlan(9_000), undefined);
    division.review({ now: 10_000, workers: createWorkers(20), ...IDLE });
    division.review({ now: 11_000, workers: createWorkers(20), ...IDLE });
    t.true(division.isStoring);
});

test("a fleet on which a task was assigned is never divided", t => {
    const { division, storedPlan } = createDivision();
    division.review({ now: 5_000, workers: createWorkers(20), hasJobs: true, hasAssigned: true });
    division.review({ now: 9_000, workers: createWorkers(20), ...IDLE });
    t.true(division.isDecided);
    t.is(storedPlan(9_000), undefined);
});
