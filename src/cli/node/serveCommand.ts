import { Command } from "commander";
import { CommandError } from "./commandError";
import { readSettings } from "./inputFiles";

/** Adds the command that runs an instance. */
export function addServeCommand(program: Command): void {
    program
        .command("serve")
        .description("run an instance; SIGTERM and SIGINT shut it down gracefully")
        .requiredOption("--settings <FILE>", "settings of the instance")
        .addHelpText("after", "\nExample:\n  wigeonstall serve --settings examples/cennin/entry-1.yaml")
        .action(async ({ settings: file }: { settings: string }) => {
            const settings = await readSettings(file);
            const { InstanceProcess } = await import("../../serving/node/instanceProcess");
            const instance = await InstanceProcess.start(settings).catch((error: unknown) => {
                throw CommandError.create("bad-input", `cannot listen on ${settings.listen}: ${String(error)}`);
            });
            const shutDown = () => void instance.stop().then(() => process.exit(0));
            process.once("SIGTERM", shutDown);
            process.once("SIGINT", shutDown);
            process.stderr.write(`listening on ${settings.listen}\n`);
        });
}
