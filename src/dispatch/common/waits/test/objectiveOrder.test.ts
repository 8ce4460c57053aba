import test from "ava";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { Random } from "../../../../proof/node/random";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { ObjectiveOrder } from "../objectiveOrder";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { WaitingOrder, WaitingRank } from "../waitingOrder";
import { assign, AssigningHost, createJob, createStep, createWorker } from "../../jobs/test/runs";

const ESTIMATE_MS = 2_000;
const STEP_MS = 100;

/** Smallest slack first while a job can be in time without any margin. */
class SlackOrder extends WaitingOrder {
    override rank(job: ActiveJob, remainingMs: number, wallNow: number): WaitingRank {
        const slackMs = job.objectiveMs - wallNow - remainingMs;
        return { timeliness: slackMs >= 0 ? "in-time" : "late", slackMs, remainingMs };
    }

    override compare(a: WaitingRank, b: WaitingRank): number {
        return ObjectiveOrder.create().compare(a, b);
    }
}

/**
 * Replays sustained overload: 1.5 times the work that fits, and runs that take 60 to 150% of their estimate.
 * @returns Number of jobs that met their objective.
 */
function countInTime(order: WaitingOrder): number {
    const random = Random.create(11);
    const workers = Array.from({ length: 6 }, (_, index) => createWorker(`w${index}`));
    const durations = new Map<string, number>();
    const queue = StepQueue.create(
        QueueTable.create(),
        LatencyModel.create(),
        SuspectTable.create(),
        AssigningHost.create((task, worker, now) => {
            task.job.state = "running";
            durations.set(task.name, now + (ESTIMATE_MS * random.between(60, 150)) / 100);
            return assign(worker, task);
        }),
        order,
    );
    const step = createStep("batch", false, { estimateMs: ESTIMATE_MS, usesSpareCpu: false, tasks: 2 });
    const jobs: ActiveJob[] = [];
    let inTime = 0;
    for (let now = 0; now < 60_000; now += STEP_MS) {
        // 48 tasks of 8 cores fit on the workers, that is, 12 jobs a second; 18 arrive.
        const arrivals = now % 500 === 0 ? 1 : 2;
        for (let index = 0; index < arrivals; index++) {
            const job = createJob(`j${now}x${index}`, step);
            const spec = { ...job.spec, acceptedAtMs: now };
            const due = ActiveJob.create(spec, 0, undefined);
            due.openDue(now);
            jobs.push(due);
        }
        for (const worker of workers) {
            for (const [name, run] of [...worker.runs]) {
                if (durations.get(name)! <= now) {
                    worker.runs.delete(name);
                    run.task.job.markDone(run.task);
                    if (run.task.job.isDone) {
                        run.task.job.state = "done";
                        inTime += now <= run.task.job.objectiveMs ? 1 : 0;
                    }
                }
            }
        }
        queue.placeWaiting(jobs, workers, 1_000, now, now);
    }
    return inTime;
}

test("under sustained overload more jobs meet their objective than in the order of slack alone", t => {
    const [former, present] = [new SlackOrder(), ObjectiveOrder.create()].map(countInTime);
    t.true(present > former * 1.2, `${former} before, ${present} now`);
});

test("a job that has started is in time without a margin, one that has not is late", t => {
    const order = ObjectiveOrder.create();
    const job = createJob("a", createStep("batch", false));
    const wallNow = job.objectiveMs - 2_200;
    t.is(order.rank(job, 2_000, wallNow).timeliness, "late");
    job.state = "running";
    t.is(order.rank(job, 2_000, wallNow).timeliness, "in-time");
});
