import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { encodeSpec, jobKey } from "../../../jobs/common/jobRecord";
import { JobTable, stateOf } from "../../../jobs/common/jobTable";
import { ProgressTable } from "../../../jobs/common/progressTable";
import { RecordEffect } from "../../../records/common/recordTraffic";
import { RecordWriter } from "../../../records/common/recordWriter";
import { ActiveJobTable, LeaderWriters } from "../activeJobTable";
import { assign, createJob, createStep, createWorker } from "./runs";

function createWriters(outbox = Outbox.create<RecordEffect>()): LeaderWriters {
    const producer = { name: "p", epoch: 1 };
    return {
        jobs: RecordWriter.create("jobs", "jobs", producer, outbox),
        progress: RecordWriter.create("progress", "progress", producer, outbox),
    };
}

/** A book with one job of one task, and the appends that its writers make. */
function createBook() {
    const outbox = Outbox.create<RecordEffect>();
    const writers = createWriters(outbox);
    const jobs = JobTable.create();
    const { spec } = createJob("a", createStep("x", false));
    jobs.take({ key: jobKey("spec", "a"), value: encodeSpec(spec), offset: 0 });
    const book = ActiveJobTable.create(1, writers);
    book.load(jobs, ProgressTable.create(), () => undefined);
    const appends = () => {
        writers.jobs.flush(1);
        writers.progress.flush(1);
        return outbox.drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
    };
    const store = (writer: "jobs" | "progress", sequence: number) =>
        writers[writer].answer({ kind: "append-answer", writer, sequence, result: { ok: true, val: 0 } as never }, 2);
    const finish = () => {
        const [job] = [...book.all];
        job.openDue(0);
        job.markDone([...job.tasks()][0]);
        job.state = "done";
        book.recordProgress(job);
    };
    return { book, jobs, appends, store, finish };
}

test("callers are shown that a job is done only when its progress is stored", t => {
    const { appends, store, finish } = createBook();
    finish();
    const [progress, ...others] = appends();
    t.deepEqual(others, []);
    t.is(progress.stream, "progress");
    store("progress", progress.append.sequence);
    const [state] = appends();
    t.is(state.stream, "jobs");
    t.deepEqual(state.append.records[0], { key: "s/a", value: "done" });
});

test("an end of a job that is over is confirmed only when that is stored", t => {
    const { book, appends, store, finish } = createBook();
    finish();
    let confirmed = 0;
    book.whenFinishStored("a.0.0.0", () => (confirmed += 1));
    const [progress] = appends();
    t.is(confirmed, 0);
    store("progress", progress.append.sequence);
    t.is(confirmed, 1);
    book.whenFinishStored("a.0.0.0", () => (confirmed += 1));
    t.is(confirmed, 2);
});

test("a record about a job that is over does not make it run again", t => {
    const { book, jobs, finish } = createBook();
    finish();
    book.update({ ...jobs.find("a")!, isCancelled: true });
    t.deepEqual([...book.all], []);
});

test("the submission of a job that is over is shortened, and a later leader does not run it again", t => {
    const { jobs, appends, store, finish } = createBook();
    finish();
    const [progress] = appends();
    store("progress", progress.append.sequence);
    const [published] = appends();
    const short = published.append.records.find(record => record.key === "j/a")!;
    t.true(short.value!.length < encodeSpec(jobs.find("a")!.spec!).length);
    const later = JobTable.create();
    const left = ProgressTable.create();
    published.append.records.forEach(({ key, value }, offset) => later.take({ key, value, offset }));
    progress.append.records.forEach(({ key, value }, offset) => left.take({ key, value, offset }));
    t.is(stateOf(later.find("a")!), "done");
    const book = ActiveJobTable.create(2, createWriters());
    book.load(later, left, () => t.fail());
    t.deepEqual([...book.all], []);
});

test("the submission of a job with runs is kept whole", t => {
    const { book, appends, store } = createBook();
    const [job] = [...book.all];
    job.openDue(0);
    assign(createWorker(), [...job.tasks()][0]);
    job.state = "cancelled";
    book.recordProgress(job);
    const [progress] = appends();
    store("progress", progress.append.sequence);
    const [published] = appends();
    t.deepEqual(
        published.append.records.map(record => record.key),
        ["s/a"],
    );
});
