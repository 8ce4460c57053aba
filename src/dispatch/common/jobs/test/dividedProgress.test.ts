import test from "ava";
import { decodeProgress, JobProgress, jobKey, RunRecord } from "../../../../jobs/common/jobRecord";
import { OccurrenceSet } from "../../../../jobs/common/occurrenceSet";
import { ProgressDivision } from "../../../../jobs/common/progressDivision";
import { DividedProgress } from "../dividedProgress";

const HEAD = jobKey("progress", "a");

/** @param stored Keys that a former leader has written. @returns Records of a job of 20,000 tasks. */
function createRecords(stored: readonly string[] = []): DividedProgress {
    const steps = [10_000, 10_000].map(tasks => ({ tasks }));
    const division = ProgressDivision.create({ id: "a", steps, occurrences: 0 } as never);
    return DividedProgress.create("a", division, stored);
}

/** @returns Progress with the runs of a range of the tasks of the first step. */
function runningFrom(first: number, last: number, run = 1): JobProgress {
    const runOf = (index: number): RunRecord => {
        return { task: `a.0.0.${index}`, run, worker: "i-7f3a91c200", incarnation: 1_700_000_000_000, checkpoint: "" };
    };
    return {
        epoch: 1,
        state: "running",
        runs: Array.from({ length: last - first }, (_, index) => runOf(first + index)),
    };
}

const keysOf = (records: DividedProgress, progress: JobProgress) => records.build(progress).map(({ key }) => key);

test("only the part of a wide job that has changed is written", t => {
    const records = createRecords();
    t.deepEqual(keysOf(records, runningFrom(0, 300)), ["q/a/0", "q/a/1", HEAD]);
    records.confirm();
    t.deepEqual(keysOf(records, runningFrom(0, 301)), ["q/a/1"]);
    records.confirm();
    t.deepEqual(keysOf(records, runningFrom(0, 301)), [HEAD]);
});

test("a part that was not stored is written again", t => {
    const records = createRecords();
    records.build(runningFrom(0, 10));
    t.deepEqual(keysOf(records, runningFrom(0, 11)), ["q/a/0", HEAD]);
    t.is(records.storedBuilds, 0);
    records.confirm();
    t.is(records.storedBuilds, 2);
});

test("a part without progress is deleted", t => {
    const records = createRecords();
    records.build(runningFrom(0, 300));
    records.confirm();
    t.deepEqual(records.build(runningFrom(0, 256)), [{ key: "q/a/1", value: undefined }]);
    records.confirm();
    t.deepEqual([...records.keys], ["q/a/0", HEAD]);
});

test("all parts are stored in turn although all of them change all the time", t => {
    const records = createRecords();
    let builds = 0;
    while (records.storedBuilds < 1 && builds < 20) {
        builds += 1;
        records.build(runningFrom(0, 10_000, builds));
        records.confirm();
    }
    t.true(builds > 1 && builds <= 5, `${builds} builds`);
});

test("the record of a former version is replaced only after all parts are stored", t => {
    const records = createRecords([HEAD]);
    const stored = new Set<string>();
    for (let builds = 1; !stored.has(HEAD); builds++) {
        for (const key of keysOf(records, runningFrom(0, 10_000, builds))) {
            stored.add(key);
            t.true(key !== HEAD || stored.size === 41, `${stored.size} records`);
        }
        records.confirm();
    }
});

test("the state of a finished job is stored before its parts", t => {
    const records = createRecords();
    while (records.storedBuilds < 1) {
        records.build(runningFrom(0, 10_000));
        records.confirm();
    }
    const [first, ...others] = records.build({ epoch: 1, state: "cancelled" });
    t.is(first.key, HEAD);
    t.deepEqual([...new Set(others.map(({ value }) => value))], [undefined]);
});

/** @returns Records of a job of 1,024 occurrences of one task, and its progress with the first ones closed. */
function createScheduled() {
    const spec = { id: "a", steps: [{ tasks: 1 }], occurrences: 1_024 };
    const records = DividedProgress.create("a", ProgressDivision.create(spec as never), []);
    const closed = OccurrenceSet.create();
    const progressOf = (count: number, open: Readonly<Record<string, string>> = {}): JobProgress => {
        for (let occurrence = closed.size; occurrence < count; occurrence++) {
            closed.add(occurrence);
        }
        return { epoch: 1, state: "running", done: open, closed };
    };
    return { records, progressOf };
}

// All that was done of a job was encoded and compared for each append, so that these took longer and longer.
test("a part whose occurrences are all closed is written once, and one of others whenever it changes", t => {
    const { records, progressOf } = createScheduled();
    const built = records.build(progressOf(300, { "301.0": "1" }));
    const doneIn = (key: string) => decodeProgress(built.find(each => each.key === key)!.value!)!.done!;
    t.is(Object.keys(doneIn("q/a/0")).length, 256);
    t.is(Object.keys(doneIn("q/a/1")).length, 300 - 256 + 1);
    records.confirm();
    t.deepEqual(keysOf(records, progressOf(301, { "301.0": "1" })), ["q/a/1"]);
    records.confirm();
    t.deepEqual([...records.keys].sort(), [HEAD, "q/a/0", "q/a/1"].sort());
});

test("a part of closed occurrences that was not stored is written again", t => {
    const { records, progressOf } = createScheduled();
    records.build(progressOf(256));
    t.true(keysOf(records, progressOf(256)).includes("q/a/0"));
});

test("the parts of closed occurrences are deleted when their job has finished", t => {
    const { records, progressOf } = createScheduled();
    records.build(progressOf(300));
    records.confirm();
    const finished = records.build({ epoch: 1, state: "done" });
    t.deepEqual(
        finished.filter(({ value }) => value === undefined).map(({ key }) => key),
        ["q/a/1", "q/a/0"],
    );
});
