// Runs the tests and prints a summary as the last line: `N passed, N failed`. With arguments, which are those of ava, the
// list of known failures is not used.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { KnownFailureList } from "../out/test/proof/common/knownFailureList.js";
import { TestVerdict } from "../out/test/proof/common/testVerdict.js";

const LIST_FILE = "KNOWN-RED.txt";

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

const args = process.argv.slice(2);
const list = args.length === 0 ? readList() : KnownFailureList.create("");
const patterns = list.testPatterns();
// Run apart, so that the exit code of the other tests counts.
const runs =
    patterns.length === 0
        ? { unlisted: runTests(args) }
        : {
              unlisted: runTests(["*", ...patterns.map(each => `!${each}`)].flatMap(each => ["--match", each])),
              listed: runTests(patterns.flatMap(each => ["--match", each])),
          };
const verdict = TestVerdict.create(runs, list.failures);
verdict.summary.forEach(line => console.log(line));
process.exit(verdict.isPassed ? 0 : 1);
