import test from "ava";
import { WorkMeter } from "../../../../base/common/workMeter";
import { PassPacer } from "../passPacer";

/** Claims that each pass took a given time. */
class FixedCost extends WorkMeter<"pass"> {
    constructor(private readonly ms: number) {
        super();
    }

    override measure<T>(_kind: "pass", work: () => T): T {
        return work();
    }

    override lastMs(): number {
        return this.ms;
    }
}

/** @returns Number of passes in 10 s, of which each event needs one. */
function countPasses(costMs: number, workers: number, isLate = false): number {
    const pacer = PassPacer.create(new FixedCost(costMs));
    pacer.isLate = isLate;
    let count = 0;
    for (let now = 0; now < 10_000; now += 5) {
        pacer.request();
        pacer.run(workers, now, () => (count += 1));
    }
    return count;
}

test("cheap passes follow each other in 20 ms, or 0.2 ms for each worker", t => {
    t.is(countPasses(0, 10), 499);
    t.is(countPasses(5, 10), 499);
    t.is(countPasses(5, 500), 99);
});

test("passes take at most a quarter of the time, however expensive each is", t => {
    t.true(countPasses(40, 33) * 40 <= 2_500);
    t.true(countPasses(200, 33) * 200 <= 2_500);
});

test("passes of a late loop take at most 15% of the time", t => {
    t.true(countPasses(40, 33, true) * 40 <= 1_500);
    t.is(countPasses(5_000, 33, true), 9);
});

test("even the most expensive passes are one second apart", t => {
    t.is(countPasses(5_000, 33), 9);
});

/**
 * @returns Times (ms) of the passes of a late loop after one at 1,000 that took a given time, each of which makes the next one due
 * 300 ms later.
 */
function timesOfDuePasses(costMs: number): number[] {
    const pacer = PassPacer.create(new FixedCost(costMs));
    pacer.isLate = true;
    const passes: number[] = [];
    for (let now = 1_000; now < 3_000; now += 5) {
        pacer.request();
        pacer.run(33, now, () => {
            passes.push(now);
            pacer.requestBy(now + 300);
        });
    }
    return passes.slice(1);
}

test("a job that has to have a run does not wait for the longer interval of a late loop", t => {
    t.is(timesOfDuePasses(60)[0], 1_300);
    t.is(timesOfDuePasses(100)[0], 1_400);
});

test("passes for jobs that have to have a run take at most a quarter of the time", t => {
    t.deepEqual(timesOfDuePasses(200).slice(0, 2), [1_800, 2_600]);
});

test("a job that was due already in the latest pass does not lead to another one before the interval is over", t => {
    const pacer = PassPacer.create(new FixedCost(200));
    const passes: number[] = [];
    for (let now = 1_000; now < 3_000; now += 5) {
        pacer.request();
        pacer.run(33, now, () => {
            passes.push(now);
            pacer.requestBy(now);
        });
    }
    t.deepEqual(passes, [1_000, 1_800, 2_600]);
});

test("a pass is done only when it is needed, and after 150 ms in any case", t => {
    const pacer = PassPacer.create(new FixedCost(0));
    const passes: number[] = [];
    for (let now = 1_000; now < 1_400; now += 25) {
        pacer.tick(now);
        pacer.run(1, now, () => passes.push(now));
    }
    t.deepEqual(passes, [1_000, 1_175, 1_350]);
});
