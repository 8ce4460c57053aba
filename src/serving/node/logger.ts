import { ConsolaInstance, createConsola, LogLevels } from "consola/core";
import { Settings } from "../common/settings";

/**
 * Creates the logger of a process, which writes one line per message, as JSON or text, to standard error.
 * @param settings Format and level.
 * @returns The logger.
 */
export function createLogger(settings: Settings["log"]): ConsolaInstance {
    return createConsola({
        level: LogLevels[settings.level],
        reporters: [
            {
                log: ({ type, args, date }) => {
                    const [message, data] = args as [string, Record<string, unknown> | undefined];
                    const line =
                        settings.format === "json"
                            ? JSON.stringify({ time: date.toISOString(), level: type, message, ...data })
                            : `${date.toISOString()} ${type} ${message} ${data === undefined ? "" : JSON.stringify(data)}`;
                    process.stderr.write(`${line.trimEnd()}\n`);
                },
            },
        ],
    });
}
