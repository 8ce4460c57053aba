// Runs the tests and prints a summary as the last line: `N passed, N failed`. With arguments, which are those of ava, the
// list of known failures is not used.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { KnownFailureList } from "../out/test/proof/common/knownFailureList.js";
import { TestVerdict } from "../out/test/proof/common/testVerdict.js";

const LIST_FILE = "KNOWN-RED.txt";

// Tests of what a process uses of its machine. They run after all others and one at a time.
const ALONE_FILES = ["out/test/soak/node/test/hostileClients.test.js"];

const OTHER_FILES = ["out/test/**/*.test.js", ...ALONE_FILES.map(each => `!${each}`)];

// The titles of a run of one file do not name it.
const TITLE_SEPARATOR = " › ";

function readList() {
    try {
        return KnownFailureList.create(readFileSync(LIST_FILE, "utf8"));
    } catch (error) {
        console.error(`${LIST_FILE}: ${error.message}`);
        process.exit(1);
    }
}

function runTests(args) {
    const run = spawnSync("npx", ["ava", "--tap", ...args], { encoding: "utf8", maxBuffer: 1 << 28 });
    process.stdout.write(run.stdout);
    process.stderr.write(run.stderr);
    return { tap: run.stdout, exitCode: run.status ?? undefined };
}

/** Runs further tests, and judges both runs as one. */
function runTestsAfter(first, args) {
    const second = runTests(args);
    return { tap: `${first.tap}\n${second.tap}`, exitCode: first.exitCode === 0 ? second.exitCode : first.exitCode };
}

const args = process.argv.slice(2);
if (args.length > 0) {
    const verdict = TestVerdict.create({ unlisted: runTests(args) }, []);
    verdict.summary.forEach(line => console.log(line));
    process.exit(verdict.isPassed ? 0 : 1);
}

const list = readList();
const matchAll = patterns => patterns.flatMap(each => ["--match", each]);
const matchOthers = patterns => (patterns.length === 0 ? [] : matchAll(["*", ...patterns.map(each => `!${each}`)]));
const isAlone = ({ title }) => !title.includes(TITLE_SEPARATOR);
const patterns = list.testPatterns();
const tests = list.failures.filter(({ subject }) => subject !== "bench");
const alonePatterns = patterns.filter((_, index) => isAlone(tests[index]));
const otherPatterns = patterns.filter((_, index) => !isAlone(tests[index]));
// The listed tests are run apart, so that the exit code of the others counts.
const runs = { unlisted: runTests([...OTHER_FILES, ...matchOthers(otherPatterns)]) };
if (otherPatterns.length > 0) {
    runs.listed = runTests([...OTHER_FILES, ...matchAll(otherPatterns)]);
}
runs.unlisted = runTestsAfter(runs.unlisted, [...ALONE_FILES, ...matchOthers(alonePatterns)]);
if (alonePatterns.length > 0) {
    const first = runs.listed ?? { tap: "", exitCode: 0 };
    runs.listed = runTestsAfter(first, [...ALONE_FILES, ...matchAll(alonePatterns)]);
}
const verdict = TestVerdict.create(runs, list.failures);
verdict.summary.forEach(line => console.log(line));
process.exit(verdict.isPassed ? 0 : 1);
