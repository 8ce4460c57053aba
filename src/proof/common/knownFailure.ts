export const KNOWN_FAILURE_SUBJECTS = ["test", "flaky", "bench"] as const;

/**
 * What a known failure is about: a test that fails, a test that fails in some runs, both of which CI runs, or a bound of the bench, which
 * CI does not run.
 */
export type KnownFailureSubject = (typeof KNOWN_FAILURE_SUBJECTS)[number];

/** An entry of the list of known failures. */
export interface KnownFailure {
    readonly subject: KnownFailureSubject;
    /** Title of the test, as printed by TAP when all tests are run, or of the bound. */
    readonly title: string;
    /** Number of the open issue. */
    readonly issue: number;
}
