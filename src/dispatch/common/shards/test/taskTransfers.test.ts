import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeProgress, encodeSpec, jobKey, RunRecord } from "../../../../jobs/common/jobRecord";
import { JobTable } from "../../../../jobs/common/jobTable";
import { ProgressTable } from "../../../../jobs/common/progressTable";
import { ShardJobs } from "../../../../jobs/common/shardJobs";
import { encodeShardPlan, SHARD_PLAN_KEY } from "../../../../jobs/common/shardPlan";
import { ShardTable } from "../../../../jobs/common/shardTable";
import { decodeTaskTransfer, encodeTaskTransfer } from "../../../../jobs/common/taskTransfer";
import { KeyedRecord } from "../../../../records/common/record";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable } from "../../jobs/activeJobTable";
import { demandOf } from "../../jobs/jobDemand";
import { JobPruner } from "../../jobs/jobPruner";
import { JobRestorer } from "../../jobs/jobRestorer";
import { MAX_LOSSES_IN_A_ROW, mayStart } from "../../failures/suspectTable";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import { createController, lose, start } from "../../failures/test/failures";
import { assign, createJob, createStep, createWorker } from "../../jobs/test/runs";

const RETENTION_MS = 120_000;

/** The leader of one shard. */
interface Leader {
    readonly table: ActiveJobTable;
    readonly pruner: JobPruner;
    readonly inherited: RunRecord[];
    readonly adopted: string[];
    /** Stores what it has written. */
    readonly store: () => KeyedRecord[];
    readonly dispose: () => void;
}

/** Two shards; the first one of `leaders` leads that of job `a`, which has three tasks that last. */
function createFleet() {
    const jobs = JobTable.create();
    const shards = ShardTable.create();
    shards.apply({ key: SHARD_PLAN_KEY, value: encodeShardPlan({ count: 2, racks: {}, epoch: 1 }), offset: 0 });
    const home = shards.shardOfJob("a");
    const progress = [new Map<string, string>(), new Map<string, string>()];
    const parts = [home, 1 - home].map(shard => ShardJobs.create(jobs, shards, shard));
    let offset = 0;
    const apply = (key: string, value: string | undefined) => jobs.apply({ key, value, offset: offset++ });
    const step = createStep("x", false, { tasks: 3, mode: "long-running", usesSpareCpu: false });
    const submit = () => apply(jobKey("spec", "a"), encodeSpec(createJob("a", step).spec));
    submit();

    const lead = (index: number, epoch: number): Leader => {
        const outbox = Outbox.create<RecordEffect>();
        const producer = { name: `p${index}`, epoch };
        const writers = {
            jobs: RecordWriter.create("jobs", "jobs", producer, outbox),
            progress: RecordWriter.create("progress", "progress", producer, outbox),
        };
        const stored = ProgressTable.create();
        progress[index].forEach((value, key) => stored.apply({ key, value, offset: 0 }));
        const table = ActiveJobTable.create(epoch, writers, parts[index]);
        const inherited: RunRecord[] = [];
        const adopted: string[] = [];
        table.onDidAdoptTask(task => adopted.push(task.name));
        JobRestorer.create(parts[index], stored, table, (task, record) => {
            inherited.push(record);
            task.highestRun = Math.max(task.highestRun, record.run);
        }).restore();
        const subscription = parts[index].onDidChange(entry => table.update(entry));
        const store = () => {
            const records: KeyedRecord[] = [];
            for (;;) {
                writers.jobs.flush(1);
                writers.progress.flush(1);
                const appends = outbox.drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
                if (appends.length === 0) {
                    return records;
                }
                for (const { stream, append } of appends) {
                    records.push(...append.records);
                    for (const { key, value } of append.records) {
                        if (stream === "jobs") {
                            apply(key, value);
                        } else if (value === undefined) {
                            progress[index].delete(key);
                        } else {
                            progress[index].set(key, value);
                        }
                    }
                    const writer = stream as "jobs" | "progress";
                    const { sequence } = append;
                    const result = { ok: true, val: 0 } as never;
                    writers[writer].handleAnswer({ kind: "append-answer", writer, sequence, result }, 2);
                }
            }
        };
        const pruner = JobPruner.create(parts[index], table, writers, RETENTION_MS);
        return { table, pruner, inherited, adopted, store, dispose: () => subscription.dispose() };
    };
    const leaders = [lead(0, 2), lead(1, 5)];
    const [job] = [...leaders[0].table.all];
    job.openDue(0);
    job.state = "running";
    return { jobs, shards: [home, 1 - home], leaders, lead, progress, apply, submit };
}

