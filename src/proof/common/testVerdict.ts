import { KnownFailure } from "./knownFailure";

/** A finished run of ava. */
export interface TestRun {
    /** What it printed, in the Test Anything Protocol. */
    readonly tap: string;
    /** Its exit code; undefined if a signal ended it. */
    readonly exitCode: number | undefined;
}

/** Tests that are not listed as known failures, and those that are. */
export interface TestRuns {
    readonly unlisted: TestRun;
    /** The run of the listed tests; if not given, no test is listed. */
    readonly listed?: TestRun;
}

/** The verdict on the tests: all pass, except for those that are known to fail, which must fail, and flaky ones, which must run. */
export class TestVerdict {
    private constructor(
        readonly isPassed: boolean,
        /** What to print; the last line is `N passed, N failed`. */
        readonly summary: readonly string[],
    ) {}

    /**
     * Judges the runs. A listed test that fails counts neither as passed nor as failed; each listed test that does not fail
     * counts as a failure of the list, unless it is listed as flaky and passes.
     * @param runs The finished runs.
     * @param knownFailures The entries of the list. Bounds of the bench are only printed.
     * @returns The verdict.
     */
    static create(runs: TestRuns, knownFailures: readonly KnownFailure[]): TestVerdict {
        const lines = [runs.unlisted, ...(runs.listed === undefined ? [] : [runs.listed])].flatMap(({ tap }) =>
            tap.split("\n"),
        );
        const passed = lines.filter(line => /^ok /.test(line));
        const failed = lines.filter(line => /^not ok /.test(line));
        const passedTitles = new Set(passed.map(titleOf));
        const failedTitles = new Set(failed.map(titleOf));
        const tests = knownFailures.filter(({ subject }) => subject !== "bench");
        const known = tests.filter(({ title }) => failedTitles.has(title));
        const steady = tests.filter(
            ({ subject, title }) => subject === "flaky" && !failedTitles.has(title) && passedTitles.has(title),
        );
        const unexpected = tests.filter(each => !known.includes(each) && !steady.includes(each));
        const failures = failed.length - known.length + unexpected.length;
        const summary = [
            ...knownFailures
                .filter(({ subject }) => subject === "bench")
                .map(each => describe("not run here: bench", each)),
            ...known.map(each => describe(each.subject === "flaky" ? "flaky, failed:" : "known failure:", each)),
            ...steady.map(each => describe("flaky, passed:", each)),
            ...unexpected.map(each =>
                describe(
                    `listed as a known failure, but ${passedTitles.has(each.title) ? "passed" : "not run"}:`,
                    each,
                ),
            ),
        ];
        // A test process that hangs or exits after its tests shows in the exit code only.
        const { exitCode } = runs.unlisted;
        if (exitCode !== 0) {
            summary.push(
                `the run of the tests that are not listed ended with ${exitCode === undefined ? "a signal" : `exit code ${exitCode}`}`,
            );
        }
        summary.push(`${passed.length} passed, ${failures} failed`);
        return new TestVerdict(exitCode === 0 && failures === 0 && passed.length > 0, summary);
    }
}

function describe(prefix: string, { title, issue }: KnownFailure): string {
    return `${prefix} ${title} (issue ${issue})`;
}

/** @param line A line `ok N - TITLE` or `not ok N - TITLE`. @returns The title, with its directive if there is one. */
function titleOf(line: string): string {
    return line.replace(/^(?:not )?ok \d+ - /, "");
}
