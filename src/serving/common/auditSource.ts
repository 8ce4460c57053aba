import { AuditEntry } from "../../scheduling/common/auditEntry";

/** Answers an instance's latest decisions. The entries themselves are kept by whoever performs audit effects. */
export abstract class AuditSource {
    /** @param name Name of a subject; empty for all. @returns Latest entries, the latest last. */
    abstract entries(name: string): readonly AuditEntry[];
}