function ownTasks({ table }: Leader): string[] {
    return [...table.all].flatMap(job => [...job.tasks()].filter(task => !task.isElsewhere).map(({ name }) => name));
}

function taskOf({ table }: Leader, name: string): Task {
    return table.findTask(name)!;
}

const NAMES = ["a.0.0.0", "a.0.0.1", "a.0.0.2"];
const [FIRST] = NAMES;

/** Ends the present run of a task as lost, as the scheduler does. */
function loseRun(task: Task): void {
    task.lastRun = task.run!.record.run;
    task.hasLostRun = true;
    task.run = undefined;
}

test("a task is of one shard at a time, with all that is known of it, and its siblings stay", t => {
    const { leaders, shards, jobs } = createFleet();
    const [home, other] = leaders;
    const task = taskOf(home, FIRST);
    task.highestRun = 1_006;
    Object.assign(task, { checkpoint: "c", failures: 2, lossesInARow: 1, lastRun: 1_005 });
    home.table.transferTask(task, shards[1]);
    t.deepEqual(ownTasks(home), NAMES.slice(1));
    t.deepEqual(ownTasks(other), []);
    home.store();
    t.deepEqual(other.adopted, [FIRST]);
    t.deepEqual(ownTasks(other), [FIRST]);
    t.is(demandOf([...home.table.all][0]).tasks, 2);
    t.is(demandOf([...other.table.all][0]).tasks, 1);
    const expected = { checkpoint: "c", failures: 2, lossesInARow: 1, lastRun: 1_006, highestRun: 1_006 };
    t.like(taskOf(other, FIRST), expected);
    t.false([...home.table.all][0].isTransferable);
    t.false([...other.table.all][0].isTransferable);
    // The other shard does not show callers its part of the job.
    assign(createWorker(), taskOf(other, FIRST));
    other.table.recordProgress(taskOf(other, FIRST).job);
    t.deepEqual(
        other.store().map(({ key }) => key),
        ["p/a"],
    );
    t.is(jobs.find("a")!.state, "queued");
});

test("only a task that lasts, with reserved CPU and without a run, leaves a job, once its progress is stored", t => {
    const { leaders } = createFleet();
    const [{ table, store }] = leaders;
    const [job] = [...table.all];
    const task = job.find(FIRST)!;
    t.true(job.isTaskTransferable(task));
    table.recordProgress(job);
    t.false(job.isTaskTransferable(task));
    store();
    t.true(job.isTaskTransferable(task));
    assign(createWorker(), task);
    t.false(job.isTaskTransferable(task));
    t.true(job.isTaskTransferable(job.find(NAMES[1])!));
    for (const overrides of [{ mode: "gang" }, { mode: "independent" }, { usesSpareCpu: true }] as const) {
        const other = createJob("b", createStep("x", false, { mode: "long-running", ...overrides }));
        other.openDue(0);
        other.state = "running";
        t.false(other.isTaskTransferable([...other.tasks()][0]));
    }
});

test("the next leader has the task until the record of its transfer is stored, and not from then on", t => {
    const fleet = createFleet();
    const [home, other] = fleet.leaders;
    home.table.recordProgress([...home.table.all][0]);
    home.store();
    home.table.transferTask(taskOf(home, FIRST), fleet.shards[1]);
    home.dispose();
    const early = fleet.lead(0, 3);
    [...early.table.all].forEach(job => job.openDue(0));
    t.deepEqual(ownTasks(early), NAMES);
    early.dispose();
    home.store();
    t.deepEqual(ownTasks(other), [FIRST]);
    const late = fleet.lead(0, 4);
    [...late.table.all].forEach(job => job.openDue(0));
    t.deepEqual(ownTasks(late), NAMES.slice(1));
    t.deepEqual(ownTasks(fleet.lead(1, 6)), [FIRST]);
});

