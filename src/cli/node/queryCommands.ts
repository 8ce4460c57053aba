import { Command } from "commander";
import { DeskReply } from "../../serving/common/deskTraffic";
import { formatTable } from "../../base/common/table";
import { expectOk } from "./answerErrors";
import { print, printEither } from "./output";
import { ClientSource } from "./ticketCommands";

type Reply<Kind extends DeskReply["kind"]> = Extract<DeskReply, { readonly kind: Kind }>;

/** Adds the commands that read back what is in force and how the system is. */
export function addReadingCommands(program: Command, client: ClientSource): void {
    const read = async (command: Command, path: string) =>
        expectOk(await (await client(command)).call({ method: "GET", path })).body as unknown;
    program
        .command("in-force")
        .description("show what is in force, at which offset, on which instances, and how stale")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const reply = (await read(command, "/in-force")) as Reply<"in-force">;
            printEither(options.json === true, reply, () => formatInForce(reply));
        });
    program
        .command("status")
        .description("show the shards, their owners, and the state of one instance")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const reply = (await read(command, "/status")) as Reply<"status">;
            printEither(options.json === true, reply, () => formatStatus(reply));
        });
    program
        .command("audit [NAME]")
        .description("show decisions and their reasons: of a task, ticket, worker or shard, or the latest of all")
        .option("--json", "print JSON")
        .action(async (name: string | undefined, options: { json?: boolean }, command: Command) => {
            const path = `/audit?name=${encodeURIComponent(name ?? "")}`;
            const reply = (await read(command, path)) as Reply<"audit-listing">;
            printEither(options.json === true, reply, () => formatAudit(reply));
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
        process.stderr.write(`instances that did not answer: ${reply.unanswered.join(", ")}\n`);
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
            const drawn = charts.map(chart => ({ name: chart.name, diagram: toMermaid(chart) }));
            printEither(options.json === true, drawn, () => drawn.map(each => each.diagram).join("\n\n"));
            if (drawn.length === 0) {
                print(`no chart ${name}`);
                process.exitCode = 1;
            }
        });
}
