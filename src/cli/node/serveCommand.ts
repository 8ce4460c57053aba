import { Command } from "commander";
import { CommandError } from "./commandError";
import { readSettings } from "./inputFiles";

/** Adds the command that runs an instance. */
export function addServeCommand(program: Command): void {
    program
        .command("serve")
        .description("run an instance until SIGTERM or SIGINT, which end it gracefully")
        .requiredOption("--settings <FILE>", "settings of the instance")
        .addHelpText("after", "\nExample:\n  wigeonstall serve --settings examples/cennin/entry-1.yaml")
        .action(async ({ settings: file }: { settings: string }) => {
            const settings = await readSettings(file);
            const { InstanceProcess } = await import("../../serving/node/instanceProcess");
            const instance = await InstanceProcess.start(settings).catch((error: unknown) => {
                throw CommandError.create("bad-input", `${settings.listen} cannot be listened on: ${String(error)}`);
            });
            const stop = () => void instance.stop().then(() => process.exit(0));
            process.once("SIGTERM", stop);
            process.once("SIGINT", stop);
            process.stderr.write(`listening on ${settings.listen}\n`);
        });
}
