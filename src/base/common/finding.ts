import { formatPlace, Place } from "./place";

/** One fault of an input, with the place where it stands and the value that was expected there. */
export interface Finding {
    readonly place: Place;
    readonly message: string;
    readonly expected?: string;
}

/**
 * Formats a finding as one line.
 * @param finding The finding.
 * @returns `file:line:column: message (expected ...)`.
 */
export function formatFinding(finding: Finding): string {
    const expected = finding.expected === undefined ? "" : ` (expected ${finding.expected})`;
    return `${formatPlace(finding.place)}: ${finding.message}${expected}`;
}
