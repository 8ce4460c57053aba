import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { encodeProgress } from "../../../jobs/common/jobRecord";
import { JobTable } from "../../../jobs/common/jobTable";
import { RecordEffect } from "../../../records/common/recordTraffic";
import { RecordWriter } from "../../../records/common/recordWriter";
import { JobPruner } from "../jobPruner";

const RETENTION_MS = 120_000;

test("a finished job is deleted after the retention, an unfinished one is kept", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    const jobs = JobTable.create();
    jobs.take({ key: "s/a", value: encodeProgress({ epoch: 1, state: "done" }), offset: 1 });
    jobs.take({ key: "s/b", value: encodeProgress({ epoch: 1, state: "running" }), offset: 2 });
    const pruner = JobPruner.create(jobs, writer, RETENTION_MS);
    pruner.tick(0);
    pruner.tick(RETENTION_MS);
    writer.flush(RETENTION_MS);
    t.deepEqual(outbox.drain(), []);
    pruner.tick(2 * RETENTION_MS);
    writer.flush(2 * RETENTION_MS);
    const [effect] = outbox.drain();
    t.is(effect.kind, "append");
    const keys = effect.kind === "append" ? effect.append.records.map(each => each.key) : [];
    t.deepEqual(keys, ["c/a", "j/a", "s/a"]);
});
