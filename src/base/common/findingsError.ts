import { Finding, formatFinding } from "./finding";

/** Reports all findings of one input together. */
export class FindingsError extends Error {
    private constructor(readonly findings: readonly Finding[]) {
        super(findings.map(formatFinding).join("\n"));
        this.name = "FindingsError";
    }

    /**
     * @param findings All findings, in the order in which the message lists them.
     * @returns The error.
     */
    static create(findings: readonly Finding[]): FindingsError {
        return new FindingsError(findings);
    }
}
