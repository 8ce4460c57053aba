import { Command, CommanderError } from "commander";
import { EXIT_CODES } from "../common/exitCode";
import { addCheckCommand } from "./checkCommand";
import { CommandError } from "./commandError";
import { addCompletionCommand } from "./completionCommand";
import { addChartCommand, addQueryCommands } from "./queryCommands";
import { addScheduleCommand } from "./scheduleCommand";
import { addServeCommand } from "./serveCommand";
import { addStandInCommand } from "./standInCommand";
import { addTaskCommands } from "./taskCommands";
import { addTicketCommands, ClientFactory } from "./ticketCommands";
import { addTraceCommand } from "./traceCommand";

const DEFAULT_SERVER = "http://127.0.0.1:7400";

const EXIT_HELP = `
Exit codes: 0 success, 1 refused, 2 bad input, 3 no instance responded, 4 unknown whether the request took effect.

Examples:
  wigeonstall check examples/cennin/*.yaml
  wigeonstall serve --settings examples/cennin/entry-1.yaml
  wigeonstall --server http://127.0.0.1:7401 ticket file examples/cennin/ticket-1.yaml
  wigeonstall in-force --json`;

/** Creates a client for the instances named by the command line or the environment. Loads the HTTP client on demand. */
const createClient: ClientFactory = async command => {
    const { server, key, authority } = command.optsWithGlobals<{
        server?: string[];
        key: string;
        authority?: string;
    }>();
    const { ApiClient } = await import("./apiClient");
    const servers = server ?? (process.env.WIGEONSTALL_SERVER ?? DEFAULT_SERVER).split(",");
    const ca = authority === undefined ? undefined : await (await import("./inputFiles")).readText(authority);
    return ApiClient.create({ servers, key, authority: ca });
};

function createProgram(): Command {
    const program = new Command("wigeonstall")
        .description("schedules latency-critical and batch work on shared workers")
        .option("--server <ORIGIN...>", "origins of the instances to connect to, or WIGEONSTALL_SERVER", undefined)
        .option("--key <KEY>", "operator key, or WIGEONSTALL_KEY", process.env.WIGEONSTALL_KEY ?? "")
        .option("--authority <FILE>", "certificate of the CA that issued the certificates of the instances")
        .addHelpText("after", EXIT_HELP)
        .exitOverride();
    addServeCommand(program);
    addScheduleCommand(program);
    addCheckCommand(program);
    addTicketCommands(program, createClient);
    addTaskCommands(program, createClient);
    addQueryCommands(program, createClient);
    addChartCommand(program);
    addTraceCommand(program);
    program
        .command("demo")
        .description("run instances, workers and the platform in this process for a minute, and print what happens")
        .action(async () => {
            const { runDemo } = await import("../../proof/node/demo");
            process.exitCode = await runDemo();
        });
    addStandInCommand(program);
    addCompletionCommand(program);
    return program;
}

function overrideExit(command: Command): void {
    command.exitOverride();
    command.commands.forEach(overrideExit);
}

async function main(): Promise<void> {
    const program = createProgram();
    overrideExit(program);
    try {
        await program.parseAsync();
    } catch (error) {
        if (error instanceof CommanderError) {
            process.exitCode = error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES["bad-input"];
        } else if (error instanceof CommandError) {
            process.stderr.write(`${error.message}\n`);
            process.exitCode = EXIT_CODES[error.reason];
        } else {
            throw error;
        }
    }
}

// A reader that closes the pipe early, such as `head`, is not an error.
process.stdout.on("error", () => process.exit());

void main();
