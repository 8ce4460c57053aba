import test from "ava";
import fc from "fast-check";
import { findShapeFault } from "../bodyShape";

const LIMITS = { maxValues: 10, maxNesting: 4 };

const check = (text: string) => findShapeFault(Buffer.from(text), LIMITS);

test("a text within the limits has no fault", t => {
    t.is(check(`{"spec":"a","steps":[{"count":1,"after":[1,2]}]}`), undefined);
});

test("many values and deep nesting are found, also in malformed texts", t => {
    t.is(check(`[${"0,".repeat(20)}0]`), "the body has more than 10 values");
    t.is(check(`{${`"a":1,`.repeat(20)}`), "the body has more than 10 values");
    t.is(check("[[[[["), "the body is nested more than 4 deep");
    t.is(check(`{"a":{"a":{"a":{"a":{"a":1}}}}}`), "the body is nested more than 4 deep");
});

test("what is in a string does not count", t => {
    t.is(check(JSON.stringify({ spec: `${"[{,".repeat(50)}\\"${"]".repeat(9)}"` })), undefined);
});

test("no text with more values than the limit passes", t => {
    const countValues = (value: unknown): number =>
        value instanceof Object ? Object.values(value).reduce((sum: number, each) => sum + countValues(each), 1) : 1;
    fc.assert(
        fc.property(fc.jsonValue({ maxDepth: 3 }), value => {
            const fault = findShapeFault(Buffer.from(JSON.stringify(value)), { maxValues: 10, maxNesting: 99 });
            return countValues(value) <= 10 || fault !== undefined;
        }),
    );
    t.pass();
});
