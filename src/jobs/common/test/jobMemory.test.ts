import test from "ava";
import { createJob, createStep } from "../../../dispatch/common/jobs/test/runs";
import { JobAdmission } from "../jobAdmission";
import { estimateJobBytes } from "../jobMemory";
import { encodeSpec, jobKey } from "../jobRecord";
import { JobTable } from "../jobTable";

const MAX_BYTES = 10_000;

test("a job is admitted while there is memory beside known jobs and those that are being stored", t => {
    let heldBytes = 4_000;
    const admission = JobAdmission.create(MAX_BYTES, () => heldBytes);
    t.is(admission.judge(6_000), "admitted");
    admission.begin(5_000);
    t.is(admission.judge(1_001), "full");
    admission.end(5_000);
    t.is(admission.judge(6_000), "admitted");
    heldBytes = 9_000;
    t.is(admission.judge(1_001), "full");
    t.is(admission.judge(10_001), "too-large");
});

test("a table knows what its jobs take: less when their tasks are over, and nothing when they are forgotten", t => {
    const jobs = JobTable.create();
    const { spec } = createJob("a", createStep("x", false));
    const record = { key: jobKey("spec", "a"), value: encodeSpec(spec), offset: 1 };
    jobs.apply(record);
    t.is(jobs.heldBytes, estimateJobBytes(spec, true));
    jobs.apply({ ...record, offset: 2 });
    t.is(jobs.heldBytes, estimateJobBytes(spec, true));
    jobs.apply({ key: jobKey("state", "a"), value: "done", offset: 3 });
    t.is(jobs.heldBytes, estimateJobBytes(spec, false));
    jobs.apply({ key: jobKey("spec", "a"), value: undefined, offset: 4 });
    t.is(jobs.heldBytes, 0);
});

test("the record of each occurrence counts as long as a job is open", t => {
    const { spec } = createJob("a", createStep("x", false));
    const bytesOf = (occurrences: number, isOpen: boolean) => estimateJobBytes({ ...spec, occurrences }, isOpen);
    t.true(bytesOf(1_000_000, true) > 100_000_000);
    t.true(bytesOf(8, true) < bytesOf(0, true) * 1.5);
    t.is(bytesOf(1_000_000, false), bytesOf(0, false));
});
