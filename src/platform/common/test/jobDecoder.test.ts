import test from "ava";
import { decodeSubmission } from "../jobDecoder";

function faultsOf(body: string): readonly string[] {
    const request = decodeSubmission(body);
    return request.kind === "invalid" ? request.faults : [];
}

test("a submission is translated to a draft, with defaults for omitted fields", t => {
    const body = {
        spec: "s",
        steps: [
            { count: 2, cpu: 500 },
            { count: 1, after: [0], fills: true, mayMiss: 1 },
        ],
    };
    const request = decodeSubmission(JSON.stringify(body));
    t.is(request.kind, "submit");
    if (request.kind === "submit") {
        const [first, second] = request.draft.steps;
        t.deepEqual(first.request, { cpuMillis: 500, memoryMb: 0, accelerators: 0 });
        t.is(first.mode, "independent");
        t.is(first.image, undefined);
        t.deepEqual(second.after, [0]);
        t.true(second.usesSpareCpu);
        t.is(second.maxUnavailable, 1);
    }
});

for (const [name, body, fault] of [
    ["a body that is not JSON", "{", /not valid JSON/],
    ["no steps", '{"steps":[]}', /steps/],
    ["a negative count", '{"steps":[{"count":-1}]}', /steps\.0\.count/],
    ["a step after a later one", '{"steps":[{"count":1,"after":[1]},{"count":1}]}', /no earlier step/],
    ["a step after itself", '{"steps":[{"count":1,"after":[0]}]}', /no earlier step/],
    ["a fractional count", '{"steps":[{"count":1.5}]}', /steps\.0\.count/],
    ["a count too large", '{"steps":[{"count":1e308}]}', /steps\.0\.count/],
    ["more occurrences than can be run", '{"times":9007199254740991,"steps":[{"count":1}]}', /^times: /],
    ["a number of occurrences out of range", '{"times":1e308,"steps":[{"count":1}]}', /times/],
    ["an estimate whose sums are not finite", '{"steps":[{"count":1,"estMs":1e308}]}', /steps\.0\.estMs/],
    ["an interval out of range", '{"intervalMs":1e308,"steps":[{"count":1}]}', /intervalMs/],
    ["a due time out of range", '{"firstMs":-1e308,"steps":[{"count":1}]}', /firstMs/],
    ["deeply nested steps", `{"steps":${"[".repeat(100_000)}${"]".repeat(100_000)}}`, /steps/],
    ["a number as text", '{"steps":[{"count":1,"cpu":"4"}]}', /steps\.0\.cpu/],
] as const) {
    test(`${name} is rejected with its path`, t => {
        t.regex(faultsOf(body).join("\n"), fault);
    });
}
