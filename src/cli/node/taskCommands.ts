import { Command } from "commander";
import { TaskReply } from "../../serving/common/peerMessages";
import { formatTable } from "../../base/common/table";
import { readText } from "./inputFiles";
import { print, printJsonOrText } from "./output";
import { expectSuccess } from "./responseErrors";
import { ClientFactory } from "./ticketCommands";

/** Adds the commands for batch tasks. */
export function addTaskCommands(program: Command, clientFor: ClientFactory): void {
    const task = program.command("task").description("submit, show, list and cancel batch tasks");
    task.command("submit <KEY> <FILE>")
        .description("submit a task from a file under an idempotency key; - reads standard input")
        .addHelpText("after", "\nExample:\n  echo '{team: rosters, class: roster}' | wigeonstall task submit mon-1 -")
        .action(async (key: string, file: string, _options: unknown, command: Command) => {
            const body = await readText(file);
            const headers = { "idempotency-key": key };
            const response = await (await clientFor(command)).call({ method: "POST", path: "/tasks", headers, body });
            print(`accepted as ${key} in shard ${String(expectSuccess(response).body.shard)}`);
        });
    task.command("show <KEY>")
        .description("show the state and result of a task")
        .option("--json", "print JSON")
        .action(async (key: string, options: { json?: boolean }, command: Command) => {
            const path = `/tasks/${encodeURIComponent(key)}`;
            const { body } = expectSuccess(await (await clientFor(command)).call({ method: "GET", path }));
            const reply = body as unknown as TaskReply;
            printJsonOrText(options.json === true, reply, () => formatTasks([reply]));
        });
    task.command("list")
        .description("list the latest tasks of each shard")
        .option("--json", "print JSON")
        .action(async (options: { json?: boolean }, command: Command) => {
            const { body } = expectSuccess(await (await clientFor(command)).call({ method: "GET", path: "/tasks" }));
            const { tasks, unanswered } = body as { tasks: TaskReply[]; unanswered: string[] };
            printJsonOrText(options.json === true, body, () => formatTasks(tasks));
            if (unanswered.length > 0) {
                process.stderr.write(`shards that did not respond: ${unanswered.join(", ")}\n`);
            }
        });
    task.command("cancel <KEY>")
        .description("cancel a task")
        .action(async (key: string, _options: unknown, command: Command) => {
            const path = `/tasks/${encodeURIComponent(key)}`;
            expectSuccess(await (await clientFor(command)).call({ method: "DELETE", path }));
            print(`cancellation of ${key} accepted; run task show ${key} to see its state`);
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
