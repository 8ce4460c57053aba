import type { ZodMiniType } from "zod/mini";
import { Finding } from "./finding";
import { YamlText } from "./yamlText";

/** The parsed value, or the errors of the text. */
export type ParseResult<T> =
    { readonly value: T; readonly findings: readonly [] } | { readonly findings: readonly Finding[] };

/**
 * Parses a YAML text and validates it against a schema.
 * @param text The text.
 * @param file Name of the file, used in findings.
 * @param schema The schema.
 * @returns The value, or every error with its position and the value expected there.
 */
export function parseYaml<T>(text: string, file: string, schema: ZodMiniType<T>): ParseResult<T> {
    const yaml = YamlText.create(text, file);
    if (yaml.findings.length > 0) {
        return { findings: yaml.findings };
    }
    const result = schema.safeParse(yaml.value);
    if (result.success) {
        return { value: result.data, findings: [] };
    }
    return { findings: result.error.issues.flatMap(issue => toFindings(yaml, issue)) };
}

/** The fields of a zod issue that findings are made from. */
interface Issue {
    readonly code: string;
    readonly path: readonly PropertyKey[];
    readonly message: string;
    readonly keys?: readonly string[];
    readonly expected?: string;
    readonly values?: readonly unknown[];
    readonly minimum?: number | bigint;
    readonly maximum?: number | bigint;
    readonly inclusive?: boolean;
    readonly pattern?: string;
    readonly errors?: readonly (readonly Issue[])[];
}

function toFindings(yaml: YamlText, raw: unknown): Finding[] {
    const issue = raw as Issue;
    if (issue.code === "unrecognized_keys") {
        return (issue.keys ?? []).map(key => ({
            place: yaml.positionOf([...issue.path, key], true),
            message: `unknown key ${key}`,
            expected: "no such key",
        }));
    }
    const [branch] = issue.errors ?? [];
    if (branch !== undefined) {
        return branch.flatMap(each => toFindings(yaml, { ...each, path: [...issue.path, ...each.path] }));
    }
    const name = issue.path.map(String).join(".") || "the file";
    const value = valueAt(yaml.value, issue.path);
    const message = value === undefined ? `${name} is missing` : `${name} is ${JSON.stringify(value)}`;
    return [{ place: yaml.positionOf(issue.path), message, expected: describeExpected(issue) }];
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((each, key) => (each as Record<PropertyKey, unknown> | undefined)?.[key], value);
}

function describeExpected(issue: Issue): string {
    if (issue.values !== undefined) {
        return issue.values.map(String).join(" or ");
    }
    if (issue.minimum !== undefined) {
        return issue.inclusive === false ? `more than ${issue.minimum}` : `at least ${issue.minimum}`;
    }
    if (issue.maximum !== undefined) {
        return `at most ${issue.maximum}`;
    }
    return issue.pattern ?? issue.expected ?? "a valid value";
}
