/** A position in a text file. Lines and columns start at 1. */
export interface Place {
    readonly file: string;
    readonly line: number;
    readonly column: number;
}

/**
 * Formats a place the way editors and compilers do.
 * @param place The position.
 * @returns `file:line:column`.
 */
export function formatPlace(place: Place): string {
    return `${place.file}:${place.line}:${place.column}`;
}
