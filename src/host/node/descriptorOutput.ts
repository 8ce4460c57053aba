import { write } from "node:fs";
import { LineOutput } from "./lineOutput";

/** Writes to a file descriptor. */
export class DescriptorOutput extends LineOutput {
    private constructor(private readonly descriptor: number) {
        super();
    }

    /** @param descriptor An open file descriptor. @returns The output. */
    static create(descriptor: number): DescriptorOutput {
        return new DescriptorOutput(descriptor);
    }

    override write(text: Buffer, onDone: (error: Error | undefined, writtenBytes: number) => void): void {
        write(this.descriptor, text, (error, writtenBytes) => onDone(error ?? undefined, writtenBytes));
    }
}
