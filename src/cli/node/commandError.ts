import { ExitReason } from "../common/exitCode";

/** Ends a command with a message and an exit code. */
export class CommandError extends Error {
    private constructor(
        readonly reason: ExitReason,
        message: string,
    ) {
        super(message);
        this.name = "CommandError";
    }

    /** @param reason Decides the exit code. @param message Message for the operator. @returns The error. */
    static create(reason: ExitReason, message: string): CommandError {
        return new CommandError(reason, message);
    }
}
