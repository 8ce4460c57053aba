import test from "ava";
import { createJob, createStep } from "../../../dispatch/common/jobs/test/runs";
import { encodeSpec, jobKey } from "../jobRecord";
import { JobTable } from "../jobTable";
import { encodeTransfer } from "../jobTransfer";
import { ProgressTable } from "../progressTable";
import { encodeTaskTransfer } from "../taskTransfer";

const MALFORMED = ["", "{", "null", "[]", '{"id":"a"}', '{"id":"a","steps":[{"tasks":-1}]}'];

test("a malformed record is reported and has no effect", t => {
    const jobs = JobTable.create();
    const ignored: number[] = [];
    jobs.onDidIgnore(record => ignored.push(record.offset));
    MALFORMED.forEach((value, offset) => jobs.apply({ key: jobKey("spec", "a"), value, offset }));
    jobs.apply({ key: jobKey("state", "a"), value: "exploded", offset: 90 });
    t.deepEqual(ignored, [...MALFORMED.keys(), 90]);
    t.is(jobs.find("a"), undefined);
    const { spec } = createJob("a", createStep("x", false));
    jobs.apply({ key: jobKey("spec", "a"), value: encodeSpec(spec), offset: 91 });
    t.deepEqual(jobs.find("a")?.spec, JSON.parse(encodeSpec(spec)));
});

test("malformed progress is told apart from none", t => {
    const progress = ProgressTable.create();
    MALFORMED.forEach((value, offset) => progress.apply({ key: jobKey("progress", "a"), value, offset }));
    t.true(progress.isMalformed("a"));
    t.is(progress.find("a"), undefined);
    t.false(progress.isMalformed("b"));
});

// A leader that is lost between the two deletions leaves the transfer. Instances that follow the stream have dropped it with the spec.
test("all instances have a job in the same shard that is submitted again while the transfer of an earlier one remains", t => {
    const [earlier, later] = [1, 2].map(acceptedAtMs =>
        encodeSpec({ ...createJob("a", createStep("x", false)).spec, acceptedAtMs }),
    );
    const following = JobTable.create();
    const transfer = encodeTransfer({ shard: 1, count: 1 });
    const history: [key: string, value: string | undefined][] = [
        [jobKey("spec", "a"), earlier],
        [jobKey("transfer", "a"), transfer],
        [jobKey("spec", "a"), undefined],
        [jobKey("spec", "a"), later],
    ];
    history.forEach(([key, value], offset) => following.apply({ key, value, offset }));
    const loading = JobTable.create();
    loading.apply({ key: jobKey("spec", "a"), value: later, offset: 3 });
    loading.apply({ key: jobKey("transfer", "a"), value: transfer, offset: 1 });
    t.deepEqual(loading.transferOf("a"), following.transferOf("a"));
});

test("the transfer of a task counts until it is deleted after its job, and an older or malformed one has no effect", t => {
    const jobs = JobTable.create();
    const record = { task: "a.0.0.1", failures: 1, checkpoint: "c", lastRun: 7, suspicion: undefined, lossesInARow: 0 };
    let offset = 0;
    const apply = (key: string, value: string | undefined) => jobs.apply({ key, value, offset: offset++ });
    const applyTransfer = (shard: number, count: number) =>
        apply(jobKey("task-transfer", record.task), encodeTaskTransfer({ shard, count, record }));
    const transfers = () => [...jobs.taskTransfersOf("a")];
    let ignored = 0;
    jobs.onDidIgnore(() => (ignored += 1));
    apply(jobKey("spec", "a"), encodeSpec(createJob("a", createStep("x", false)).spec));
    applyTransfer(1, 2);
    applyTransfer(0, 1);
    apply(jobKey("task-transfer", record.task), '{"shard":1,"count":3}');
    t.deepEqual(transfers(), [{ shard: 1, count: 2, record }]);
    t.is(ignored, 1);
    apply(jobKey("spec", "a"), undefined);
    t.is(transfers().length, 1);
    apply(jobKey("task-transfer", record.task), undefined);
    t.deepEqual(transfers(), []);
    t.is(jobs.size, 0);
});
