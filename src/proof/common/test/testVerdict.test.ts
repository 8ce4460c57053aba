import test, { ExecutionContext } from "ava";
import { KnownFailure } from "../knownFailure";
import { TestRuns, TestVerdict } from "../testVerdict";

const QUEUE: KnownFailure = { subject: "test", title: "jobs › queue › starts", issue: 20 };
const BOUND: KnownFailure = { subject: "bench", title: "cases", issue: 19 };

const UNLISTED = {
    tap: "TAP version 13\nok 1 - a › b\n# not ok 7 - c\n    not ok 8 - d\nok 2 - c\n1..2\n",
    exitCode: 0,
};

function check(t: ExecutionContext, runs: TestRuns, list: KnownFailure[], isPassed: boolean, summary: string[]): void {
    const verdict = TestVerdict.create(runs, list);
    t.deepEqual(verdict.summary, summary);
    t.is(verdict.isPassed, isPassed);
}

test("without listed tests all must pass", t => {
    check(t, { unlisted: UNLISTED }, [], true, ["2 passed, 0 failed"]);
    const failed = { tap: `${UNLISTED.tap}not ok 3 - jobs › queue › starts\n`, exitCode: 1 };
    const reason = "the run of the tests that are not listed ended with exit code 1";
    check(t, { unlisted: failed }, [], false, [reason, "2 passed, 1 failed"]);
});

test("a bound of the bench is printed and does not change the verdict", t => {
    check(t, { unlisted: UNLISTED }, [BOUND], true, ["not run here: bench cases (issue 19)", "2 passed, 0 failed"]);
});

test("a listed test that fails counts neither as passed nor as failed", t => {
    const listed = { tap: "not ok 1 - jobs › queue › starts\nok 2 - d", exitCode: 1 };
    const summary = ["known failure: jobs › queue › starts (issue 20)", "3 passed, 0 failed"];
    check(t, { unlisted: UNLISTED, listed }, [QUEUE], true, summary);
});

test("a listed test that passes fails the verdict", t => {
    const listed = { tap: "ok 1 - jobs › queue › starts", exitCode: 0 };
    const summary = ["listed as a known failure, but passed: jobs › queue › starts (issue 20)", "3 passed, 1 failed"];
    check(t, { unlisted: UNLISTED, listed }, [QUEUE], false, summary);
});

test("a listed test that is flaky passes or fails without changing the verdict, and has to run", t => {
    const flaky: KnownFailure = { ...QUEUE, subject: "flaky" };
    const passed = { tap: "ok 1 - jobs › queue › starts", exitCode: 0 };
    const failed = { tap: "not ok 1 - jobs › queue › starts", exitCode: 1 };
    const other = { tap: "not ok 1 - jobs › queue › starts late", exitCode: 1 };
    const title = "jobs › queue › starts (issue 20)";
    check(t, { unlisted: UNLISTED, listed: passed }, [flaky], true, [`flaky, passed: ${title}`, "3 passed, 0 failed"]);
    check(t, { unlisted: UNLISTED, listed: failed }, [flaky], true, [`flaky, failed: ${title}`, "2 passed, 0 failed"]);
    const missing = `listed as a known failure, but not run: ${title}`;
    check(t, { unlisted: UNLISTED, listed: other }, [flaky], false, [missing, "2 passed, 2 failed"]);
});

test("a listed test that does not exist or is skipped fails the verdict", t => {
    const summary = ["listed as a known failure, but not run: jobs › queue › starts (issue 20)", "2 passed, 1 failed"];
    check(t, { unlisted: UNLISTED, listed: { tap: "", exitCode: 1 } }, [QUEUE], false, summary);
    const skipped = { tap: "ok 1 - jobs › queue › starts # SKIP", exitCode: 0 };
    t.false(TestVerdict.create({ unlisted: UNLISTED, listed: skipped }, [QUEUE]).isPassed);
});

test("only the exact title of a listed test is passed over, and only once", t => {
    const known = "known failure: jobs › queue › starts (issue 20)";
    for (const title of ["jobs › queue › starts late", "jobs › queue › starts", "jobs.test.js exited due to SIGKILL"]) {
        const listed = { tap: `not ok 1 - jobs › queue › starts\nnot ok 2 - ${title}`, exitCode: 1 };
        check(t, { unlisted: UNLISTED, listed }, [QUEUE], false, [known, "2 passed, 1 failed"]);
    }
});

test("a run that ends with an error although no test failed fails the verdict", t => {
    const listed = { tap: "not ok 1 - jobs › queue › starts", exitCode: 1 };
    t.false(TestVerdict.create({ unlisted: { ...UNLISTED, exitCode: 1 }, listed }, [QUEUE]).isPassed);
    t.false(TestVerdict.create({ unlisted: { ...UNLISTED, exitCode: undefined }, listed }, [QUEUE]).isPassed);
    t.false(TestVerdict.create({ unlisted: { tap: "", exitCode: 0 } }, []).isPassed);
});
