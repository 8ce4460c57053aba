/** Receives the text of a log. */
export abstract class LineOutput {
    /**
     * Writes text without blocking.
     * @param text The text.
     * @param onDone Called with the number of bytes written, which may be fewer than given, or with the system error.
     */
    abstract write(text: Buffer, onDone: (error: Error | undefined, writtenBytes: number) => void): void;
}
