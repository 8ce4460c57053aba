import { readFileSync } from "node:fs";
import test from "ava";
import { KnownFailureList } from "../knownFailureList";

const BENCH = `bench "cases", bound 0
  command: npm run bench (seeds 1 to 4)
  seen:    2 of 55 cases. cennin, noisy-waves:
           seen: first fit 244 ms
  issue:   19
`;

const TEST = `test "jobs › test › queue › an "urgent" job › starts first"
  command: npm test
  seed:    9406
  seen:    timed out
  issue:   20
`;

test("the list has the title and the issue of each entry", t => {
    const { failures } = KnownFailureList.create(`# Comment: no entry\n\n${BENCH}\n${TEST}`);
    t.deepEqual(failures, [
        { subject: "bench", title: "cases", issue: 19 },
        { subject: "test", title: `jobs › test › queue › an "urgent" job › starts first`, issue: 20 },
    ]);
    t.deepEqual(KnownFailureList.create("").failures, []);
});

test("only tests have a pattern, which matches the title without the file", t => {
    t.deepEqual(KnownFailureList.create(BENCH + TEST).testPatterns(), ["*starts first"]);
});

test("a flaky test is run apart like one that is known to fail", t => {
    const list = KnownFailureList.create(TEST.replace("test", "flaky"));
    t.is(list.failures[0].subject, "flaky");
    t.deepEqual(list.testPatterns(), ["*starts first"]);
});

test("the list of this project can be read", t => {
    t.notThrows(() => KnownFailureList.create(readFileSync("KNOWN-RED.txt", "utf8")));
});

const MALFORMED: readonly (readonly [description: string, text: string, message: RegExp])[] = [
    ["a line before the first entry", `Known:\n${TEST}`, /^line 1: expected .*, found: Known:$/],
    ["a title without quotes", TEST.replaceAll('"', ""), /^line 1: expected .*, found: test jobs/],
    ["words after the title of a test", TEST.replace('first"', 'first", bound 0'), /^line 1: expected/],
    ["an unknown field", TEST.replace("seed:", "sead:"), /^line 3: expected .*, found: {3}sead:/],
    ["a field without a value", TEST.replace("9406", ""), /^line 3: expected/],
    ["a repeated field", `${TEST}  seed: 1\n`, /^line 6: expected/],
    ["a field that is not indented", TEST.replace("  seen", "seen"), /^line 4: expected/],
    ["text before the first field", TEST.replace("  command:", "    why\n  command:"), /^line 2: expected/],
    ["a test without a seed", TEST.replace(/ {2}seed.*\n/, ""), /^line 1: test ".*" lacks seed$/],
    ["a bound without an issue", BENCH.replace(/ {2}issue.*\n/, ""), /^line 1: bench "cases" lacks issue$/],
    ["no fields", 'test "a"', /^line 1: test "a" lacks command, seed, seen, issue$/],
    ["an issue without a number", TEST.replace("20", "none yet"), /^line 1: the issue of test ".*" is not a number/],
    ["a repeated entry", `${TEST}\n${TEST}`, /^line 7: test ".*" is listed twice$/],
];

for (const [description, text, message] of MALFORMED) {
    test(`a list is refused because of ${description}`, t => {
        t.throws(() => KnownFailureList.create(text), { message });
    });
}
