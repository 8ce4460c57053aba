import { StepSpec } from "./jobSpec";

/** What a caller submits, besides the identifier in the path. */
export interface JobDraft {
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly occurrences: number;
    readonly firstDueMs: number;
    readonly intervalMs: number;
}

/** What a caller asks for. `invalid` is a submission whose body could not be used. */
export type JobRequest =
    | { readonly kind: "submit"; readonly draft: JobDraft }
    | { readonly kind: "invalid"; readonly faults: readonly string[] }
    | { readonly kind: "read" }
    | { readonly kind: "cancel" };

/** A call of a caller. */
export interface JobCall {
    /** Number of the call at this instance. */
    readonly number: number;
    readonly host: string;
    readonly path: string;
    /** How long the caller waits, in ms, if it says so. */
    readonly patienceMs: number | undefined;
    readonly request: JobRequest;
}

/** Answer to a call. `undecided` means that a submission may or may not be stored. */
export type JobAnswer =
    | { readonly kind: "accepted" }
    | { readonly kind: "state"; readonly state: string }
    | { readonly kind: "cancelled" }
    | { readonly kind: "pending"; readonly count: number }
    | { readonly kind: "no-job" }
    | { readonly kind: "no-queue" }
    | { readonly kind: "invalid"; readonly faults: readonly string[] }
    | { readonly kind: "unavailable"; readonly retryAfterMs: number }
    | { readonly kind: "undecided" };
