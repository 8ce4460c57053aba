import { BodyPool } from "./bodyPool";

/** Bytes of a connection that are parsed at once. */
export const SLICE_BYTES = 4_096;

/** Bodies up to this size are part of what each connection may take; larger ones need room of their own. */
const SMALL_BODY_BYTES = 16_384;

/** What may be added until a body that needs room is held: slices wait in the request, the connection and the parser. */
const MAX_WAITING_BYTES = SMALL_BODY_BYTES + 4 * SLICE_BYTES;

const EMPTY: Buffer = Buffer.alloc(0);

/** Collects a body in one piece of memory, since small pieces take many times their size. */
export class BodyBuffer {
    private memory: Buffer = EMPTY;
    private isPooled = false;
    private length = 0;

    private constructor(
        private readonly maxBytes: number,
        private readonly pool: BodyPool,
    ) {}

    /** @param maxBytes Largest size of the body. @param pool Memory of large bodies. @returns An empty buffer. */
    static create(maxBytes: number, pool: BodyPool): BodyBuffer {
        return new BodyBuffer(maxBytes, pool);
    }

    /** Number of bytes that were added. */
    get size(): number {
        return this.length;
    }

    /** Whether the body needs room of its own. */
    get needsRoom(): boolean {
        return this.length > SMALL_BODY_BYTES;
    }

    /** What was added; valid until the memory is released. */
    get content(): Buffer {
        return this.memory.subarray(0, this.length);
    }

    /** Adds a piece; the caller keeps within the largest size. */
    add(piece: Buffer): void {
        const length = this.length + piece.length;
        if (length > this.memory.length) {
            this.grow(length);
        }
        piece.copy(this.memory, this.length);
        this.length = length;
    }

    /** Gives the memory back. */
    release(): void {
        if (this.isPooled) {
            this.pool.put(this.memory);
            this.isPooled = false;
        }
        this.memory = EMPTY;
        this.length = 0;
    }

    private grow(length: number): void {
        const former = this.memory;
        if (length > MAX_WAITING_BYTES) {
            this.memory = this.pool.take(this.maxBytes);
            this.isPooled = true;
        } else {
            this.memory = Buffer.allocUnsafe(Math.min(MAX_WAITING_BYTES, Math.max(length, 2 * former.length)));
        }
        former.copy(this.memory, 0, 0, this.length);
    }
}
