import { Command } from "commander";
import { TicketVerdict } from "../../coordination/common/ticketFold";
import { formatTable } from "../../base/common/table";
import { ApiClient, ApiResponse } from "./apiClient";
import { CommandError } from "./commandError";
import { readTicket } from "./inputFiles";
import { print, printJsonOrText } from "./output";
import { expectSuccess } from "./responseErrors";

/** Creates an API client from the options of a command. */
export type ClientFactory = (command: Command) => Promise<ApiClient>;

/** Adds the commands for tickets. */
export function addTicketCommands(program: Command, clientFor: ClientFactory): void {
    const ticket = program.command("ticket").description("file tickets and show their verdicts");
    ticket
        .command("file <FILE>")
        .description("file a ticket from a file; - reads standard input")
        .option("--next", "number the ticket after the one in force, and base it on that one")
        .addHelpText("after", "\nExample:\n  wigeonstall ticket file examples/cennin/ticket-1.yaml")
        .action(async (file: string, options: { next?: boolean }, command: Command) => {
            const { text } = await readTicket(file);
            const api = await clientFor(command);
            const body = options.next === true ? await renumber(api, text) : text;
            reportVerdict(await api.call({ method: "POST", path: "/tickets", body }));
        });
    ticket
        .command("list")
        .description("list the latest tickets")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const { body } = expectSuccess(await (await clientFor(command)).call({ method: "GET", path: "/tickets" }));
            const { verdicts } = body as { verdicts: TicketVerdict[] };
            printJsonOrText(options.json === true, verdicts, () => formatVerdicts(verdicts));
        });
    ticket
        .command("show <NUMBER>")
        .description("show the verdicts of the tickets filed under a number")
        .option("--json", "print JSON")
        .action(async (number: string, options: { json?: boolean }, command: Command) => {
            const path = `/tickets/${encodeURIComponent(number)}`;
            const { body } = expectSuccess(await (await clientFor(command)).call({ method: "GET", path }));
            const { verdicts } = body as { verdicts: TicketVerdict[] };
            printJsonOrText(options.json === true, verdicts, () => formatVerdicts(verdicts));
        });
}

/** Replaces the number and the base of a ticket, so that it follows the ticket in force. */
async function renumber(api: ApiClient, text: string): Promise<string> {
    const { body } = expectSuccess(await api.call({ method: "GET", path: "/in-force" }));
    const inForce = Number(body.ticket);
    const otherLines = text.split("\n").filter(line => !/^(number|basedOn):/.test(line));
    return [`number: ${inForce + 1}`, `basedOn: ${inForce}`, ...otherLines].join("\n");
}

function reportVerdict(response: ApiResponse): void {
    if (response.status === 409) {
        const { number, loss, winner } = response.body as unknown as TicketVerdict;
        throw CommandError.create("refused", `ticket ${number} lost to ticket ${winner}: ${loss}`);
    }
    const { number, state, offset } = expectSuccess(response).body as unknown as TicketVerdict;
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
