import { Command } from "commander";
import { CommandError } from "./commandError";
import { readJobSettings } from "./inputFiles";

/** Environment variable with the path of the settings file, set by the platform. */
const SETTINGS_VARIABLE = "WIGEONSTALL_BOOT";

/** Adds the command that runs an instance on the platform. */
export function addScheduleCommand(program: Command): void {
    program
        .command("schedule")
        .description("run an instance that schedules jobs on the platform; SIGTERM and SIGINT shut it down gracefully")
        .option(
            "--settings <FILE>",
            `settings of the instance, or ${SETTINGS_VARIABLE}`,
            process.env[SETTINGS_VARIABLE],
        )
        .action(async ({ settings: file }: { settings?: string }) => {
            if (file === undefined) {
                throw CommandError.create("bad-input", `missing settings file: use --settings or ${SETTINGS_VARIABLE}`);
            }
            const settings = await readJobSettings(file);
            const { startOnPlatform } = await import("../../platform/node/platformProcess");
            const instance = await startOnPlatform(settings).catch((error: unknown) => {
                throw CommandError.create("bad-input", `cannot start the instance: ${String(error)}`);
            });
            const shutDown = () => void instance.stop().then(() => process.exit(0));
            process.once("SIGTERM", shutDown);
            process.once("SIGINT", shutDown);
            // Addresses stay the same while the machine runs, and all other settings come from the store.
            process.on("SIGHUP", () => instance.handleReload());
        });
}
