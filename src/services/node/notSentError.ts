/** Failure of a request of which no byte was sent or will be sent. */
export class NotSentError extends Error {
    /** Distinguishes this error from the library's. */
    readonly code = "NOT_SENT";

    private constructor(message: string) {
        super(message);
    }

    /** @param waitedMs Time that the request waited for a connection, in ms. @returns The error. */
    static create(waitedMs: number): NotSentError {
        return new NotSentError(`no connection within ${waitedMs} ms`);
    }
}
