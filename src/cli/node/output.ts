/** Writes a line to standard output. */
export function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Writes data as JSON or as formatted text. */
export function printJsonOrText(json: boolean, data: unknown, format: () => string): void {
    print(json ? JSON.stringify(data, undefined, 2) : format());
}
