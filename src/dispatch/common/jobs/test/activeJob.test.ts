import test from "ava";
import { DoneSet } from "../../../../jobs/common/doneSet";
import { decodeSpec, encodeSpec, withClosed } from "../../../../jobs/common/jobRecord";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { ActiveJob } from "../activeJob";
import { assign, createJob, createStep, createWorker } from "./runs";

test("of a million occurrences that are due at once, only so many are open as have 20,000 unfinished tasks", t => {
    const { spec } = createJob("j", createStep("batch", false, { tasks: 4 }));
    const job = ActiveJob.create({ ...spec, occurrences: 1_000_000 }, 0, undefined);
    t.true(job.openDue(1));
    t.is([...job.groups].length, 5_000);
    t.false(job.openDue(2));
    const [first] = job.groups;
    first.tasks.forEach(task => job.markDone(task));
    t.true(job.openDue(3));
    // The finished one is closed in its place.
    t.is([...job.groups].length, 5_000);
    t.is(job.find("j.0.0.0"), undefined);
    t.not(job.find("j.5000.0.0"), undefined);
});

/** @returns A job of some occurrences of two steps, of which the first ones are done. */
function createPartlyDone(occurrences: number, done: number): ActiveJob {
    const { spec } = createJob("j", createStep("batch", false, { tasks: 3 }));
    const steps = [createStep("batch", false, { tasks: 3 }), createStep("batch", false, { after: [0] })];
    const job = ActiveJob.create({ ...spec, steps, occurrences }, 0, undefined);
    job.openDue(1);
    [...job.groups]
        .filter(({ occurrence }) => occurrence < done)
        .forEach(({ tasks }) => tasks.forEach(task => job.markDone(task)));
    job.openDue(2);
    return job;
}

// Tasks of finished occurrences took memory until the whole job had ended (review/12).
test("a finished occurrence keeps no tasks, and is still recorded as done", t => {
    const job = createPartlyDone(40, 30);
    t.is([...job.tasks()].length, 10 * 4);
    const progress = withClosed(job.progress(1), job.spec.steps);
    t.is(Object.keys(progress.done!).length, 30 * 2);
    t.is(progress.done!["29.0"], "7");
    const restored = ActiveJob.create(job.spec, 0, progress);
    t.is([...restored.tasks()].length, 0);
    t.true(restored.openDue(2));
    t.deepEqual(
        [...restored.groups].map(({ key }) => key),
        [...job.groups].map(({ key }) => key),
    );
    [...restored.tasks()].forEach(task => restored.markDone(task));
    t.true(restored.isDone);
});

test("a finished occurrence keeps its tasks while one has a run, and when one was given up that may have ended", t => {
    const job = createPartlyDone(3, 0);
    const [running, lost, other] = [0, 1, 2].map(occurrence => job.find(`j.${occurrence}.0.0`)!);
    const run = assign(createWorker(), running);
    lost.hasLostRun = true;
    [...job.tasks()].forEach(task => job.markDone(task));
    job.openDue(3);
    t.deepEqual(
        [running, lost, other].map(({ name }) => job.find(name) !== undefined),
        [true, true, false],
    );
    t.true(job.isTaskDone(other));
    run.fire("accepted", { now: 0 });
    running.run = undefined;
    job.openDue(4);
    t.deepEqual(
        [running, lost].map(({ name }) => job.find(name) !== undefined),
        [false, true],
    );
});

// LOST: a new leader took over that a long-running task was done.
test("a long-running task that an earlier leader recorded as done is not done", t => {
    const { spec } = createJob("j", createStep("web", true));
    const done = DoneSet.create(1, undefined);
    done.add(0);
    const progress = { epoch: 1, state: "running" as const, done: { "0.0": done.pack() }, runs: [], tasks: [] };
    const job = ActiveJob.create(spec, 0, progress);
    t.false(job.isTaskDone([...job.tasks()][0]));
    t.false(job.isDone);
});

test("a gang of which only some of the records with its tasks were stored as done is done", t => {
    const { spec } = createJob("j", createStep("solver", false, { tasks: 300, mode: "gang" }));
    const progress = { epoch: 1, state: "running" as const, done: { "0.0": "f" }, runs: [], tasks: [] };
    const job = ActiveJob.create(spec, 0, progress);
    t.true(job.isTaskDone(job.find("j.0.0.299")!));
    t.true(job.isDone);
});

// Each end of a member went over all tasks of the job, so a leader hung when a gang of 10,000 broke beside other steps.
test("the runs of a broken gang are stopped once, and those of its next start again", t => {
    const { spec } = createJob("j", createStep("solver", false, { tasks: 3, mode: "gang" }));
    const job = ActiveJob.create(spec, 0, undefined);
    job.openDue(0);
    const tasks = [...job.tasks()];
    const worker = createWorker();
    const runs = tasks.map(task => assign(worker, task));
    tasks[0].run = undefined;
    t.deepEqual(job.gangRunsToStop(tasks[0], runs[0].record.run), runs.slice(1));
    tasks[1].run = undefined;
    t.deepEqual(job.gangRunsToStop(tasks[1], runs[1].record.run), []);
    tasks[2].run = undefined;
    const restarted = tasks.map(task => assign(worker, task, 0, 2));
    tasks[0].run = undefined;
    t.deepEqual(job.gangRunsToStop(tasks[0], 2), restarted.slice(1));
});

// The estimate went over all steps for each group of each occurrence in a pass.
test("the remaining time of a step is estimated once for all occurrences", t => {
    let reads = 0;
    const countEstimate = (step: StepSpec) =>
        Object.defineProperty({ ...step }, "estimateMs", { get: () => ((reads += 1), step.estimateMs) });
    const { spec } = createJob("j", createStep("batch", false));
    const steps = [[], [0], [1]].map(after => countEstimate(createStep("batch", false, { after })));
    const job = ActiveJob.create({ ...spec, steps, occurrences: 50 }, 0, undefined);
    job.openDue(1);
    const [first, ...others] = [...job.groups].filter(({ step }) => step === steps[0]);
    const remainingMs = job.remainingMs(first);
    t.is(remainingMs, 3 * createStep("batch", false).estimateMs);
    reads = 0;
    t.true(others.every(each => job.remainingMs(each) === remainingMs));
    t.is(reads, 0);
});

// A call with too many arguments ended the leader, and each one after it.
test("a step that names an earlier one 500,000 times is handled as one that names it once", t => {
    const { spec } = createJob("j", createStep("batch", false));
    const step = (repeats: number) => createStep("batch", false, { after: Array<number>(repeats).fill(0) });
    const jobs = [1, 500_000].map(repeats => {
        const repeated = { ...spec, steps: [createStep("batch", false), step(repeats)] };
        return ActiveJob.create(decodeSpec(encodeSpec(repeated))!, 0, undefined);
    });
    t.is(jobs[1].objectiveMs, jobs[0].objectiveMs);
    t.deepEqual(jobs[1].spec.steps, jobs[0].spec.steps);
});
