import { Finding, formatFinding } from "./finding";

/** Carries every finding of one input, so that they are reported together. */
export class FindingsError extends Error {
    private constructor(readonly findings: readonly Finding[]) {
        super(findings.map(formatFinding).join("\n"));
        this.name = "FindingsError";
    }

    /**
     * @param findings All faults found, in the order of their places.
     * @returns The error.
     */
    static create(findings: readonly Finding[]): FindingsError {
        return new FindingsError(findings);
    }
}
