import test from "ava";
import { ActiveJob } from "../../../dispatch/common/jobs/activeJob";
import { ActiveJobTable } from "../../../dispatch/common/jobs/activeJobTable";
import { JobTrial } from "../jobTrial";
import { JobTrialPlan } from "../jobTrialPlan";
import { replaceMethod } from "./replaceMethod";

const PLAN: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 20_000,
    instances: 3,
    workers: 6,
    faultEveryMs: 1_200,
    shards: 2,
    transferRatio: 0.5,
};

for (const seed of [2, 3, 4]) {
    test.serial(
        `a job that is transferred between shards again and again runs once, under the faults of seed ${seed}`,
        t => {
            const result = JobTrial.run({ ...PLAN, seed });
            t.deepEqual(result.breaches, []);
            t.true(result.transfers > result.jobs / 2, String(result.transfers));
        },
    );
}

test.serial("a leader that goes on scheduling a job that it has left to another shard is detected", t => {
    const { transfer } = ActiveJobTable.prototype;
    replaceMethod(t, ActiveJobTable.prototype, "transfer", function (this: ActiveJobTable, job: ActiveJob, to: number) {
        transfer.call(this, job, to);
        const jobs = this as unknown as { jobs: Map<string, ActiveJob> };
        jobs.jobs.set(job.spec.id, job);
    });
    const { breaches } = JobTrial.run({ ...PLAN, seed: 1 });
    t.true(breaches.some(({ rule }) => rule === "single-run"));
});
