/** Writes a line to standard output. */
export function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Writes data as JSON, or as text made of it. */
export function printEither(json: boolean, data: unknown, toText: () => string): void {
    print(json ? JSON.stringify(data, undefined, 2) : toText());
}
