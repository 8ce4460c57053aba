import { StepSpec } from "./jobSpec";

/** Body of a submission. The identifier of the job is in the path. */
export interface JobDraft {
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly occurrences: number;
    readonly firstDueMs: number;
    readonly intervalMs: number;
}

/** Request of a caller. `invalid` is a submission whose body is malformed. */
export type JobRequest =
    | { readonly kind: "submit"; readonly draft: JobDraft }
    | { readonly kind: "invalid"; readonly faults: readonly string[] }
    | { readonly kind: "read" }
    | { readonly kind: "cancel" };

/** One call. */
export interface JobCall {
    /** Number that identifies the call at this instance. */
    readonly number: number;
    readonly host: string;
    readonly path: string;
    /** Time after which the caller gives up, in ms, if it states one. */
    readonly callerTimeoutMs: number | undefined;
    readonly request: JobRequest;
}

/**
 * Why a call cannot be answered now.
 * - `starting`: the configuration or the jobs are not loaded yet.
 * - `configuration-old`: the configuration may not be in force any more.
 * - `store-failing`: appends to the store have failed for a while, so the submission was not sent.
 * - `store-late`: the submission was not sent, or the cancellation not confirmed, before the caller times out.
 * - `jobs-late`: the jobs have not been read recently, or not up to the call before its caller times out.
 * - `jobs-full`: the jobs that are known take as much memory as they may.
 * - `bodies-full`: the bodies that are being received take as much memory as they may.
 */
export type UnavailableReason =
    "starting" | "configuration-old" | "store-failing" | "store-late" | "jobs-late" | "jobs-full" | "bodies-full";

/** Answer to a call. `undecided`: the submission may or may not be stored. */
export type JobAnswer =
    | { readonly kind: "accepted" }
    | { readonly kind: "state"; readonly state: string }
    | { readonly kind: "cancelled" }
    | { readonly kind: "pending"; readonly count: number }
    | { readonly kind: "no-job" }
    | { readonly kind: "no-queue" }
    | { readonly kind: "invalid"; readonly faults: readonly string[] }
    | { readonly kind: "unavailable"; readonly reason: UnavailableReason; readonly retryAfterMs: number }
    | { readonly kind: "undecided" };
