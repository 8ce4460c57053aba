import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeSpec, jobKey } from "../../../../jobs/common/jobRecord";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { JobTable } from "../../../../jobs/common/jobTable";
import { encodeTaskTransfer } from "../../../../jobs/common/taskTransfer";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable } from "../../jobs/activeJobTable";
import { DecisionData, DecisionName } from "../../scheduler/dispatchEffects";
import { RoomTransferPolicy } from "../roomTransferPolicy";
import { emptyLoad } from "../serviceLoad";
import { ServiceUsage } from "../../workers/serviceUsage";
import { ShardController } from "../shardController";
import { encodeShardLoad } from "../shardLoad";
import { ShardLoadTable } from "../shardLoadTable";
import { MAX_LOSSES_IN_A_ROW } from "../../failures/suspectTable";
import { WorkerEntry } from "../../workers/workerEntry";
import { WorkerRoom } from "../../workers/workerRoom";
import { assign, createJob, createStep, createWorker } from "../../jobs/test/runs";

/** Interval between two reviews, and between two loads of the other shard, in ms. */
const INTERVAL_MS = 100;

/** CPU of a worker, in thousandths of a core, and that of a task. */
const WORKER_MILLIS = 64_000;
const TASK_MILLIS = 16_000;

/**
 * A shard with one worker that the running tasks of a job fill, and tasks of it that wait. The other shard has one worker.
 * @param waiting Number of the tasks that wait.
 * @param overrides Fields of their step.
 * @param entry Fields of the entry of the other worker.
 * @param home Shard of the job; if it is the other one, its tasks were transferred.
 */
function createShards(waiting: number, overrides: Partial<StepSpec> = {}, entry: Partial<WorkerEntry> = {}, home = 0) {
    const writer = RecordWriter.create("leader", "jobs", { name: "leader", epoch: 1 }, Outbox.create<RecordEffect>());
    const places = { shard: 0, homeOf: () => home };
    const jobs = ActiveJobTable.create(1, { jobs: writer, progress: writer }, places);
    const worker = createWorker("w1");
    const step = createStep("x", false, {
        tasks: WORKER_MILLIS / TASK_MILLIS + waiting,
        mode: "long-running",
        usesSpareCpu: false,
        request: { cpuMillis: TASK_MILLIS, memoryMb: 1_000, accelerators: 0 },
        ...overrides,
    });
    const table = JobTable.create();
    table.apply({ key: jobKey("spec", "a"), value: encodeSpec(createJob("a", step).spec), offset: 0 });
    for (let index = 0; home !== 0 && index < step.tasks; index++) {
        const record = { task: `a.0.0.${index}`, failures: 0, checkpoint: "", lastRun: 0 };
        const value = encodeTaskTransfer({ shard: 0, count: 1, record });
        table.apply({ key: jobKey("task-transfer", record.task), value, offset: 1 });
    }
    jobs.update(table.find("a")!);
    const [job] = [...jobs.all];
    job.openDue(0);
    [...job.tasks()].slice(0, WORKER_MILLIS / TASK_MILLIS).forEach(task => assign(worker, task));
    job.state = "running";
    const loads = ShardLoadTable.create();
    const other = createWorker("w2", entry).entry;
    const workersOf = (shard: number) => (shard === 0 ? [worker.entry] : [other]);
    const fleet = { shard: 0, count: 2, loads, policy: RoomTransferPolicy.create(), workersOf };
    const lines: (DecisionData & { readonly name: DecisionName; readonly at: number })[] = [];
    let at = 0;
    const controller = ShardController.create(fleet, {
        jobs,
        queues: QueueTable.create(),
        usage: ServiceUsage.create(),
        usable: () => [worker],
        pace: { delayMs: 0, startMs: undefined },
        writer,
        log: (name, data) => lines.push({ name, at, ...data }),
    });
    /**
     * Reviews at intervals, with what the other shard publishes; none if undefined.
     * @param restartRoom What it publishes for tasks that ran before; the same if undefined.
     * @returns The tasks that have left.
     */
    const run = (
        endMs: number,
        room: Omit<WorkerRoom, "worker"> | undefined,
        waits?: readonly number[],
        restartRoom?: Omit<WorkerRoom, "worker">,
    ) => {
        for (; at <= endMs; at += INTERVAL_MS) {
            if (room !== undefined) {
                const services = new Map([["svc", emptyLoad()]]);
                const roomsOf = (each: Omit<WorkerRoom, "worker">) => new Map([["svc", [{ worker: "w2", ...each }]]]);
                const rooms = roomsOf(room);
                const restartRooms = restartRoom && roomsOf(restartRoom);
                const lastingWaits = waits && new Map([["svc", waits]]);
                const value = encodeShardLoad({ delayMs: 0, services, rooms, restartRooms, lastingWaits });
                loads.apply({ key: "load-1", value, offset: 0 }, at);
            }
            controller.tick(at);
            controller.review(at, at);
        }
        return lines.filter(({ name }) => name === "task-transferred");
    };
    return { run, job, lines, controller };
}

