import test from "ava";
import { Random } from "../../../../proof/node/random";
import { Run } from "../run";
import { RunMover } from "../runMover";
import { RunReviewer } from "../runReviewer";
import { WorkerContact } from "../../workers/workerContact";
import { createStep, createWorker, place, readingOf } from "../../jobs/test/runs";

const TICK_MS = 25;
const RUNS = 3;

/** @returns A worker with some runs that were accepted, of which the first is long-running. */
function createBusyWorker(id: string): WorkerContact {
    const worker = createWorker(id);
    for (let index = 0; index < RUNS; index++) {
        const step = createStep("x", index === 0, { usesSpareCpu: false });
        place(worker, `${id}-${index}`, step).fire("accepted", { now: 0 });
    }
    return worker;
}

function recordList(worker: WorkerContact, random: Random, now: number): void {
    for (const run of worker.runs.values()) {
        const percent = random.chance(0.2) ? random.between(0, 99) : (run.report?.percent ?? 0);
        run.recordReport({ task: run.task.name, run: 1, checkpoint: "", percent, latencyOrUsage: 1 }, now);
    }
}

test("runs are stopped in the same ticks as if every worker were reviewed in each of them", t => {
    const reviewer = RunReviewer.create();
    const counts = { stuck: 0, draining: 0 };
    for (let seed = 1; seed <= 30; seed++) {
        const random = Random.create(seed);
        const workers = Array.from({ length: 5 }, (_, index) => createBusyWorker(`w${index}`));
        const stopped: string[] = [];
        const mover = RunMover.create((run: Run, reason, now) => {
            counts[reason] += 1;
            stopped.push(`${run.task.name} ${reason}`);
            run.fire("stop", { now });
        });
        for (let now = 0; now < 20_000; now += TICK_MS) {
            for (const worker of workers) {
                if (random.chance(0.05)) {
                    recordList(worker, random, now);
                    mover.review(worker);
                } else if (random.chance(0.001)) {
                    const entry = { ...worker.entry, state: "draining" as const, drainLeftMs: 4_000 };
                    worker.updateEntry(readingOf(entry, now), now);
                    mover.review(worker);
                }
            }
            const expected = workers.flatMap(worker =>
                [...worker.runs.values()].flatMap(run => {
                    const reason = reviewer.reasonToMove(run, worker, now);
                    return reason === undefined ? [] : [`${run.task.name} ${reason}`];
                }),
            );
            stopped.length = 0;
            mover.tick(now);
            t.deepEqual(stopped.sort(), expected.sort());
        }
    }
    t.true(counts.stuck > 30 && counts.draining > 30, JSON.stringify(counts));
});

test("a run that is stuck counts against its worker, and its task avoids it", t => {
    const worker = createBusyWorker("w1");
    const stopped: Run[] = [];
    const mover = RunMover.create(run => stopped.push(run));
    for (const now of [0, 3_000]) {
        worker.runs.forEach(run =>
            run.recordReport({ task: run.task.name, run: 1, checkpoint: "", percent: 5, latencyOrUsage: 1 }, now),
        );
    }
    mover.tick(3_000);
    t.is(stopped.length, 0);
    mover.review(worker);
    mover.tick(3_025);
    t.is(stopped.length, RUNS);
    t.true(stopped.every(run => run.task.failedOn.has("w1")));
});
