import { Command, CommanderError } from "commander";
import { EXIT_CODES } from "../common/exitCode";
import { addCheckCommand } from "./checkCommand";
import { CommandError } from "./commandError";
import { addCompletionCommand } from "./completion";
import { addChartCommand, addReadingCommands } from "./readingCommands";
import { addScheduleCommand } from "./scheduleCommand";
import { addServeCommand } from "./serveCommand";
import { addStandInCommand } from "./standInCommand";
import { addTaskCommands } from "./taskCommands";
import { addTraceCommand } from "./traceCommand";
import { addTicketCommands, ClientSource } from "./ticketCommands";

const DEFAULT_SERVER = "http://127.0.0.1:7400";

const EXIT_HELP = `
Exit codes: 0 done, 1 refused, 2 bad input, 3 no instance answers, 4 may or may not have taken effect.

Examples:
  wigeonstall check examples/cennin/*.yaml
  wigeonstall serve --settings examples/cennin/entry-1.yaml
  wigeonstall --server http://127.0.0.1:7401 ticket file examples/cennin/ticket-1.yaml
  wigeonstall in-force --json`;

/** Reaches the instances that the command line or the environment names. The HTTP client is loaded when needed. */
const createClient: ClientSource = async command => {
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
        .option("--server <ORIGIN...>", "instances to ask, or WIGEONSTALL_SERVER", undefined)
        .option("--key <KEY>", "key of the operators, or WIGEONSTALL_KEY", process.env.WIGEONSTALL_KEY ?? "")
        .option("--authority <FILE>", "certificate of the authority of the instances' certificates")
        .addHelpText("after", EXIT_HELP)
        .exitOverride();
    addServeCommand(program);
    addScheduleCommand(program);
    addCheckCommand(program);
    addTicketCommands(program, createClient);
    addTaskCommands(program, createClient);
    addReadingCommands(program, createClient);
    addChartCommand(program);
    addTraceCommand(program);
    program
        .command("demo")
        .description("run instances, workers and the platform in this process for a minute, and tell what happens")
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

// A reader that closes the pipe early, as `head` does, is no fault.
process.stdout.on("error", () => process.exit());

void main();
