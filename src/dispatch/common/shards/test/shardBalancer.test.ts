import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeSpec, jobKey } from "../../../../jobs/common/jobRecord";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { JobTable } from "../../../../jobs/common/jobTable";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable } from "../../jobs/activeJobTable";
import { LoadPublisher } from "../loadPublisher";
import { RoomTransferPolicy } from "../roomTransferPolicy";
import { emptyLoad, ServiceLoad } from "../serviceLoad";
import { ServiceUsage } from "../../workers/serviceUsage";
import { ShardBalancer } from "../shardBalancer";
import { encodeShardLoad } from "../shardLoad";
import { ShardLoadTable } from "../shardLoadTable";
import { WorkerEntry } from "../../workers/workerEntry";
import { createJob, createStep, createWorker, place } from "../../jobs/test/runs";

/** CPU of each shard, in thousandths of a core: that of one worker. */
const SHARD_MILLIS = 64_000;

/** Interval between two submissions, in ms. */
const INTERVAL_MS = 100;

/** Reserves the CPU of a shard. */
const FULL = createStep("full", false, {
    usesSpareCpu: false,
    request: { cpuMillis: SHARD_MILLIS, memoryMb: 1_000, accelerators: 0 },
});

/**
 * A shard with one worker, and another one without runs and waiting tasks. Each job requests an eighth of a shard.
 * @param used Step of a task that runs in the first one, if any.
 * @param entry Fields of its worker.
 */
function createShards(used: StepSpec | undefined, entry: Partial<WorkerEntry> = {}) {
    const writer = RecordWriter.create("leader", "jobs", { name: "leader", epoch: 1 }, Outbox.create<RecordEffect>());
    const jobs = ActiveJobTable.create(1, { jobs: writer, progress: writer });
    const table = JobTable.create();
    const loads = ShardLoadTable.create();
    const worker = createWorker("w1", entry);
    if (used !== undefined) {
        place(worker, "used", used);
    }
    const usage = ServiceUsage.create();
    usage.update([worker], 0);
    const queues = QueueTable.create();
    const workersOf = (shard: number) => [
        shard === 0
            ? worker.entry
            : createWorker("w2", { labels: ["second"], capacity: entry.capacity ?? worker.entry.capacity }).entry,
    ];
    const fleet = { shard: 0, count: 2, loads, policy: RoomTransferPolicy.create(), workersOf };
    const pace = { delayMs: 0, startMs: undefined };
    const log = () => undefined;
    const publisher = LoadPublisher.create(fleet, {
        jobs: () => jobs.all,
        queues,
        usage,
        usable: () => [worker],
        pace,
        writer,
        log,
    });
    const balancer = ShardBalancer.create(fleet, { jobs, queues, publisher, delayMs: () => 0, log });
    const publish = (now: number, used: Partial<ServiceLoad> = {}) => {
        const services = new Map([
            ["svc", { ...emptyLoad(), cpuMillis: SHARD_MILLIS, memoryMb: 256_000, accelerators: 4, ...used }],
        ]);
        const value = encodeShardLoad({ delayMs: 0, services });
        return loads.apply({ key: "load-1", value, offset: 0 }, now);
    };
    const review = (now: number) => {
        publisher.tick(now);
        balancer.review(now, now);
    };
    let submitted = 0;
    /** Submits a job; returns how many have left the shard so far. */
    const submit = (now: number, steps = [createStep("x", false, { usesSpareCpu: false })]) => {
        const id = `job${submitted}`;
        const spec = { ...createJob(id, steps[0]).spec, steps };
        table.apply({ key: jobKey("spec", id), value: encodeSpec(spec), offset: submitted });
        submitted += 1;
        jobs.update(table.find(id)!);
        review(now);
        return submitted - jobs.size;
    };
    return { publish, submit, review, jobs };
}

test("a shard gets no more jobs than it has room for while its leader publishes nothing", t => {
    const { publish, submit } = createShards(FULL);
    publish(0);
    let left = 0;
    for (let now = INTERVAL_MS; now <= 2_000; now += INTERVAL_MS) {
        left = submit(now);
    }
    // With 14 of the 20 jobs, as much is requested of the other shard as of the full one with the rest.
    t.true(left > 0 && left <= 14, String(left));
});

test("a job leaves a shard in which only workers of another service, or such that leave, could run it", t => {
    for (const entry of [{ service: "other" }, { state: "draining" }] as const) {
        const { publish, submit } = createShards(undefined, entry);
        publish(0);
        t.is(submit(INTERVAL_MS), 1);
    }
    const { publish, submit } = createShards(undefined);
    publish(0);
    t.is(submit(INTERVAL_MS), 0);
});

test("a job whose steps need workers of two shards goes from one to the other between the steps", t => {
    const { publish, submit, review, jobs } = createShards(undefined, { labels: ["first"] });
    const step = { usesSpareCpu: false };
    const steps = [
        createStep("x", false, { ...step, requiredLabel: "first" }),
        createStep("x", false, { ...step, requiredLabel: "second", after: [0] }),
    ];
    publish(0);
    t.is(submit(INTERVAL_MS, steps), 0);
    const [job] = [...jobs.all];
    job.markDone([...job.tasks()][0]);
    for (let now = 2 * INTERVAL_MS; now <= 1_500; now += INTERVAL_MS) {
        publish(now);
        review(now);
    }
    t.is(jobs.size, 0);
});

for (const { resource, request } of [
    { resource: "memory", request: { cpuMillis: 1_000, memoryMb: 200_000, accelerators: 0 } },
    { resource: "accelerators", request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4 } },
]) {
    test(`a job that waits for ${resource} leaves a shard that lacks only these`, t => {
        const capacity = { cpuMillis: SHARD_MILLIS, memoryMb: 256_000, accelerators: 4 };
        const step = createStep("x", false, { usesSpareCpu: false, request });
        const { publish, submit, review, jobs } = createShards(step, { capacity });
        const usedCpuMillis = request.cpuMillis;
        publish(0, { usedCpuMillis });
        submit(INTERVAL_MS, [step]);
        for (let now = 2 * INTERVAL_MS; now <= 3_000; now += INTERVAL_MS) {
            publish(now, { usedCpuMillis });
            review(now);
        }
        t.is(jobs.size, 0);
    });
}
