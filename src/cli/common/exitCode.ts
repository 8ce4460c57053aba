/** Why a command ended. Decides its exit code. */
export type ExitReason = "ok" | "refused" | "bad-input" | "unreachable" | "unknown";

/** Exit codes by reason. */
export const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
    ok: 0,
    /** An instance rejected the request. */
    refused: 1,
    /** The command line or an input file is invalid. */
    "bad-input": 2,
    /** No instance responded. */
    unreachable: 3,
    /** The request may or may not have taken effect. */
    unknown: 4,
};
