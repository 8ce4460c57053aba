import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeProgress, encodeSpec, JobProgress, jobKey } from "../../../../jobs/common/jobRecord";
import { decodeTransfer, encodeTransfer } from "../../../../jobs/common/jobTransfer";
import { JobTable, visibleStateOf } from "../../../../jobs/common/jobTable";
import { ProgressTable } from "../../../../jobs/common/progressTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { isTooLarge } from "../../../../records/common/recordSize";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable, LeaderWriters } from "../activeJobTable";
import { JobRestorer } from "../jobRestorer";
import { assign, createJob, createStep, createWorker } from "./runs";

function createWriters(outbox = Outbox.create<RecordEffect>()): LeaderWriters {
    const producer = { name: "p", epoch: 1 };
    return {
        jobs: RecordWriter.create("jobs", "jobs", producer, outbox),
        progress: RecordWriter.create("progress", "progress", producer, outbox),
    };
}

/** @returns A table with one job of one task, and functions to drain and confirm the appends of its writers. */
function createTable(step = createStep("x", false)) {
    const outbox = Outbox.create<RecordEffect>();
    const writers = createWriters(outbox);
    const jobs = JobTable.create();
    const { spec } = createJob("a", step);
    jobs.apply({ key: jobKey("spec", "a"), value: encodeSpec(spec), offset: 0 });
    const table = ActiveJobTable.create(1, writers);
    JobRestorer.create(jobs, ProgressTable.create(), table, () => undefined).restore();
    const appends = () => {
        writers.jobs.flush(1);
        writers.progress.flush(1);
        return outbox.drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
    };
    const store = (writer: "jobs" | "progress", sequence: number) =>
        writers[writer].handleAnswer(
            { kind: "append-answer", writer, sequence, result: { ok: true, val: 0 } as never },
            2,
        );
    const finish = () => {
        const [job] = [...table.all];
        job.openDue(0);
        job.markDone([...job.tasks()][0]);
        job.state = "done";
        table.recordProgress(job);
    };
    return { table, jobs, appends, store, finish };
}

test("a job is published as done only after its progress is stored", t => {
    const { appends, store, finish } = createTable();
    finish();
    const [progress, ...others] = appends();
    t.deepEqual(others, []);
    t.is(progress.stream, "progress");
    store("progress", progress.append.sequence);
    const [state] = appends();
    t.is(state.stream, "jobs");
    t.deepEqual(state.append.records[0], { key: "s/a", value: "done" });
});

test("an end in a finished job is confirmed only after the final state of the job is stored", t => {
    const { table, appends, store, finish } = createTable();
    finish();
    let confirmed = 0;
    table.whenFinishStored("a.0.0.0", () => (confirmed += 1));
    const [progress] = appends();
    t.is(confirmed, 0);
    store("progress", progress.append.sequence);
    t.is(confirmed, 1);
    table.whenFinishStored("a.0.0.0", () => (confirmed += 1));
    t.is(confirmed, 2);
});

test("an end in a job that goes on is confirmed only after its progress is stored, also if its task is not kept any more", t => {
    const { table, appends, store } = createTable();
    let confirmed = 0;
    table.whenFinishStored("a.7.0.0", () => (confirmed += 1));
    const [progress] = appends();
    t.is(confirmed, 0);
    store("progress", progress.append.sequence);
    t.is(confirmed, 1);
});

test("a record about a finished job does not start it again", t => {
    const { table, jobs, finish } = createTable();
    finish();
    table.update({ ...jobs.find("a")!, isCancelled: true });
    t.deepEqual([...table.all], []);
});

test("the spec of a finished job is truncated, and a later leader does not run the job again", t => {
    const { jobs, appends, store, finish } = createTable();
    finish();
    const [progress] = appends();
    store("progress", progress.append.sequence);
    const [published] = appends();
    const truncatedSpec = published.append.records.find(record => record.key === "j/a")!;
    t.true(truncatedSpec.value!.length < encodeSpec(jobs.find("a")!.spec!).length);
    const storedJobs = JobTable.create();
    const storedProgress = ProgressTable.create();
    published.append.records.forEach(({ key, value }, offset) => storedJobs.apply({ key, value, offset }));
    progress.append.records.forEach(({ key, value }, offset) => storedProgress.apply({ key, value, offset }));
    t.is(visibleStateOf(storedJobs.find("a")!), "done");
    const table = ActiveJobTable.create(2, createWriters());
    JobRestorer.create(storedJobs, storedProgress, table, () => t.fail()).restore();
    t.deepEqual([...table.all], []);
});

