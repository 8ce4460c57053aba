import { Command } from "commander";
import { readText } from "./inputFiles";
import { print } from "./output";

/** A line of the log of decisions. */
interface LogLine {
    readonly time: string;
    readonly instance: string;
    readonly event: string;
}

/** Adds the command that tells one id's story from the logs of several instances. */
export function addTraceCommand(program: Command): void {
    program
        .command("trace")
        .description("print what the instances' logs say of a job, a task or a worker, in the order of time")
        .argument("<ID>", "identifier of the job, task or worker")
        .argument("<LOG...>", "logs of the instances; - for standard input")
        .addHelpText("after", "\nExample:\n  wigeonstall trace 5c0e7a21d94b36f8 entry-1.log entry-2.log")
        .action(async (id: string, files: string[]) => {
            const texts = await Promise.all(files.map(readText));
            const lines = texts.flatMap(text => text.split("\n")).filter(line => line.includes(id));
            const story = lines.flatMap(parseLine).sort((a, b) => (a.time < b.time ? -1 : 1));
            story.forEach(line => print(formatLine(line)));
        });
}

/** Whatever stands before the line, such as the name of its process, is left out, as are lines that are no decisions. */
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
