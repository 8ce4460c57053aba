import test from "ava";
import { Ok } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordEffect } from "../../../records/common/recordEvents";
import { LeaderWatch } from "../leaderWatch";

const TICK_MS = 50;

/** Time (ms) without a renewal at which the looks begin in these tests. */
const SILENT_FROM = 1_000;

/**
 * @param answerMs Time that the store takes to answer.
 * @param endAt End of the progress at a time in ms.
 * @returns Time (ms) without a renewal after which the leader counts as gone, and the most looks that were in flight.
 */
function watch(answerMs: number, endAt: (now: number) => number): { goneAfterMs: number; mostInFlight: number } {
    const outbox = Outbox.create<RecordEffect>();
    let number = 0;
    const leaderWatch = LeaderWatch.create("progress", outbox, () => (number += 1));
    let inFlight: { readonly number: number; readonly sentAt: number }[] = [];
    let mostInFlight = 0;
    for (let now = SILENT_FROM; ; now += TICK_MS) {
        const silentMs = now - SILENT_FROM;
        leaderWatch.review(1, silentMs, now);
        outbox.drain().forEach(() => inFlight.push({ number, sentAt: now }));
        mostInFlight = Math.max(mostInFlight, inFlight.length);
        const answered = inFlight.filter(each => now - each.sentAt >= answerMs);
        inFlight = inFlight.filter(each => !answered.includes(each));
        for (const each of answered) {
            const result = Ok({ records: [], end: endAt(each.sentAt), hasMore: false });
            leaderWatch.handleAnswer({ kind: "newest-answer", stream: "progress", ...each, result });
        }
        if (leaderWatch.isGone(silentMs)) {
            return { goneAfterMs: silentMs, mostInFlight };
        }
    }
}

test("a leader that appends nothing is noticed also when the store takes longer to answer than between two looks", t => {
    for (const answerMs of [0, 250, 400, 900]) {
        const { goneAfterMs, mostInFlight } = watch(answerMs, () => 7);
        t.true(goneAfterMs < 4_500, `${answerMs} ms: ${goneAfterMs} ms`);
        t.is(mostInFlight, 1);
    }
});

test("a leader that appends is awaited until the leases end that it has extended", t => {
    t.is(watch(100, now => Math.floor(now / 500)).goneAfterMs, 6_000);
});
