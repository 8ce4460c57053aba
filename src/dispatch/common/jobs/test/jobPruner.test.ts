import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { encodeProgress, encodeSpec, jobKey } from "../../../../jobs/common/jobRecord";
import { encodeTransfer } from "../../../../jobs/common/jobTransfer";
import { JobTable } from "../../../../jobs/common/jobTable";
import { ProgressTable } from "../../../../jobs/common/progressTable";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ActiveJobTable } from "../activeJobTable";
import { JobPruner } from "../jobPruner";
import { JobRestorer } from "../jobRestorer";
import { createJob, createStep } from "./runs";

const RETENTION_MS = 120_000;

/** @returns A pruner for two jobs, of which `a` is done. */
function createPruner() {
    const outbox = Outbox.create<RecordEffect>();
    const producer = { name: "p", epoch: 1 };
    const writers = {
        jobs: RecordWriter.create("jobs", "jobs", producer, outbox),
        progress: RecordWriter.create("progress", "progress", producer, outbox),
    };
    const jobs = JobTable.create();
    const progress = ProgressTable.create();
    ["a", "b"].forEach((id, offset) => {
        const state = id === "a" ? "done" : "running";
        jobs.apply({ key: jobKey("spec", id), value: encodeSpec(createJob(id, createStep("x", false)).spec), offset });
        jobs.apply({ key: jobKey("state", id), value: state, offset: 2 + offset });
        progress.apply({ key: jobKey("progress", id), value: encodeProgress({ epoch: 1, state }), offset });
    });
    const activeJobs = ActiveJobTable.create(1, writers);
    JobRestorer.create(jobs, progress, activeJobs, () => undefined).restore();
    const appends = (now: number) => {
        writers.jobs.flush(now);
        writers.progress.flush(now);
        return outbox.drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
    };
    return { jobs, pruner: JobPruner.create(jobs, activeJobs, writers, RETENTION_MS), writers, appends };
}

test("a finished job is deleted after the retention, an unfinished one is kept", t => {
    const { pruner, appends } = createPruner();
    pruner.tick(0);
    pruner.tick(RETENTION_MS);
    t.deepEqual(appends(RETENTION_MS), []);
    pruner.tick(2 * RETENTION_MS);
    const [effect] = appends(2 * RETENTION_MS);
    t.deepEqual(
        effect.append.records.map(each => each.key),
        ["c/a", "j/a", "s/a"],
    );
});

test("the progress of a job is deleted only after the deletion of its spec is confirmed", t => {
    const { pruner, writers, appends } = createPruner();
    pruner.tick(0);
    pruner.tick(2 * RETENTION_MS);
    const [effect, ...others] = appends(2 * RETENTION_MS);
    t.deepEqual(others, []);
    const { sequence } = effect.append;
    const result = { ok: true, val: 0 } as never;
    writers.jobs.handleAnswer({ kind: "append-answer", writer: "jobs", sequence, result }, 2 * RETENTION_MS);
    const [later] = appends(2 * RETENTION_MS);
    t.deepEqual(
        later.append.records.map(each => each.key),
        ["p/a"],
    );
});

test("the transfer of a job is deleted after its spec, also if the leader that deleted the spec is lost before", t => {
    const { jobs, pruner, appends } = createPruner();
    jobs.apply({ key: jobKey("transfer", "a"), value: encodeTransfer({ shard: 0, count: 1 }), offset: 9 });
    pruner.tick(0);
    pruner.tick(2 * RETENTION_MS);
    const [effect] = appends(2 * RETENTION_MS);
    const keys = effect.append.records.map(each => each.key);
    t.true(keys.includes("j/a") && keys.indexOf("m/a") > keys.indexOf("j/a"), keys.join());

    const next = createPruner();
    next.jobs.apply({ key: jobKey("transfer", "c"), value: encodeTransfer({ shard: 0, count: 1 }), offset: 9 });
    next.pruner.tick(0);
    t.deepEqual(next.appends(0), []);
    next.pruner.tick(RETENTION_MS);
    t.deepEqual(next.appends(RETENTION_MS)[0].append.records, [{ key: "m/c", value: undefined }]);
    next.jobs.apply({ key: jobKey("transfer", "c"), value: undefined, offset: 10 });
    t.is(next.jobs.transferOf("c"), undefined);
});
