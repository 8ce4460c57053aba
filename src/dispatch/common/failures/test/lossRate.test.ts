import test from "ava";
import { LossRate } from "../lossRate";

const TICK_MS = 100;

/** Records that workers are at work for a time, from one time to another, in ms. */
function work(rate: LossRate, workers: number, from: number, until: number): void {
    for (let now = from; now <= until; now += TICK_MS) {
        rate.recordUptime(workers, now);
    }
}

test("the probability of a loss approaches the measured one", t => {
    const rate = LossRate.create();
    for (let second = 0; second < 200; second++) {
        work(rate, 6, second * 1_000, (second + 1) * 1_000);
        rate.recordLoss();
    }
    const expected = 1 - Math.exp(-1 / 6);
    t.true(Math.abs(rate.probabilityWithin(1_000) - expected) < 0.1 * expected);
    t.is(rate.probabilityWithin(0), 0);
});

test("the probability of a loss falls while workers are at work and none is lost", t => {
    const rate = LossRate.create();
    const before = rate.probabilityWithin(1_000);
    work(rate, 30, 0, 60_000);
    t.true(rate.probabilityWithin(1_000) < before / 10);
});

test("losses of which the cause has become known do not count", t => {
    const rate = LossRate.create();
    const before = rate.probabilityWithin(1_000);
    rate.recordLoss();
    t.true(rate.probabilityWithin(1_000) > before);
    rate.discountLosses(3);
    t.is(rate.probabilityWithin(1_000), before);
});

test("time for which the process was suspended does not count as uptime", t => {
    const [suspended, continuous] = [LossRate.create(), LossRate.create()];
    for (const rate of [suspended, continuous]) {
        rate.recordUptime(10, 0);
    }
    suspended.recordUptime(10, 3_600_000);
    continuous.recordUptime(10, 1_000);
    t.is(suspended.probabilityWithin(1_000), continuous.probabilityWithin(1_000));
});

// A burst of losses hardly changed a rate that was measured over a long calm time.
test("many losses in a short time raise the probability at once", t => {
    const rate = LossRate.create();
    work(rate, 33, 0, 300_000);
    for (let loss = 0; loss < 15; loss++) {
        rate.recordLoss();
        work(rate, 33, 300_000 + loss * 200, 300_200 + loss * 200);
    }
    t.true(rate.probabilityWithin(1_000) > 0.03);
});
