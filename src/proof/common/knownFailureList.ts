import { KNOWN_FAILURE_SUBJECTS, KnownFailure, KnownFailureSubject } from "./knownFailure";

/** First lines of the entries; only the title of a bound may be followed by the bound. */
const FIRST_LINES: Readonly<Record<KnownFailureSubject, RegExp>> = {
    test: /^test "(.+)"$/,
    flaky: /^flaky "(.+)"$/,
    bench: /^bench "([^"]+)"(?:, .+)?$/,
};

/** The bench fixes its seeds itself. */
const REQUIRED_FIELDS: Readonly<Record<KnownFailureSubject, readonly string[]>> = {
    test: ["command", "seed", "seen", "issue"],
    flaky: ["command", "seed", "seen", "issue"],
    bench: ["command", "seen", "issue"],
};

const FIELD = /^ {2}(command|seed|seen|issue): +(\S.*)$/;
const CONTINUATION = /^ {3,}\S/;
const COMMENT_OR_BLANK = /^(#.*|\s*)$/;
const TITLE_SEPARATOR = " › ";

/** An entry as written, before its fields are checked. */
interface Entry {
    readonly line: number;
    readonly subject: KnownFailureSubject;
    readonly title: string;
    readonly fields: Map<string, string>;
}

/** The tests and bounds that are known to fail, as listed in `KNOWN-RED.txt`. */
export class KnownFailureList {
    private constructor(readonly failures: readonly KnownFailure[]) {}

    /**
     * Reads the list. Lines that begin with `#` are comments.
     * @param text The entries: a first line with the title in quotes, then indented fields.
     * @returns The list.
     * @throws Error that names the line if an entry is malformed, incomplete or repeated.
     */
    static create(text: string): KnownFailureList {
        const entries: Entry[] = [];
        for (const [index, line] of text.split(/\r?\n/).entries()) {
            if (!COMMENT_OR_BLANK.test(line)) {
                readLine(line, index + 1, entries);
            }
        }
        const failures = entries.map(toKnownFailure);
        for (const [index, { subject, title }] of failures.entries()) {
            if (failures.slice(0, index).some(each => each.subject === subject && each.title === title)) {
                throw new Error(`line ${entries[index].line}: ${subject} "${title}" is listed twice`);
            }
        }
        return new KnownFailureList(failures);
    }

    /**
     * Patterns for the option `--match` of ava, which compares titles without the file. They may match further tests.
     * @returns A pattern for each listed test.
     */
    testPatterns(): string[] {
        return this.failures
            .filter(({ subject }) => subject !== "bench")
            .map(({ title }) => `*${title.split(TITLE_SEPARATOR).at(-1)}`);
    }
}

/** Adds an entry for a first line, and a field to the last entry for others. @throws Error for any other line. */
function readLine(line: string, number: number, entries: Entry[]): void {
    for (const subject of KNOWN_FAILURE_SUBJECTS) {
        const title = FIRST_LINES[subject].exec(line)?.[1];
        if (title !== undefined) {
            entries.push({ line: number, subject, title, fields: new Map() });
            return;
        }
    }
    const fields = entries.at(-1)?.fields;
    const [, name, value] = FIELD.exec(line) ?? [];
    if (fields !== undefined && name !== undefined && !fields.has(name)) {
        fields.set(name, value);
    } else if (fields === undefined || fields.size === 0 || !CONTINUATION.test(line)) {
        const expected = `test "TITLE", flaky "TITLE", bench "TITLE", or a new field "  command:", "  seed:", "  seen:" or "  issue:"`;
        throw new Error(`line ${number}: expected ${expected}, found: ${line}`);
    }
}

/** @throws Error if a field is missing or the issue is not a number. */
function toKnownFailure({ line, subject, title, fields }: Entry): KnownFailure {
    const missing = REQUIRED_FIELDS[subject].filter(name => !fields.has(name));
    if (missing.length > 0) {
        throw new Error(`line ${line}: ${subject} "${title}" lacks ${missing.join(", ")}`);
    }
    const issue = fields.get("issue") ?? "";
    if (!/^\d+$/.test(issue)) {
        throw new Error(`line ${line}: the issue of ${subject} "${title}" is not a number: ${issue}`);
    }
    return { subject, title, issue: Number(issue) };
}
