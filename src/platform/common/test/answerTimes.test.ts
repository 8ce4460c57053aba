import test from "ava";
import { AnswerTimes } from "../answerTimes";

function recordMany(times: AnswerTimes, failureDomain: string, durationMs: number, count: number): void {
    for (let call = 0; call < count; call++) {
        times.record(failureDomain, durationMs);
    }
}

test("the timeout follows the calls to a failure domain within its bounds, and those to others have no effect", t => {
    const times = AnswerTimes.create();
    t.is(times.timeoutMs("a"), 800);
    recordMany(times, "a", 400, 200);
    recordMany(times, "b", 5, 200);
    t.true(Math.abs(times.timeoutMs("a") - 1_600) < 10);
    t.is(times.timeoutMs("b"), 800);
    recordMany(times, "a", 10_000, 200);
    t.is(times.timeoutMs("a"), 2_400);
    recordMany(times, "a", 5, 200);
    t.is(times.timeoutMs("a"), 800);
});
