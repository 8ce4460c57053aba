import test from "ava";
import { EndRates } from "../endRates";
import { EstimateErrors } from "../estimateErrors";

/** @returns Rates after ends of runs of 4 cores, one each interval, for 10 s. */
function measure(intervalMs: number, endsAtOnce = 1): EndRates {
    const rates = EndRates.create();
    for (let now = 0; now <= 10_000; now += intervalMs) {
        for (let end = 0; end < endsAtOnce; end++) {
            rates.recordEnd("r1", "reserved", 4_000, now);
        }
    }
    return rates;
}

test("the wait for places follows the rate of the ends on the rack", t => {
    const one = measure(200).waitFor("r1", "reserved", 4_000, 1, 10_000)!;
    t.true(one.meanMs > 150 && one.meanMs < 250);
    const ten = measure(200).waitFor("r1", "reserved", 4_000, 10, 10_000)!;
    t.true(Math.abs(ten.meanMs - 10 * one.meanMs) < 1);
});

test("an end of a larger run leaves several places, and one of a smaller run none", t => {
    const rates = measure(200);
    const whole = rates.waitFor("r1", "reserved", 4_000, 1, 10_000)!;
    const half = rates.waitFor("r1", "reserved", 2_000, 1, 10_000)!;
    t.true(Math.abs(whole.meanMs / half.meanMs - 2) < 0.01);
    t.is(rates.waitFor("r1", "reserved", 16_000, 1, 10_000), undefined);
});

test("ends that come in batches make the wait less certain than as many that come evenly", t => {
    const even = measure(200).waitFor("r1", "reserved", 4_000, 4, 10_000)!;
    const batches = measure(2_000, 10).waitFor("r1", "reserved", 4_000, 4, 10_000)!;
    t.true(batches.deviationMs > 2 * even.deviationMs);
});

test("nothing is known of a rack, or of a kind of CPU, without ends, and nothing any more long after the last ones", t => {
    const rates = measure(200);
    t.is(rates.waitFor("r2", "reserved", 4_000, 1, 10_000), undefined);
    t.is(rates.waitFor("r1", "spare", 4_000, 1, 10_000), undefined);
    t.is(rates.waitFor("r1", "reserved", 4_000, 1, 40_000), undefined);
    const later = rates.waitFor("r1", "reserved", 4_000, 1, 14_000)!;
    t.true(later.meanMs > 1.5 * rates.waitFor("r1", "reserved", 4_000, 1, 10_000)!.meanMs);
});

test("the error of a queue's estimates is learned, in its mean and its spread", t => {
    const errors = EstimateErrors.create();
    const { meanMs: initialMs } = errors.workOf("q", 1_000);
    t.true(initialMs >= 1_000 && initialMs < 1_300);
    for (let run = 0; run < 400; run++) {
        errors.record("late", 1_000, 2_000);
        errors.record("uneven", 1_000, run % 2 === 0 ? 500 : 2_000);
    }
    const late = errors.workOf("late", 500);
    t.true(Math.abs(late.meanMs - 1_000) < 20);
    t.true(late.deviationMs < 100);
    t.true(errors.workOf("uneven", 1_000).deviationMs > 500);
    t.is(errors.workOf("q", 1_000).meanMs, initialMs);
});
