import test from "ava";
import type { ActiveJob } from "../../jobs/activeJob";
import { CutDetector, WorkerLoss } from "../cutDetector";
import { createJob, createStep } from "../../jobs/test/runs";

/** Number of workers at work. */
const WORKERS = 30;

const TICK_MS = 100;

/** Time from the latest answer of a worker to the list that it leaves unanswered, in ms. */
const SILENCE_MS = 1_000;

/** Jobs with a task that a lost worker had just started. */
const JOBS = Array.from({ length: WORKERS }, (_, index) => createJob(`j${index}`, createStep("x", false)));

function createLoss(index: number, heardAt: number, job: ActiveJob): WorkerLoss {
    return { worker: `w${index}-${heardAt}`, heardAt, silentBy: heardAt + SILENCE_MS, jobs: new Set([job]) };
}

/** Adds losses when they come to light. @returns Of how many workers each of them is a cut; 0 if it is none. */
function review(losses: readonly { readonly loss: WorkerLoss; readonly knownAt: number }[]): number[] {
    const detector = CutDetector.create();
    const sizes: number[] = [];
    const untilMs = Math.max(...losses.map(each => each.knownAt));
    for (let now = -30_000; now <= untilMs; now += TICK_MS) {
        detector.recordUptime(WORKERS, now);
        detector.recordStarts(5);
        for (const { loss } of losses.filter(each => each.knownAt > now - TICK_MS && each.knownAt <= now)) {
            sizes.push(detector.add(loss).length);
        }
    }
    return sizes;
}

test("workers that last answered at one moment are a cut, although their losses come to light over seconds", t => {
    const sizes = review(
        JOBS.slice(0, 9).map((job, index) => ({
            loss: createLoss(index, -index * 60, job),
            knownAt: 2_000 + index * 1_200,
        })),
    );
    t.is(sizes[0], 0);
    t.is(sizes.at(-1), 9);
});

test("a worker whose runs are given up at two times is lost once", t => {
    const losses = [0, 0, 0, 0, 0, 0, 0, 0].map((index, time) => ({
        loss: createLoss(index, 0, JOBS[0]),
        knownAt: 6_000 + time * 100,
    }));
    t.true(review(losses).every(size => size === 0));
});

test("workers that tasks crash one by one, a few a second, are no cut", t => {
    const losses = Array.from({ length: 60 }, (_, index) => {
        const heardAt = Math.round((index * 1_000) / 3);
        return { loss: createLoss(index, heardAt, JOBS[index % WORKERS]), knownAt: heardAt + 3_000 };
    });
    t.deepEqual(
        review(losses).filter(size => size > 0),
        [],
    );
});

test("workers that the tasks of one job crash at the same time are no cut", t => {
    const losses = Array.from({ length: 9 }, (_, index) => ({
        loss: createLoss(index, 0, JOBS[0]),
        knownAt: 3_000,
    }));
    t.deepEqual(
        review(losses).filter(size => size > 0),
        [],
    );
});

// The losses of recognised cuts raised the rate of usual losses, until the next cut was taken for such.
test("each of a series of cuts is recognised", t => {
    const cuts = Array.from({ length: 12 }, (_, cut) =>
        JOBS.slice(0, 9).map((job, index) => ({
            loss: createLoss(index, cut * 2_200 - index * 20, job),
            knownAt: cut * 2_200 + 800,
        })),
    );
    const sizes = review(cuts.flat());
    cuts.forEach((_, cut) => t.true(sizes[cut * 9 + 8] >= 9, `cut ${cut}`));
});

test("two workers that are lost at the same moment are no cut", t => {
    const losses = JOBS.slice(0, 2).map((job, index) => ({ loss: createLoss(index, 0, job), knownAt: 3_000 }));
    t.deepEqual(review(losses), [0, 0]);
});
