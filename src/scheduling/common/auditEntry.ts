/** Kind of object that a decision concerns. */
export type AuditSubject = "task" | "worker" | "shard" | "ticket" | "request";

/** A scheduling decision and its reason. */
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

/** Writes an entry to the audit trail. */
export interface AuditEffect {
    readonly kind: "audit";
    readonly entry: AuditEntry;
}
