import { Command } from "commander";
import { formatFinding } from "../../base/common/finding";
import { CommandError } from "./commandError";
import { checkText, readText } from "./inputFiles";
import { print } from "./output";

/** Adds the command that validates settings and ticket files without applying them. */
export function addCheckCommand(program: Command): void {
    program
        .command("check <FILE...>")
        .description("validate settings and ticket files; print every error with its position and the expected value")
        .addHelpText("after", "\nExample:\n  wigeonstall check examples/cennin/*.yaml")
        .action(async (files: readonly string[]) => {
            const findings = [];
            for (const file of files) {
                findings.push(...checkText(await readText(file), file));
            }
            if (findings.length > 0) {
                throw CommandError.create("bad-input", findings.map(formatFinding).join("\n"));
            }
            print(`${files.length} files are valid`);
        });
}