test("a task that goes back and forth is where its latest transfer puts it, under the same leaders and the next ones", t => {
    const fleet = createFleet();
    const { leaders, shards, apply, jobs } = fleet;
    const [home, other] = leaders;
    home.table.transferTask(taskOf(home, FIRST), shards[1]);
    home.store();
    const task = taskOf(other, FIRST);
    const run = assign(createWorker(), task);
    task.highestRun = run.record.run;
    loseRun(task);
    other.table.recordProgress(task.job);
    other.store();
    other.table.transferTask(task, shards[0]);
    // It is not read yet: a record about the job does not bring the task back.
    t.deepEqual(ownTasks(other), []);
    other.table.update(jobs.find("a")!);
    t.deepEqual(ownTasks(other), []);
    const sent = other.store();
    t.deepEqual(sent[0].key, `t/${FIRST}`);
    t.deepEqual(ownTasks(home), NAMES);
    t.is(taskOf(home, FIRST).highestRun, run.record.run);
    t.false(fleet.progress[1].has("p/a"));
    // A record with a lower count, as of a repeated read, has no effect.
    const { record } = decodeTaskTransfer(sent[0].value!)!;
    apply(`t/${FIRST}`, encodeTaskTransfer({ shard: shards[1], count: 1, record }));
    t.deepEqual([ownTasks(home), ownTasks(other)], [NAMES, []]);
    const [next, nextOther] = [fleet.lead(0, 3), fleet.lead(1, 6)];
    [...next.table.all].forEach(job => job.openDue(0));
    t.deepEqual([ownTasks(next), ownTasks(nextOther)], [NAMES, []]);
    t.is(taskOf(next, FIRST).highestRun, run.record.run);
});

test("a new leader inherits the runs of its own tasks, but none from before their latest transfer", t => {
    const fleet = createFleet();
    const runs = [7, 9, 11].map((run, index) => ({
        task: NAMES[index],
        run,
        worker: "w1",
        incarnation: 1,
        checkpoint: "",
    }));
    const record = (index: number, lastRun: number) => ({ task: NAMES[index], failures: 0, checkpoint: "", lastRun });
    const transferOf = (index: number, shard: number, lastRun: number) =>
        fleet.apply(
            `t/${NAMES[index]}`,
            encodeTaskTransfer({ shard: fleet.shards[shard], count: 2, record: record(index, lastRun) }),
        );
    fleet.progress[0].set("p/a", encodeProgress({ epoch: 2, state: "running", runs }));
    transferOf(0, 1, 7);
    transferOf(1, 0, 9);
    const next = fleet.lead(0, 3);
    t.deepEqual(
        next.inherited.map(({ task }) => task),
        [NAMES[2]],
    );
    t.is(taskOf(next, NAMES[1]).highestRun, 9);
    // Progress of an earlier stay of the whole job is not that of the task that came later.
    fleet.progress[1].set("p/a", encodeProgress({ epoch: 5, state: "running", runs }));
    const { inherited } = fleet.lead(1, 6);
    t.deepEqual(inherited, []);
});

test("a cancelled job ends in all shards that have tasks of it, and is deleted with their records by its own", t => {
    const fleet = createFleet();
    const { leaders, shards, apply, jobs } = fleet;
    const [home, other] = leaders;
    home.table.transferTask(taskOf(home, FIRST), shards[1]);
    home.table.transferTask(taskOf(home, NAMES[1]), shards[1]);
    home.store();
    const task = taskOf(other, FIRST);
    assign(createWorker(), task);
    let stopped = 0;
    other.table.onDidCancel(() => (stopped += 1));
    apply(jobKey("cancellation", "a"), "1");
    t.is(stopped, 1);
    loseRun(task);
    other.table.recordProgress(task.job);
    t.deepEqual(
        other.store().map(({ key }) => key),
        ["p/a"],
    );
    home.store();
    t.is(jobs.find("a")!.state, "cancelled");
    t.is(jobs.find("a")!.spec!.steps.length, 1);
    t.deepEqual([home.table.size, other.table.size], [0, 0]);
    for (const { pruner } of leaders) {
        pruner.tick(0);
        pruner.tick(2 * RETENTION_MS);
    }
    t.deepEqual(other.store(), []);
    const deleted = home.store();
    t.is(deleted[1].key, "j/a");
    t.deepEqual(
        deleted.filter(({ key }) => key.startsWith("t/")),
        [FIRST, NAMES[1]].map(name => ({ key: `t/${name}`, value: undefined })),
    );
    other.pruner.tick(3 * RETENTION_MS);
    other.store();
    t.deepEqual([[...fleet.progress[0]], [...fleet.progress[1]]], [[], []]);
});

