import { Command } from "commander";
import { TaskReply } from "../../serving/common/peerTraffic";
import { formatTable } from "../../base/common/table";
import { expectOk } from "./answerErrors";
import { readText } from "./inputFiles";
import { print, printEither } from "./output";
import { ClientSource } from "./ticketCommands";

/** Adds the commands on batch tasks. */
export function addTaskCommands(program: Command, client: ClientSource): void {
    const task = program.command("task").description("submit batch tasks and follow them");
    task.command("submit <KEY> <FILE>")
        .description("submit a task under an idempotency key; - reads it from standard input")
        .addHelpText("after", "\nExample:\n  echo '{team: rosters, class: roster}' | wigeonstall task submit mon-1 -")
        .action(async (key: string, file: string, _options: unknown, command: Command) => {
            const body = await readText(file);
            const headers = { "idempotency-key": key };
            const answer = await (await client(command)).call({ method: "POST", path: "/tasks", headers, body });
            print(`accepted as ${key} in shard ${String(expectOk(answer).body.shard)}`);
        });
    task.command("show <KEY>")
        .description("show what became of a task")
        .option("--json", "print JSON")
        .action(async (key: string, options: { json?: boolean }, command: Command) => {
            const path = `/tasks/${encodeURIComponent(key)}`;
            const { body } = expectOk(await (await client(command)).call({ method: "GET", path }));
            const reply = body as unknown as TaskReply;
            printEither(options.json === true, reply, () => formatTasks([reply]));
        });
    task.command("list")
        .description("list the latest tasks of every shard")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const { body } = expectOk(await (await client(command)).call({ method: "GET", path: "/tasks" }));
            const { tasks, unanswered } = body as { tasks: TaskReply[]; unanswered: string[] };
            printEither(options.json === true, body, () => formatTasks(tasks));
            if (unanswered.length > 0) {
                process.stderr.write(`shards that did not answer: ${unanswered.join(", ")}\n`);
            }
        });
    task.command("cancel <KEY>")
        .description("cancel a task")
        .action(async (key: string, _options: unknown, command: Command) => {
            const path = `/tasks/${encodeURIComponent(key)}`;
            expectOk(await (await client(command)).call({ method: "DELETE", path }));
            print(`cancellation of ${key} accepted; see task show ${key}`);
        });
}

function formatTasks(tasks: readonly TaskReply[]): string {
    const rows = tasks.map(each => [
        each.key,
        each.state,
        each.worker,
        each.attempts,
        each.evictions,
        each.waitReason === "" ? each.result : each.waitReason,
    ]);
    return formatTable(["KEY", "STATE", "WORKER", "ATTEMPTS", "EVICTIONS", "RESULT"], rows);
}
