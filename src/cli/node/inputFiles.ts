import { readFile } from "node:fs/promises";
import { Finding, formatFinding } from "../../base/common/finding";
import { parseYaml } from "../../base/common/schemaFindings";
import { JobSettings, jobSettingsSchema } from "../../host/common/jobSettings";
import { Settings, settingsSchema } from "../../serving/common/settings";
import { TicketFile, ticketSchema, toTicketDraft } from "../../serving/common/ticketSchema";
import { YamlText } from "../../base/common/yamlText";
import { CommandError } from "./commandError";

/** Reads a file. @throws CommandError when it cannot be read. */
export async function readText(file: string): Promise<string> {
    try {
        return await readFile(file === "-" ? "/dev/stdin" : file, "utf8");
    } catch (error) {
        throw CommandError.create("bad-input", `cannot read ${file}: ${String(error)}`);
    }
}

/** Reads settings. @throws CommandError with every error and its position. */
export async function readSettings(file: string): Promise<Settings> {
    const parsed = parseYaml(await readText(file), file, settingsSchema);
    if (!("value" in parsed)) {
        throw toError(parsed.findings);
    }
    return parsed.value;
}

/** Reads settings of an instance that schedules jobs. @throws CommandError with every error and its position. */
export async function readJobSettings(file: string): Promise<JobSettings> {
    const parsed = parseYaml(await readText(file), file, jobSettingsSchema);
    if (!("value" in parsed)) {
        throw toError(parsed.findings);
    }
    return parsed.value;
}

/** Reads a ticket. @throws CommandError with every error and its position. */
export async function readTicket(file: string): Promise<{ readonly text: string; readonly ticket: TicketFile }> {
    const text = await readText(file);
    const findings = checkText(text, file);
    const parsed = parseYaml(text, file, ticketSchema);
    if (findings.length > 0 || !("value" in parsed)) {
        throw toError(findings);
    }
    return { text, ticket: parsed.value };
}

/**
 * Validates settings or a ticket. A file with one of the keys `number`, `author` and `basedOn` is a ticket.
 * @param text Text of the file.
 * @param file Name of the file, used in findings.
 * @returns Every error with its position.
 */
export function checkText(text: string, file: string): readonly Finding[] {
    const { value } = YamlText.create(text, file);
    const isTicket = value instanceof Object && ("number" in value || "author" in value || "basedOn" in value);
    if (!isTicket) {
        return parseYaml(text, file, settingsSchema).findings;
    }
    const parsed = parseYaml(text, file, ticketSchema);
    if ("value" in parsed && toTicketDraft(parsed.value).objects.length === 0) {
        const place = { file, line: 1, column: 1 };
        return [
            {
                place,
                message: "the ticket touches nothing",
                expected: "services, teams, classes, policy, limits or drains",
            },
        ];
    }
    return parsed.findings;
}

function toError(findings: readonly Finding[]): CommandError {
    return CommandError.create("bad-input", findings.map(formatFinding).join("\n"));
}
