import test from "ava";
import { createJob, createStep } from "../../../dispatch/common/test/runs";
import { encodeSpec, jobKey } from "../jobRecord";
import { JobTable } from "../jobTable";
import { ProgressTable } from "../progressTable";

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