test("the spec of a job with runs is not truncated", t => {
    const { table, appends, store } = createTable();
    const [job] = [...table.all];
    job.openDue(0);
    assign(createWorker(), [...job.tasks()][0]);
    job.state = "cancelled";
    table.recordProgress(job);
    const [progress] = appends();
    store("progress", progress.append.sequence);
    const [published] = appends();
    t.deepEqual(
        published.append.records.map(record => record.key),
        ["s/a"],
    );
});

// A worker keeps each end that is not confirmed, and is given no tasks from 250 of them on.
test("the end of a given-up run of a long-running task is confirmable after its job was cancelled", t => {
    const { table } = createTable(createStep("web", true));
    const [job] = [...table.all];
    job.openDue(0);
    const [task] = [...job.tasks()];
    task.hasLostRun = true;
    task.highestRun = 2;
    job.state = "cancelled";
    table.recordProgress(job);
    t.true(table.isFinished("a"));
    t.false(table.isRestartedAfter("a.0.0.0", 1));
});

/** @returns A table with a job, and the job. */
function createTableWithJob() {
    const fixture = createTable();
    const [job] = [...fixture.table.all];
    return { ...fixture, job };
}

test("a job that was transferred is scheduled again only after a later transfer", t => {
    const { table, jobs, job, appends } = createTableWithJob();
    t.true(job.isTransferable);
    table.transfer(job, 1);
    t.is(table.size, 0);
    const [{ append }] = appends();
    t.is(append.records[0].key, "m/a");
    t.deepEqual(decodeTransfer(append.records[0].value!), { shard: 1, count: 1 });
    const entry = jobs.find("a")!;
    // Its cancellation is read before the transfer.
    table.update({ ...entry, isCancelled: true });
    t.is(table.size, 0);
    table.update({ ...entry, transfer: { shard: 0, count: 2 } });
    t.is(table.size, 1);
    t.deepEqual(
        table.takeArrivals().map(each => each.transfers),
        [2],
    );
});

test("a job whose record is not stored, or that has a run, is not transferable", t => {
    const { table, job, appends, store } = createTableWithJob();
    table.takeArrivals();
    job.openDue(0);
    const [task] = [...job.tasks()];
    const run = assign(createWorker(), task);
    t.false(job.isTransferable);
    run.fire("not-started", { now: 1 });
    task.run = undefined;
    table.recordProgress(job);
    t.false(job.isTransferable);
    const [progress] = appends();
    store("progress", progress.append.sequence);
    t.true(job.isTransferable);
    for (const change of [{ hasLostRun: true }, { lossesInARow: 1 }, { highestRun: task.lastRun + 1 }]) {
        const before = { hasLostRun: task.hasLostRun, lossesInARow: task.lossesInARow, highestRun: task.highestRun };
        Object.assign(task, change);
        t.false(job.isTransferable);
        Object.assign(task, before);
    }
    t.true(job.isTransferable);
});

test("the next leader continues a transferred job from its transfer, or from later progress", t => {
    const jobs = JobTable.create();
    const { spec } = createJob("a", createStep("x", false, { tasks: 4 }));
    const ofTransfer = { epoch: 3, state: "running", done: { "0.0": "1" }, runs: [], tasks: [] } as const;
    const transfer = { shard: 1, count: 2, progress: ofTransfer };
    jobs.apply({ key: jobKey("spec", "a"), value: encodeSpec(spec), offset: 0 });
    jobs.apply({ key: jobKey("transfer", "a"), value: encodeTransfer(transfer), offset: 1 });
    const doneOf = (progress: JobProgress | undefined) => {
        const recorded = ProgressTable.create();
        if (progress !== undefined) {
            recorded.apply({ key: jobKey("progress", "a"), value: encodeProgress(progress), offset: 0 });
        }
        const table = ActiveJobTable.create(5, createWriters());
        JobRestorer.create(jobs, recorded, table, () => undefined).restore();
        const [job] = [...table.all];
        t.is(job.transfers, 2);
        return [...job.groups][0].done.pack();
    };
    t.is(doneOf(undefined), "1");
    t.is(doneOf({ ...ofTransfer, done: { "0.0": "3" } }), "1");
    t.is(doneOf({ ...ofTransfer, done: { "0.0": "3" }, transfers: 1 }), "1");
    t.is(doneOf({ ...ofTransfer, done: { "0.0": "7" }, transfers: 2 }), "7");
});

/** Stores all appends of the table's writers. @returns Keys of the records, in order. */
function storeAll({ appends, store }: ReturnType<typeof createTable>): string[] {
    const keys: string[] = [];
    for (let pending = appends(); pending.length > 0; pending = appends()) {
        for (const { stream, append } of pending) {
            keys.push(...append.records.map(({ key }) => key));
            store(stream as "jobs" | "progress", append.sequence);
        }
    }
    return keys;
}

