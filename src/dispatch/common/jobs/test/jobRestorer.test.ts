import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeProgress, encodeSpec, jobKey } from "../../../../jobs/common/jobRecord";
import { JobTable } from "../../../../jobs/common/jobTable";
import { ProgressTable } from "../../../../jobs/common/progressTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable } from "../activeJobTable";
import { JobRestorer } from "../jobRestorer";
import { createJob, createStep } from "./runs";

/** Jobs of one task each, with a restorer. */
function createRestorer(ids: readonly string[]) {
    const outbox = Outbox.create<RecordEffect>();
    const createWriter = (name: string) =>
        RecordWriter.create(name, name === "jobs" ? "jobs" : "progress", { name: "leader", epoch: 2 }, outbox);
    const writers = { jobs: createWriter("jobs"), progress: createWriter("progress") };
    const jobs = JobTable.create();
    const progress = ProgressTable.create();
    const submit = (id: string) => {
        const { spec } = createJob(id, createStep("x", false));
        jobs.apply({ key: jobKey("spec", id), value: encodeSpec(spec), offset: jobs.size });
    };
    ids.forEach(submit);
    const table = ActiveJobTable.create(2, writers);
    const restorer = JobRestorer.create(jobs, progress, table, () => undefined);
    const statesOf = () => [...table.all].map(({ spec, state }) => `${spec.id} ${state}`);
    return { jobs, progress, table, restorer, submit, statesOf, writers, outbox };
}

test("a slice ends with the job that exceeds its work, and has at least one job", t => {
    const { restorer, statesOf } = createRestorer(["a", "b", "c"]);
    restorer.restore(0.5);
    t.deepEqual(statesOf(), ["a queued"]);
    t.true(restorer.isWaiting("b"));
    restorer.restore(3);
    t.deepEqual(statesOf(), ["a queued", "b queued", "c queued"]);
    t.true(restorer.isDone);
});

test("a job that is cancelled before it is restored is restored as cancelled", t => {
    const { jobs, restorer, statesOf } = createRestorer(["a", "b"]);
    restorer.restore(1);
    jobs.apply({ key: jobKey("cancellation", "b"), value: "1", offset: 10 });
    restorer.restore();
    t.deepEqual(statesOf(), ["a queued"]);
});

test("a job that is submitted while others are restored is left to the table of active jobs", t => {
    const { jobs, table, restorer, submit, statesOf } = createRestorer(["a", "b"]);
    jobs.onDidChange(entry => restorer.isWaiting(entry.id) || table.update(entry));
    restorer.restore(1);
    submit("c");
    t.deepEqual(statesOf(), ["a queued", "c queued"]);
    restorer.restore();
    t.deepEqual(statesOf().sort(), ["a queued", "b queued", "c queued"]);
    t.true(restorer.isDone);
});

test("progress without a job is deleted once all jobs are restored", t => {
    const { progress, restorer, writers, outbox } = createRestorer(["a"]);
    const key = jobKey("progress", "x");
    progress.apply({ key, value: encodeProgress({ epoch: 1, state: "running" }), offset: 1 });
    restorer.restore();
    writers.progress.flush(0);
    const appended = outbox.drain().flatMap(effect => (effect.kind === "append" ? effect.append.records : []));
    t.deepEqual(appended, [{ key, value: undefined }]);
});
