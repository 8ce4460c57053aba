/** What a decision was about. */
export type AuditSubject = "task" | "worker" | "shard" | "ticket" | "request";

/** A decision with its reason. */
export interface AuditEntry {
    readonly subject: AuditSubject;
    readonly name: string;
    /** What was decided, for example `assigned`. */
    readonly action: string;
    readonly reason: string;
    /** Time in ms since the Unix epoch. */
    readonly at: number;
    readonly instance: string;
}

/** Hands an entry to the audit trail. */
export interface AuditEffect {
    readonly kind: "audit";
    readonly entry: AuditEntry;
}