// The record of such a job was rejected by the store, and no job was started from then on.
test("the assignments of a job with 10,000 tasks are stored in records that the store accepts", t => {
    const fixture = createTable(createStep("x", false, { tasks: 10_000 }));
    const [job] = [...fixture.table.all];
    job.openDue(0);
    const worker = createWorker("i-7f3a91c200");
    let stored = 0;
    for (const task of job.tasks()) {
        assign(worker, task);
        fixture.table.recordProgress(job, () => (stored += 1));
    }
    job.state = "running";
    const appends = fixture.appends();
    t.deepEqual(appends.flatMap(({ append }) => append.records).filter(isTooLarge), []);
    appends.forEach(({ append }) => fixture.store("progress", append.sequence));
    storeAll(fixture);
    t.is(stored, 10_000);
});

test("an assignment counts as stored only when the records of all ends before it are", t => {
    const fixture = createTable(createStep("x", false, { tasks: 20_000 }));
    const [job] = [...fixture.table.all];
    job.openDue(0);
    const worker = createWorker("i-7f3a91c200");
    [...job.tasks()].forEach(task => assign(worker, task));
    let stored = 0;
    fixture.table.recordProgress(job, () => (stored += 1));
    const [first] = fixture.appends();
    fixture.store("progress", first.append.sequence);
    t.is(stored, 0);
    storeAll(fixture);
    t.is(stored, 1);
});

test("the records of a wide job are deleted with it, also by a new leader that knows it as finished", t => {
    const fixture = createTable(createStep("x", false, { tasks: 600 }));
    const [job] = [...fixture.table.all];
    job.openDue(0);
    const tasks = [...job.tasks()];
    const [lost] = tasks;
    tasks.forEach(task => job.markDone(task));
    lost.hasLostRun = true;
    lost.highestRun = 2;
    job.state = "done";
    fixture.table.recordProgress(job);
    const [progress] = fixture.appends();
    t.deepEqual(
        progress.append.records.map(({ key }) => key),
        ["p/a", "q/a/0"],
    );
    const stored = ProgressTable.create();
    progress.append.records.forEach(({ key, value }, offset) => stored.apply({ key, value, offset }));
    const outbox = Outbox.create<RecordEffect>();
    const writers = createWriters(outbox);
    const table = ActiveJobTable.create(2, writers);
    JobRestorer.create(fixture.jobs, stored, table, () => t.fail()).restore();
    t.true(table.isFinished("a"));
    t.true(table.isRestartedAfter("a.0.0.0", 1));
    table.remove("a");
    writers.progress.flush(1);
    t.deepEqual(
        outbox.drain().flatMap(effect => (effect.kind === "append" ? effect.append.records : [])),
        [
            { key: "p/a", value: undefined },
            { key: "q/a/0", value: undefined },
        ],
    );
});

test("a job that is submitted again after its retention is scheduled by the leader that had left the earlier one to another shard", t => {
    const { table, jobs, job } = createTableWithJob();
    table.transfer(job, 1);
    jobs.apply({ key: jobKey("transfer", "a"), value: encodeTransfer({ shard: 1, count: 1 }), offset: 1 });
    jobs.apply({ key: jobKey("spec", "a"), value: undefined, offset: 2 });
    jobs.apply({ key: jobKey("transfer", "a"), value: undefined, offset: 3 });
    jobs.apply({ key: jobKey("spec", "a"), value: encodeSpec(job.spec), offset: 4 });
    table.update(jobs.find("a")!);
    t.is(table.size, 1);
});

test("progress of a job that was transferred is not that of one which is submitted under its id after its retention", t => {
    const { table, jobs, job, appends, store } = createTableWithJob();
    const newest = new Map<string, string | undefined>();
    const storeProgress = () => {
        for (let sent = appends(); sent.length > 0; sent = appends()) {
            sent.filter(({ stream }) => stream === "progress").forEach(({ append }) =>
                append.records.forEach(({ key, value }) => newest.set(key, value)),
            );
            sent.forEach(({ stream, append }) => store(stream as "jobs" | "progress", append.sequence));
        }
    };
    job.openDue(0);
    job.state = "running";
    table.recordProgress(job);
    storeProgress();
    table.transfer(job, 1);
    storeProgress();
    jobs.apply({ key: jobKey("spec", "a"), value: undefined, offset: 2 });
    jobs.apply({ key: jobKey("spec", "a"), value: encodeSpec(job.spec), offset: 4 });
    const stored = ProgressTable.create();
    newest.forEach((value, key) => stored.apply({ key, value, offset: 0 }));
    const next = ActiveJobTable.create(2, createWriters());
    JobRestorer.create(jobs, stored, next, () => undefined).restore();
    t.deepEqual(
        [...next.all].map(({ state }) => state),
        ["queued"],
    );
});
