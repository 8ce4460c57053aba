import { Command } from "commander";
import { print } from "./output";

/** Adds the command that prints a bash completion script for the registered commands. */
export function addCompletionCommand(program: Command): void {
    program
        .command("completion")
        .description("print a bash completion script")
        .addHelpText("after", "\nExample:\n  source <(wigeonstall completion)")
        .action(() => print(completionScript(program)));
}

function completionScript(program: Command): string {
    const words = (command: Command) => [
        ...command.commands.map(each => each.name()),
        ...command.options.map(each => each.long ?? ""),
    ];
    const cases = program.commands.map(
        each => `        ${each.name()}) words="${[...words(each), "--help"].join(" ")}" ;;`,
    );
    return [
        "_wigeonstall() {",
        `    local words="${[...words(program), "--help"].join(" ")}"`,
        '    case "${COMP_WORDS[1]}" in',
        ...cases,
        "    esac",
        '    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
        "}",
        "complete -o default -F _wigeonstall wigeonstall",
    ].join("\n");
}
