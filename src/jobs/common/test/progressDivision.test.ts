import test from "ava";
import * as fc from "fast-check";
import { isTooLarge } from "../../../records/common/recordSize";
import { DoneSet } from "../doneSet";
import { decodeProgress, encodeProgress, jobKey, JobProgress } from "../jobRecord";
import { JobSpec } from "../jobSpec";
import { ProgressDivision } from "../progressDivision";
import { ProgressTable } from "../progressTable";

/** @returns A job with steps of these numbers of tasks. */
function createSpec(steps: readonly number[], occurrences = 0): JobSpec {
    return { id: "a", steps: steps.map(tasks => ({ tasks })), occurrences } as never;
}

/** @returns The progress that a leader reads. */
function read(records: Iterable<readonly [string, string]>): JobProgress | undefined {
    const table = ProgressTable.create();
    [...records].forEach(([key, value], offset) => table.apply({ key, value, offset }));
    return table.find("a");
}

/** Orders the lists, and leaves out the zeros behind the last done task of a group. */
function normalize({ epoch, state, done = {}, runs = [], tasks = [] }: JobProgress) {
    const byTask = (first: { readonly task: string }, second: { readonly task: string }) =>
        first.task < second.task ? -1 : 1;
    const digits = Object.entries(done).map(([group, each]) => [group, each.replace(/0+$/, "")] as const);
    const groups = digits.filter(([, each]) => each !== "").sort(([first], [second]) => (first < second ? -1 : 1));
    return { epoch, state, done: groups, runs: [...runs].sort(byTask), tasks: [...tasks].sort(byTask) };
}

const runOf = (task: string, run = 2_001) => ({
    task,
    run,
    worker: "i-7f3a91c200",
    incarnation: 1_700_000_000_000,
    checkpoint: "",
});
const taskOf = (task: string) => ({
    task,
    failures: 1,
    checkpoint: "c",
    lastRun: 1,
    suspicion: undefined,
    lossesInARow: 0,
});

test("a new leader reads the progress of a wide job as it was recorded", t => {
    fc.assert(
        fc.property(
            fc.array(fc.integer({ min: 1, max: 700 }), { minLength: 1, maxLength: 4 }),
            fc.integer({ min: 1, max: 3 }),
            fc.infiniteStream(fc.constantFrom("none", "done", "run", "task")),
            (steps, occurrences, kinds) => {
                const progress = { epoch: 3, state: "running" as const, done: {} as Record<string, string> };
                const runs: ReturnType<typeof runOf>[] = [];
                const tasks: ReturnType<typeof taskOf>[] = [];
                for (let occurrence = 0; occurrence < occurrences; occurrence++) {
                    steps.forEach((count, step) => {
                        const group = `${occurrence}.${step}`;
                        const done = DoneSet.create(count);
                        for (let index = 0; index < count; index++) {
                            const kind = kinds.next().value as string;
                            if (kind === "done") {
                                done.add(index);
                            } else if (kind === "run") {
                                runs.push(runOf(`a.${group}.${index}`));
                            } else if (kind === "task") {
                                tasks.push(taskOf(`a.${group}.${index}`));
                            }
                        }
                        progress.done[group] = done.pack();
                    });
                }
                const all = { ...progress, runs, tasks };
                const records = ProgressDivision.create(createSpec(steps, occurrences)).encode(all);
                t.deepEqual(normalize(read(records)!), normalize(all));
            },
        ),
        { numRuns: 30 },
    );
});

// The record of a job with 4,600 running tasks had more bytes than the store accepts, and no job was started from then on.
test("no record of a job with 20,000 tasks, all of them running, is too large", t => {
    const division = ProgressDivision.create(createSpec([10_000, 10_000]));
    t.true(division.isDivided);
    const names = [0, 1].flatMap(step => Array.from({ length: 10_000 }, (_, index) => `a.0.${step}.${index}`));
    const checkpoint = "0".repeat(96);
    const runs = names.map(each => ({ ...runOf(each), checkpoint }));
    const tasks = names.map(each => ({ ...taskOf(each), checkpoint }));
    const records = [...division.encode({ epoch: 3, state: "running", runs, tasks })];
    t.deepEqual(
        records.filter(([key, value]) => isTooLarge({ key, value })).map(([key]) => key),
        [],
    );
});

test("a job with few tasks has one record", t => {
    t.false(ProgressDivision.create(createSpec([100, 100])).isDivided);
    t.true(ProgressDivision.create(createSpec([100, 100], 2)).isDivided);
});

test("a version that knows no parts does not schedule the job", t => {
    const records = ProgressDivision.create(createSpec([300])).encode({
        epoch: 3,
        state: "running",
        runs: [runOf("a.0.0.0")],
    });
    t.is(decodeProgress(records.get(jobKey("progress", "a"))!), undefined);
});

test("parts replace the tasks of the one record of a former version", t => {
    const former = { epoch: 2, state: "running" as const, runs: [runOf("a.0.0.0", 1), runOf("a.0.0.299", 1)] };
    const division = ProgressDivision.create(createSpec([300]));
    const parts = [...division.encode({ epoch: 3, state: "running", tasks: [taskOf("a.0.0.0")] })].slice(0, -1);
    const progress = read([[jobKey("progress", "a"), encodeProgress(former)], ...parts])!;
    t.deepEqual(progress.runs, [runOf("a.0.0.299", 1)]);
    t.deepEqual(progress.tasks, [taskOf("a.0.0.0")]);
});

test("a job of which only parts are stored is running", t => {
    const division = ProgressDivision.create(createSpec([300]));
    const parts = [...division.encode({ epoch: 3, state: "running", runs: [runOf("a.0.0.0")] })].slice(0, -1);
    t.is(read(parts)?.state, "running");
});

test("a job of which a part is malformed is not scheduled", t => {
    const table = ProgressTable.create();
    table.apply({ key: "q/a/1", value: "[]", offset: 0 });
    t.true(table.isMalformed("a"));
});
