import test from "ava";
import { isTooLarge } from "../../../../records/common/recordSize";
import { InterferenceRow } from "../latencyModel";
import { decodeLatencyModel, encodeLatencyModel, LATENCY_MODEL_KEY } from "../latencyModelRecord";

// The number of pairs grows with the square of the number of images, and a record that is too large held up the progress.
test("the record of a model with many images keeps the pairs that are known best", t => {
    const rows = Array.from({ length: 10_000 }, (_, index): InterferenceRow => {
        return [`image-${index % 100}`, `image-${Math.floor(index / 100)}`, 1.5, ((index * 7_919) % 10_000) / 1_000];
    });
    const value = encodeLatencyModel(rows);
    t.false(isTooLarge({ key: LATENCY_MODEL_KEY, value }));
    const kept = decodeLatencyModel(value);
    t.true(kept.length > 1_000 && kept.length < rows.length);
    const largest = Math.max(...kept.map(([, , , variance]) => variance));
    t.is(rows.filter(([, , , variance]) => variance <= largest).length, kept.length);
});

test("the record of a model with few images has all pairs", t => {
    const rows: InterferenceRow[] = [
        ["web", "batch", 2, 0.5],
        ["web", "solver", 1, 3],
    ];
    t.deepEqual(decodeLatencyModel(encodeLatencyModel(rows)), rows);
});