const roomFor = (tasks: number) => ({ cpuMillis: tasks * TASK_MILLIS, memoryMb: 64_000, accelerators: 0 });

// LOST: a task that lost its worker waited in a full shard beside its siblings, while another shard had room.
test("tasks that last and wait in a full shard go where two of them have places, whether or not their siblings run", t => {
    const { run, job } = createShards(3);
    t.deepEqual(run(700, roomFor(4)), []);
    const sent = run(1_500, roomFor(4));
    t.deepEqual(
        sent.map(({ to, places, ownPlaces }) => [to, places, ownPlaces]),
        [
            [1, 4, 0],
            [1, 3, 0],
            [1, 2, 0],
        ],
    );
    t.true(sent.every(({ at }) => at <= 1_200));
    t.is([...job.tasks()].filter(task => task.isElsewhere).length, 3);
    t.true(job.hasRun);
});

test("a shard gets no more tasks than it has places for while its load does not show those on their way", t => {
    const { run } = createShards(4);
    t.is(run(900, roomFor(3)).length, 2);
    // Those that were sent are still missing in what it publishes until they run.
    t.is(run(1_200, roomFor(3)).length, 2);
});

test("no task leaves for a shard without two places, of another kind, or that publishes none", t => {
    t.is(createShards(1).run(5_000, roomFor(1)).length, 0);
    t.is(createShards(1).run(5_000, { ...roomFor(4), memoryMb: 1_500 }).length, 0);
    t.is(createShards(1).run(5_000, undefined).length, 0);
    t.is(createShards(1, { requiredLabel: "big" }).run(5_000, roomFor(4)).length, 0);
    t.is(createShards(1, { requiredLabel: "big" }, { labels: ["big"] }).run(5_000, roomFor(4)).length, 1);
    t.is(createShards(1, {}, { state: "draining" }).run(5_000, roomFor(4)).length, 0);
    t.is(createShards(1, { usesSpareCpu: true }).run(5_000, roomFor(4)).length, 0);
});

// LOST: no line said why a task that had lost its run stayed in its full shard.
test("why a task that lasts and was interrupted stays is logged, with what the other shard offers", t => {
    const { run, job, lines } = createShards(1);
    const task = [...job.tasks()].at(-1)!;
    run(3_000, roomFor(1));
    const stays = () => lines.filter(({ name }) => name === "task-stays");
    t.is(stays().length, 0);
    task.highestRun = 1;
    run(6_000, roomFor(1));
    t.is(stays().length, 2);
    t.like(stays()[0], { task: task.name, cpuMillis: TASK_MILLIS, own: "0:0/1/0", others: "1:1/-/0" });
});

test("a task of another shard's job that is given up goes back there", t => {
    const { run, job } = createShards(1, {}, {}, 1);
    const task = [...job.tasks()].at(-1)!;
    task.lossesInARow = MAX_LOSSES_IN_A_ROW;
    t.like(run(200, undefined), [{ task: task.name, to: 1 }]);
});

// LOST: short tasks took the gaps of the other shard as they came, so that it never showed a place.
test("a task that lasts goes after a while where only larger ones wait, also if no place is seen", t => {
    const { run } = createShards(1);
    const larger = [TASK_MILLIS + 1, TASK_MILLIS + 2];
    t.is(run(2_000, roomFor(0), larger).length, 0);
    t.is(run(4_000, roomFor(0), larger).length, 1);
    t.is(createShards(1).run(5_000, roomFor(0), [TASK_MILLIS, ...larger]).length, 0);
    // The load of the other shard does not show the first one yet.
    t.is(createShards(3).run(3_200, roomFor(0), [TASK_MILLIS, ...larger]).length, 1);
});

// LOST: a task that full shards had left to each other stayed for up to 16 s in one, while another one had room.
test("a task that was often transferred stays where it has to wait, but goes at once where it has a place", t => {
    const { run, job, controller } = createShards(3);
    const waiting = [...job.tasks()].filter(task => task.run === undefined);
    for (const task of waiting) {
        task.transfers = 5;
        controller.recordArrival(task, 0);
    }
    t.is(run(6_000, roomFor(0), []).length, 0);
    const sent = run(9_000, roomFor(4));
    t.is(sent.length, 3);
    t.true(sent.every(({ at }) => at <= 6_500));
});

// LOST: a task that had lost its run waited in a full shard, while new tasks hid the room of another one that they do not use.
test("a task that ran before goes where only such tasks have places, and a new one stays", t => {
    const { run, job } = createShards(2);
    const [interrupted] = [...job.tasks()].filter(task => task.run === undefined);
    interrupted.highestRun = 1;
    const sent = run(2_000, roomFor(0), [TASK_MILLIS, TASK_MILLIS], roomFor(3));
    t.deepEqual(
        sent.map(({ task, places }) => [task, places]),
        [[interrupted.name, 3]],
    );
});
