import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJob } from "../../jobs/activeJob";
import { DecisionData } from "../../scheduler/dispatchEffects";
import { LoadPublisher } from "../loadPublisher";
import { RoomTransferPolicy } from "../roomTransferPolicy";
import { ServiceUsage } from "../../workers/serviceUsage";
import { decodeShardLoad, encodeShardLoad, loadKey, parseLoadKey } from "../shardLoad";
import { ShardLoadTable } from "../shardLoadTable";
import { WorkerRoom } from "../../workers/workerRoom";
import { createBestEffort, createJob, createStep, createWorker, place } from "../../jobs/test/runs";

/** What each task requests. */
const REQUEST = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 };

/** A shard with one worker of 64 cores, on which a task with 16 reserved cores runs, and two jobs that wait. */
function createPublisher(count: number, others: readonly ActiveJob[] = []) {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("leader", "jobs", { name: "leader", epoch: 1 }, outbox);
    const worker = createWorker();
    const request = REQUEST;
    place(worker, "o", createStep("other", false, { usesSpareCpu: false, request }));
    const usage = ServiceUsage.create();
    usage.update([worker], 0);
    const jobs = [
        createJob("a", createBestEffort({ tasks: 2, request })),
        createJob("b", createStep("x", false, { usesSpareCpu: false, request })),
        ...others,
    ];
    others.forEach(job => job.openDue(0));
    const lines: DecisionData[] = [];
    const publisher = LoadPublisher.create(
        { shard: 1, count, loads: ShardLoadTable.create(), policy: RoomTransferPolicy.create(), workersOf: () => [] },
        {
            jobs: () => jobs,
            queues: QueueTable.create(),
            usage,
            usable: () => [worker],
            pace: { delayMs: 7, startMs: undefined },
            writer,
            log: (_, data) => lines.push(data),
        },
    );
    const published = (now: number) => {
        publisher.tick(now);
        writer.flush(now);
        return outbox.drain().flatMap(effect => (effect.kind === "append" ? effect.append.records : []));
    };
    return { published, lines };
}

test("a leader of a divided fleet publishes what its shard has in use and what waits in it", t => {
    const { published } = createPublisher(2);
    const [record] = published(1_000);
    t.is(record.key, loadKey(1));
    t.is(parseLoadKey(record.key), 1);
    const { delayMs, services } = decodeShardLoad(record.value!)!;
    t.is(delayMs, 7);
    t.like(services.get("svc"), {
        cpuMillis: 64_000,
        usedCpuMillis: 16_000,
        usedMemoryMb: 64_000,
        waitingCpuMillis: 16_000,
        waitingSpareCpuMillis: 32_000,
    });
});

test("a leader publishes what its workers have free beside its tasks that last and wait", t => {
    const { published } = createPublisher(2, [
        createJob("c", createStep("x", false, { mode: "long-running", usesSpareCpu: false, request: REQUEST })),
    ]);
    const [{ value }] = published(1_000);
    const room = { worker: "w1", cpuMillis: 32_000, memoryMb: 128_000, accelerators: 0 };
    t.deepEqual(decodeShardLoad(value!)!.rooms, new Map([["svc", [room]]]));
    // Earlier versions publish no room.
    const earlier = JSON.stringify({ ...(JSON.parse(value!) as object), rooms: undefined });
    t.is(decodeShardLoad(earlier)!.rooms, undefined);
});

// LOST: new tasks waited beside the room that they leave to short ones, and hid it from tasks of other shards that had lost their run.
test("a leader publishes what new tasks that last and wait leave free for those that ran before", t => {
    const createLasting = (id: string) =>
        createJob(id, createStep("x", false, { mode: "long-running", usesSpareCpu: false, request: REQUEST }));
    const roomOf = (rooms: ReadonlyMap<string, readonly WorkerRoom[]> | undefined) =>
        rooms?.get("svc")?.map(({ cpuMillis }) => cpuMillis);
    /** @returns What is published for new tasks, and for those that ran before, of which as many wait. */
    const publishedRooms = (ranBefore: number) => {
        const waiting = ["c", "d", "e"].map(createLasting);
        const { published } = createPublisher(2, waiting);
        const tasks = waiting.flatMap(job => [...job.tasks()]);
        tasks.slice(0, ranBefore).forEach(task => (task.highestRun = 1));
        const { rooms, restartRooms } = decodeShardLoad(published(1_000)[0].value!)!;
        return [roomOf(rooms), roomOf(restartRooms)];
    };
    t.deepEqual(publishedRooms(0), [[], [48_000]]);
    t.deepEqual(publishedRooms(1), [[], [32_000]]);
    // All of them take what is published for both.
    t.deepEqual(publishedRooms(3), [[], undefined]);
});

test("the load of a shard is logged, also of a fleet that is not divided, which publishes nothing", t => {
    const { published, lines } = createPublisher(1);
    t.deepEqual(published(1_000), []);
    t.deepEqual(published(6_000), []);
    t.is(lines.length, 1);
    t.like(lines[0], {
        service: "svc",
        cpuMillis: 64_000,
        cpuUsedPercent: 25,
        memoryUsedPercent: 25,
        cpuWaitingPercent: 25,
        cpuSpareWaitingPercent: 50,
    });
});

test("a malformed load is ignored, and one that is old says nothing", t => {
    const table = ShardLoadTable.create();
    const load = { delayMs: 0, services: new Map() };
    const good = { key: "load-2", value: encodeShardLoad(load), offset: 1 };
    t.true(table.apply(good, 1_000));
    for (const value of ["", "{}", "[1]", '{"delayMs":-1,"services":{}}', '{"delayMs":0,"services":{"svc":[1]}}']) {
        t.false(table.apply({ ...good, value }, 1_500));
    }
    t.deepEqual(table.loadOf(2, 1_500), load);
    t.is(table.loadOf(2, 4_000), undefined);
    t.is(table.loadOf(1, 1_500), undefined);
});
