/** Memory of large bodies, which is used again: the runtime would free it late. */
export class BodyPool {
    private free: Buffer[] = [];

    private constructor() {}

    /** @returns A pool without memory. */
    static create(): BodyPool {
        return new BodyPool();
    }

    /** @param bytes Size in bytes. @returns Memory with any content. */
    take(bytes: number): Buffer {
        // After a change of the limit, memory of the former size is of no use.
        this.free = this.free.filter(each => each.length === bytes);
        return this.free.pop() ?? Buffer.allocUnsafeSlow(bytes);
    }

    /** Takes memory back. */
    put(memory: Buffer): void {
        this.free.push(memory);
    }

    /** Lets the runtime free what is not in use. */
    trim(): void {
        this.free = [];
    }
}
