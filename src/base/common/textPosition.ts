/** A position in a text file. Lines and columns start at 1. */
export interface TextPosition {
    readonly file: string;
    readonly line: number;
    readonly column: number;
}

/**
 * Formats a position the way editors and compilers do.
 * @param position The position.
 * @returns `file:line:column`.
 */
export function formatPosition(position: TextPosition): string {
    return `${position.file}:${position.line}:${position.column}`;
}
