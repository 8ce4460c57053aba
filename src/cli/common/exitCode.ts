/** What a command's exit code says. */
export type ExitReason = "ok" | "refused" | "bad-input" | "unreachable" | "unknown";

/** Exit codes by reason. */
export const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
    ok: 0,
    /** The system answered, and the answer is no. */
    refused: 1,
    /** The command line or a file is at fault. */
    "bad-input": 2,
    /** No instance answered. */
    unreachable: 3,
    /** It may or may not have taken effect. */
    unknown: 4,
};