test("a task of a job that is submitted again under the id of a deleted one is adopted like any other", t => {
    const fleet = createFleet();
    const { leaders, shards, apply, submit } = fleet;
    const [home, other] = leaders;
    const moveAndBack = () => {
        home.table.transferTask(taskOf(home, FIRST), shards[1]);
        home.store();
        t.deepEqual(ownTasks(other), [FIRST]);
        other.table.transferTask(taskOf(other, FIRST), shards[0]);
        other.store();
        home.table.transferTask(taskOf(home, FIRST), shards[1]);
        home.store();
    };
    moveAndBack();
    apply(jobKey("cancellation", "a"), "1");
    [home, other].forEach(leader => leader.store());
    home.pruner.tick(0);
    home.pruner.tick(2 * RETENTION_MS);
    home.store();
    submit();
    const [job] = [...home.table.all];
    job.openDue(0);
    job.state = "running";
    t.deepEqual(ownTasks(home), NAMES);
    const next = fleet.lead(1, 6);
    moveAndBack();
    t.deepEqual([ownTasks(other), ownTasks(next)], [[FIRST], [FIRST]]);
    // The end of the former job is still recorded by the leader before.
    fleet.progress[1].set("p/a", encodeProgress({ epoch: 5, state: "cancelled" }));
    t.deepEqual(ownTasks(fleet.lead(1, 7)), [FIRST]);
});

test("a job that fails in its shard ends in the other ones", t => {
    const { leaders, shards, apply } = createFleet();
    const [home, other] = leaders;
    home.table.transferTask(taskOf(home, FIRST), shards[1]);
    home.store();
    const { job } = taskOf(other, FIRST);
    assign(createWorker(), taskOf(other, FIRST));
    apply(jobKey("state", "a"), "failed");
    t.is(job.state, "failed");
    t.is(other.table.size, 1);
});

test("a task that is given up in another shard lets its job fail only in the shard of the job", t => {
    const { leaders, shards } = createFleet();
    const [home, other] = leaders;
    home.table.transferTask(taskOf(home, FIRST), shards[1]);
    home.store();
    const task = taskOf(other, FIRST);
    const { failures, host } = createController();
    task.lossesInARow = MAX_LOSSES_IN_A_ROW - 1;
    lose(failures, assignTo(createWorker(), task));
    t.deepEqual([task.job.state, host.failedJobs, mayStart(task)], ["running", [], false]);
    other.table.transferTask(task, shards[0]);
    other.store();
    const back = createController();
    back.failures.reviewEvidence(taskOf(home, FIRST));
    t.deepEqual(
        back.host.failedJobs.map(({ spec }) => spec.id),
        ["a"],
    );
});

/** Starts a task on a worker. @returns The worker. */
function assignTo(worker: WorkerContact, task: Task): WorkerContact {
    task.highestRun = start(worker, task, 0).record.run;
    return worker;
}

test("records of transfers without a job are deleted after a while", t => {
    const { leaders, shards, apply } = createFleet();
    const record = { task: "c.0.0.1", failures: 0, checkpoint: "", lastRun: 3 };
    // The shard of job `c` is not known to the test, so both leaders are asked.
    apply("t/c.0.0.1", encodeTaskTransfer({ shard: shards[1], count: 1, record }));
    leaders.forEach(({ pruner }) => pruner.tick(0));
    leaders.forEach(({ pruner }) => pruner.tick(RETENTION_MS));
    t.deepEqual(
        leaders.flatMap(({ store }) => store()),
        [{ key: "t/c.0.0.1", value: undefined }],
    );
});
