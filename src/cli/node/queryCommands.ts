import { Command } from "commander";
import { ApiReply } from "../../serving/common/apiMessages";
import { formatTable } from "../../base/common/table";
import { print, printJsonOrText } from "./output";
import { expectSuccess } from "./responseErrors";
import { ClientFactory } from "./ticketCommands";

/** The API reply of one kind. */
type Reply<Kind extends ApiReply["kind"]> = Extract<ApiReply, { readonly kind: Kind }>;

/** Adds the commands that show the configuration in force, the status of the system and the audit log. */
export function addQueryCommands(program: Command, clientFor: ClientFactory): void {
    const read = async (command: Command, path: string) =>
        expectSuccess(await (await clientFor(command)).call({ method: "GET", path })).body as unknown;
    program
        .command("in-force")
        .description(
            "show the objects in force with their offset and staleness, and the ticket that each instance has applied",
        )
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const reply = (await read(command, "/in-force")) as Reply<"in-force">;
            printJsonOrText(options.json === true, reply, () => formatInForce(reply));
        });
    program
        .command("status")
        .description("show the shards, their owners, and the state of one instance")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const reply = (await read(command, "/status")) as Reply<"status">;
            printJsonOrText(options.json === true, reply, () => formatStatus(reply));
        });
    program
        .command("audit [NAME]")
        .description("show decisions and their reasons for a task, ticket, worker or shard, or the latest decisions")
        .option("--json", "print JSON")
        .action(async (name: string | undefined, options: { json?: boolean }, command: Command) => {
            const path = `/audit?name=${encodeURIComponent(name ?? "")}`;
            const reply = (await read(command, path)) as Reply<"audit-listing">;
            printJsonOrText(options.json === true, reply, () => formatAudit(reply));
        });
}

function formatInForce(reply: Reply<"in-force">): string {
    const objects = reply.objects.map(each => [each.key, each.ticket, each.value]);
    const instances = reply.instances.map(each => [
        each.instance,
        each.region,
        each.failureDomain,
        each.phase,
        each.ticket,
    ]);
    return [
        `ticket ${reply.ticket} is in force at offset ${reply.offset}, read up to ${reply.staleMs} ms ago`,
        "",
        formatTable(["OBJECT", "TICKET", "STATE"], objects),
        "",
        formatTable(["INSTANCE", "REGION", "FAILURE DOMAIN", "PHASE", "TICKET"], instances),
    ].join("\n");
}

function formatStatus(reply: Reply<"status">): string {
    const streams = reply.streams.map(each => [each.stream, each.state, each.next, each.staleMs]);
    const shards = reply.shards.map(each => [
        each.shard,
        each.owner,
        each.state,
        each.workers,
        each.queued,
        each.running,
    ]);
    const violations = Object.entries(reply.violations).map(([name, count]) => `${name} ${count}`);
    return [
        `${reply.instance} is ${reply.phase}, with ${reply.openRequests} requests in flight`,
        `violated invariants: ${violations.length === 0 ? "none" : violations.join(", ")}`,
        "",
        formatTable(["STREAM", "STATE", "NEXT OFFSET", "STALE MS"], streams),
        "",
        formatTable(["SHARD", "OWNER", "HERE", "WORKERS", "QUEUED", "RUNNING"], shards),
    ].join("\n");
}

function formatAudit(reply: Reply<"audit-listing">): string {
    const rows = reply.entries.map(each => [
        new Date(each.at).toISOString(),
        each.instance,
        each.subject,
        each.name,
        each.action,
        each.reason,
    ]);
    if (reply.unanswered.length > 0) {
        process.stderr.write(`instances that did not respond: ${reply.unanswered.join(", ")}\n`);
    }
    return rows.length === 0
        ? "no entries"
        : formatTable(["TIME", "INSTANCE", "SUBJECT", "NAME", "ACTION", "REASON"], rows);
}

/** Adds the command that prints the state charts. */
export function addChartCommand(program: Command): void {
    program
        .command("charts [NAME]")
        .description("print the state charts as Mermaid diagrams")
        .option("--json", "print JSON")
        .action(async (name: string | undefined, options: { json?: boolean }) => {
            await import("../../serving/common/instance");
            const { ChartRegistry } = await import("../../base/common/chartRegistry");
            const { toMermaid } = await import("../../base/common/mermaid");
            const charts = ChartRegistry.instance.all().filter(each => name === undefined || each.name === name);
            const diagrams = charts.map(chart => ({ name: chart.name, diagram: toMermaid(chart) }));
            printJsonOrText(options.json === true, diagrams, () => diagrams.map(each => each.diagram).join("\n\n"));
            if (diagrams.length === 0) {
                print(`no chart is named ${name}`);
                process.exitCode = 1;
            }
        });
}
