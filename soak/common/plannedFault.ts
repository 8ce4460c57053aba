/** A fault that the soak injects from outside. */
export type FaultKind =
    | "kill-all"
    | "kill-some"
    | "kill-leader"
    | "pause-all"
    | "pause-some"
    | "pause-leader"
    | "terminate-some"
    | "terminate-leader"
    | "store-refuses"
    | "store-resets"
    | "store-silent"
    | "store-slow"
    | "store-loses-answers"
    | "store-executes-late"
    | "store-link-silent"
    | "store-link-to-server"
    | "store-link-to-client"
    | "store-link-reset"
    | "store-link-delayed"
    | "store-link-stale"
    | "caller-link-silent"
    | "caller-link-to-client"
    | "caller-link-reset"
    | "caller-link-delayed"
    | "caller-link-stale"
    | "worker-link-silent"
    | "worker-link-to-server"
    | "worker-link-to-client"
    | "worker-link-reset"
    | "worker-link-delayed"
    | "worker-link-stale"
    | "worker-restarts"
    | "worker-replaced"
    | "worker-lost"
    | "worker-orders-late";

/** One fault of a plan. */
export interface PlannedFault {
    readonly kind: FaultKind;
    /** Time from the start of the round, in ms. */
    readonly atMs: number;
    /** Time until what it disrupts is undone, in ms; until the registration is removed for a worker that is lost. */
    readonly lastsMs: number;
    /** Numbers of the entries or workers that it is about. */
    readonly targets: readonly number[];
    /** Whether a worker that is down leaves its connections open without an answer. */
    readonly isSilent: boolean;
}
