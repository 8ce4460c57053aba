import { AuditEntry } from "../../scheduling/common/auditEntry";

/** Source of an instance's latest decisions. The entries are stored by the performer of audit effects. */
export abstract class AuditSource {
    /** @param name Name of a subject; empty for all. @returns Latest entries, oldest first. */
    abstract entries(name: string): readonly AuditEntry[];
}
