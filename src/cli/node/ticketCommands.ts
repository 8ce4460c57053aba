import { Command } from "commander";
import { TicketVerdict } from "../../coordination/common/ticketFold";
import { formatTable } from "../../base/common/table";
import { expectOk } from "./answerErrors";
import { ApiAnswer, ApiClient } from "./apiClient";
import { CommandError } from "./commandError";
import { readTicket } from "./inputFiles";
import { print, printEither } from "./output";

/** Makes the client of a command from its options. */
export type ClientSource = (command: Command) => Promise<ApiClient>;

/** Adds the commands on tickets. */
export function addTicketCommands(program: Command, client: ClientSource): void {
    const ticket = program.command("ticket").description("file tickets and read back what became of them");
    ticket
        .command("file <FILE>")
        .description("file a ticket; - reads it from standard input")
        .option("--next", "take the next number, built on the ticket in force")
        .addHelpText("after", "\nExample:\n  wigeonstall ticket file examples/cennin/ticket-1.yaml")
        .action(async (file: string, options: { next?: boolean }, command: Command) => {
            const { text } = await readTicket(file);
            const api = await client(command);
            const body = options.next === true ? await renumber(api, text) : text;
            reportVerdict(await api.call({ method: "POST", path: "/tickets", body }));
        });
    ticket
        .command("list")
        .description("list the latest tickets")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const { body } = expectOk(await (await client(command)).call({ method: "GET", path: "/tickets" }));
            const { verdicts } = body as { verdicts: TicketVerdict[] };
            printEither(options.json === true, verdicts, () => formatVerdicts(verdicts));
        });
    ticket
        .command("show <NUMBER>")
        .description("show what became of the tickets with a number")
        .option("--json", "print JSON")
        .action(async (number: string, options: { json?: boolean }, command: Command) => {
            const path = `/tickets/${encodeURIComponent(number)}`;
            const { body } = expectOk(await (await client(command)).call({ method: "GET", path }));
            const { verdicts } = body as { verdicts: TicketVerdict[] };
            printEither(options.json === true, verdicts, () => formatVerdicts(verdicts));
        });
}

async function renumber(api: ApiClient, text: string): Promise<string> {
    const { body } = expectOk(await api.call({ method: "GET", path: "/in-force" }));
    const inForce = Number(body.ticket);
    const kept = text.split("\n").filter(line => !/^(number|basedOn):/.test(line));
    return [`number: ${inForce + 1}`, `basedOn: ${inForce}`, ...kept].join("\n");
}

function reportVerdict(answer: ApiAnswer): void {
    if (answer.status === 409) {
        const { number, loss, winner } = answer.body as unknown as TicketVerdict;
        throw CommandError.create("refused", `ticket ${number} lost to ticket ${winner}: ${loss}`);
    }
    const { number, state, offset } = expectOk(answer).body as unknown as TicketVerdict;
    print(`ticket ${number} is ${state}, at offset ${offset}`);
}

function formatVerdicts(verdicts: readonly TicketVerdict[]): string {
    const rows = verdicts.map(each => [
        each.number,
        each.state,
        each.loss === undefined ? "" : `${each.loss}, to ${each.winner}`,
        each.author,
        new Date(each.filedAt).toISOString(),
        each.keys.join(" "),
        each.reason,
    ]);
    return formatTable(["NUMBER", "STATE", "LOST", "AUTHOR", "FILED", "TOUCHES", "REASON"], rows);
}
