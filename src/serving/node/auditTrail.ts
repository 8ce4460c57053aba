import { AuditEntry } from "../../scheduling/common/auditEntry";
import { AuditSource } from "../common/auditSource";

/** Entries kept for reading back. */
const MAX_KEPT_ENTRIES = 2_000;

/** Writes one entry to the log of the process. */
export type AuditWriter = (entry: AuditEntry) => void;

/** Keeps the latest decisions of this instance, and writes all of them to the log of the process. */
export class AuditTrail extends AuditSource {
    private readonly kept: AuditEntry[] = [];

    private constructor(private readonly write: AuditWriter) {
        super();
    }

    /** @param write Writes one entry to the log of the process. @returns An empty trail. */
    static create(write: AuditWriter): AuditTrail {
        return new AuditTrail(write);
    }

    /** Takes in a decision. */
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
