import { Command } from "commander";
import { readText } from "./inputFiles";
import { print } from "./output";

/** A line of the decision log. */
interface LogLine {
    readonly time: string;
    readonly instance: string;
    readonly event: string;
}

/** Adds the command that merges the log lines about one id from the logs of several instances. */
export function addTraceCommand(program: Command): void {
    program
        .command("trace")
        .description(
            "print the log lines about a job, task or worker from the logs of several instances, in order of time",
        )
        .argument("<ID>", "identifier of the job, task or worker")
        .argument("<LOG...>", "logs of the instances; - for standard input")
        .addHelpText("after", "\nExample:\n  wigeonstall trace 5c0e7a21d94b36f8 entry-1.log entry-2.log")
        .action(async (id: string, files: string[]) => {
            const texts = await Promise.all(files.map(readText));
            const lines = texts.flatMap(text => text.split("\n")).filter(line => line.includes(id));
            const sorted = lines.flatMap(parseLine).sort((a, b) => (a.time < b.time ? -1 : 1));
            sorted.forEach(line => print(formatLine(line)));
        });
}

/** Skips a prefix such as the name of the process, and lines that are not decisions. */
function parseLine(text: string): LogLine[] {
    try {
        const line = JSON.parse(text.slice(text.indexOf("{"))) as LogLine;
        return typeof line.time === "string" && typeof line.event === "string" ? [line] : [];
    } catch {
        return [];
    }
}

function formatLine({ time, instance, event, ...data }: LogLine): string {
    const details = Object.entries(data).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    return [time, instance, event, ...details].join(" ");
}
