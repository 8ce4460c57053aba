/**
 * Formats rows as a table with aligned columns.
 * @param header Names of the columns.
 * @param rows Cells by row.
 * @returns The table, one line for the header and one for each row.
 */
export function formatTable(header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    const lines = [header, ...rows].map(row => row.map(String));
    const widths = header.map((_, column) => Math.max(...lines.map(line => line[column].length)));
    return lines
        .map(line =>
            line
                .map((cell, column) => cell.padEnd(widths[column]))
                .join("  ")
                .trimEnd(),
        )
        .join("\n");
}
