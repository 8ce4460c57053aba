import { Command } from "commander";
import { formatFinding } from "../../base/common/finding";
import { CommandError } from "./commandError";
import { findFaults, readText } from "./inputFiles";
import { print } from "./output";

/** Adds the command that checks settings and tickets without using them. */
export function addCheckCommand(program: Command): void {
    program
        .command("check <FILE...>")
        .description("check settings and tickets; every fault is printed with its place and what was expected there")
        .addHelpText("after", "\nExample:\n  wigeonstall check examples/cennin/*.yaml")
        .action(async (files: readonly string[]) => {
            const findings = [];
            for (const file of files) {
                findings.push(...findFaults(await readText(file), file));
            }
            if (findings.length > 0) {
                throw CommandError.create("bad-input", findings.map(formatFinding).join("\n"));
            }
            print(`${files.length} files are in order`);
        });
}
