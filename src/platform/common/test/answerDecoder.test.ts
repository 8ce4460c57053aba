import test from "ava";
import * as fc from "fast-check";
import { decodeAppendAnswer, decodeNewestPage, decodeWorkerAnswer } from "../answerDecoder";

function bytes(value: unknown): Uint8Array {
    return Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
}

test("a list of runs and ends is decoded", t => {
    const body = {
        clockMs: 5,
        born: 7,
        running: [["a.0.0.0", 1, "", 40, 12]],
        ended: [[3, "a.0.0.1", 2, "done", "c"]],
    };
    const answer = decodeWorkerAnswer(200, bytes(body));
    t.deepEqual(answer, {
        outcome: "done",
        clockMs: 5,
        list: {
            incarnation: 7,
            running: [{ task: "a.0.0.0", run: 1, checkpoint: "", percent: 40, latencyOrUsage: 12 }],
            ended: [{ number: 3, task: "a.0.0.1", run: 2, end: "done", checkpoint: "c" }],
            hasMoreEnds: false,
        },
    });
    t.deepEqual(decodeWorkerAnswer(409, bytes({ clockMs: 5, reason: "fence" })), { outcome: "fenced", clockMs: 5 });
});

test("a list with as many ends as it may have may be followed by others", t => {
    const listOf = (count: number) => {
        const ended = Array.from({ length: count }, (_, index) => [index + 1, "a.0.0.0", 1, "done", ""]);
        return decodeWorkerAnswer(200, bytes({ clockMs: 5, ended }))?.list;
    };
    t.false(listOf(499)?.hasMoreEnds);
    t.true(listOf(500)?.hasMoreEnds);
});

test("an answer that is not JSON, has another shape or breaks off counts as no answer", t => {
    const row = ["a.0.0.0", 1, "", 40];
    const malformed = [
        "{",
        "null",
        "[]",
        "12",
        { clockMs: "5" },
        { clockMs: 5, running: {} },
        '{"clockMs":5,"running":[null]}',
        { clockMs: 5, running: [row.slice(0, 2)] },
        { clockMs: 5, running: [["a.0.0.0", "1", "", 40]] },
        { clockMs: 5, ended: [[1, "a.0.0.0", 1, "exploded", ""]] },
        { clockMs: 5, ended: [["1", "a.0.0.0", 1, "done", ""]] },
        { clockMs: 5, born: "today" },
    ];
    malformed.forEach(body => t.is(decodeWorkerAnswer(200, bytes(body)), undefined, JSON.stringify(body)));
    t.is(decodeNewestPage(bytes({ items: [{ key: 1 }] })), undefined);
    t.is(decodeNewestPage(bytes("<html>")), undefined);
    t.is(decodeAppendAnswer(bytes({ offset: "3" })), undefined);
});

test("an answer with a time that is none counts as no answer", t => {
    for (const time of ["1e308", "1e400", "9007199254740993", "-1"]) {
        t.is(decodeWorkerAnswer(200, bytes(`{"clockMs":${time}}`)), undefined);
        t.is(decodeWorkerAnswer(200, bytes(`{"clockMs":5,"born":${time}}`)), undefined);
    }
});

test("a rejection for a reason that is not known is invalid, whatever the reason is called", t => {
    for (const reason of ["constructor", "__proto__", "toString", 1, ["fence"], { toString: 1 }, undefined]) {
        t.deepEqual(decodeWorkerAnswer(409, bytes({ clockMs: 5, reason })), { outcome: "invalid", clockMs: 5 });
    }
});

test("no answer makes a decoder throw", t => {
    const body = fc.oneof(fc.json(), fc.string(), fc.object({ key: fc.constantFrom("clockMs", "running", "ended") }));
    fc.assert(
        fc.property(body, fc.constantFrom(200, 409, 421, 500), (value, status) => {
            decodeWorkerAnswer(status, bytes(value));
            decodeNewestPage(bytes(value));
            decodeAppendAnswer(bytes(value));
        }),
    );
    t.pass();
});
