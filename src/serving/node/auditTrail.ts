import { AuditEntry } from "../../scheduling/common/auditEntry";
import { AuditSource } from "../common/auditSource";

/** Maximum number of entries kept in memory. */
const MAX_KEPT_ENTRIES = 2_000;

/** Writes one entry to the process log. */
export type AuditWriter = (entry: AuditEntry) => void;

/** Keeps this instance's latest audit entries in memory, and writes all entries to the process log. */
export class AuditTrail extends AuditSource {
    private readonly kept: AuditEntry[] = [];

    private constructor(private readonly write: AuditWriter) {
        super();
    }

    /** @param write Writes one entry to the process log. @returns An empty trail. */
    static create(write: AuditWriter): AuditTrail {
        return new AuditTrail(write);
    }

    /** Adds an entry. */
    add(entry: AuditEntry): void {
        this.kept.push(entry);
        if (this.kept.length > MAX_KEPT_ENTRIES) {
            this.kept.shift();
        }
        this.write(entry);
    }

    override entries(name: string): readonly AuditEntry[] {
        return name === "" ? this.kept : this.kept.filter(entry => entry.name === name);
    }
}
