import test from "ava";
import { TASK_BYTES } from "../../../../jobs/common/jobMemory";
import { ActiveJob } from "../activeJob";
import { OccurrenceBudget } from "../occurrenceBudget";
import { createJob, createStep } from "./runs";

const JOBS = 150;
const OCCURRENCES = 1_000;

/** Memory for jobs of a machine of 350 MB. */
const MAX_JOB_BYTES = 87 * 1024 * 1024;

function createJobs(): ActiveJob[] {
    return Array.from({ length: JOBS }, (_, index) => {
        const { spec } = createJob(`j${index}`, createStep("batch", false));
        return ActiveJob.create({ ...spec, occurrences: OCCURRENCES, intervalMs: 100 }, 0, undefined);
    });
}

function review(budget: OccurrenceBudget, jobs: readonly ActiveJob[]): number[] {
    budget.begin();
    jobs.forEach(job => budget.openDue(job, 1_000_000_000));
    return jobs.map(job => [...job.tasks()].length);
}

// Each job opened all of its occurrences, so that small jobs took over 1 GB of a leader, and of each one after it (review/12).
test("the occurrences of all jobs that are open at once are bounded by the memory for jobs, and each job has some", t => {
    const jobs = createJobs();
    const budget = OccurrenceBudget.create(MAX_JOB_BYTES);
    for (let round = 0; round < 5; round++) {
        const open = review(budget, jobs);
        const total = open.reduce((sum, each) => sum + each, 0);
        t.true((total - JOBS) * TASK_BYTES <= MAX_JOB_BYTES / 16, `${total} tasks are open`);
        t.true(Math.min(...open) >= 1);
    }
});

test("all occurrences of all jobs are opened in turn", t => {
    const jobs = createJobs();
    const budget = OccurrenceBudget.create(MAX_JOB_BYTES / 16);
    let rounds = 0;
    for (; jobs.some(job => !job.isDone) && rounds < JOBS * OCCURRENCES; rounds++) {
        review(budget, jobs);
        jobs.forEach(job => [...job.tasks()].filter(task => !job.isTaskDone(task)).forEach(task => job.markDone(task)));
    }
    t.true(
        jobs.every(job => job.isDone),
        `after ${rounds} reviews`,
    );
});

test("one job with all occurrences due leaves half of the memory to those that come after it", t => {
    const [first, second] = createJobs().map(({ spec }) =>
        ActiveJob.create({ ...spec, occurrences: 100_000 }, 0, undefined),
    );
    const budget = OccurrenceBudget.create(MAX_JOB_BYTES);
    for (let round = 0; round < 5; round++) {
        review(budget, [first]);
    }
    const maxTasks = MAX_JOB_BYTES / 16 / TASK_BYTES;
    t.true(first.tasksAhead <= maxTasks / 2);
    review(budget, [first, second]);
    t.true(second.tasksAhead >= maxTasks / 5);
});

test("without a limit of the memory a job has as many open occurrences as its own limit allows", t => {
    const [job] = createJobs();
    const budget = OccurrenceBudget.create();
    t.deepEqual(review(budget, [job]), [OCCURRENCES]);
});

test("a job of which one occurrence takes more than all jobs may keep ahead has one open at a time", t => {
    const { spec } = createJob("wide", createStep("batch", false, { tasks: 10_000 }));
    const job = ActiveJob.create({ ...spec, occurrences: 3 }, 0, undefined);
    const budget = OccurrenceBudget.create(MAX_JOB_BYTES / 16);
    for (let occurrence = 0; occurrence < 3; occurrence++) {
        t.deepEqual(review(budget, [job]), [10_000]);
        [...job.tasks()].forEach(task => job.markDone(task));
    }
    t.true(job.isDone);
});
