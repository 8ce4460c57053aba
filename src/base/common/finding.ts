import { formatPosition, TextPosition } from "./textPosition";

/** An error in an input file: its position, and the value expected there. */
export interface Finding {
    readonly place: TextPosition;
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
    return `${formatPosition(finding.place)}: ${finding.message}${expected}`;
}
