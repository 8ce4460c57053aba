import { Command } from "commander";
import { CommandError } from "./commandError";
import { readJobSettings } from "./inputFiles";

/** Variable in which the platform names the settings file. */
const SETTINGS_VARIABLE = "WIGEONSTALL_BOOT";

/** Adds the command that runs an instance on the users' platform. */
export function addScheduleCommand(program: Command): void {
    program
        .command("schedule")
        .description("serve and schedule jobs on the platform until SIGTERM, which ends the instance gracefully")
        .option(
            "--settings <FILE>",
            `settings of the instance, or ${SETTINGS_VARIABLE}`,
            process.env[SETTINGS_VARIABLE],
        )
        .action(async ({ settings: file }: { settings?: string }) => {
            if (file === undefined) {
                throw CommandError.create("bad-input", `--settings or ${SETTINGS_VARIABLE} has to name the settings`);
            }
            const settings = await readJobSettings(file);
            const { startOnPlatform } = await import("../../platform/node/platformProcess");
            const instance = await startOnPlatform(settings).catch((error: unknown) => {
                throw CommandError.create("bad-input", `the instance cannot start: ${String(error)}`);
            });
            const stop = () => void instance.stop().then(() => process.exit(0));
            process.once("SIGTERM", stop);
            process.once("SIGINT", stop);
            // Addresses do not change while the machine lives, and all other settings come from the store.
            process.on("SIGHUP", () => instance.noteReload());
        });
}
