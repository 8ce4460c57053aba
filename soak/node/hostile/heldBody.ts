import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

/** How a body is sent. */
export type BodyPieces = "whole" | "small" | "chunked";

const SMALL_PIECE_BYTES = 1_024;

/** Size of the chunks of a chunked body: the framing takes as much as the content. */
const CHUNK_BYTES = 8;
const CHUNKS_PER_PIECE = 128;

/** Sends a body of legal size except for its end, and keeps the connection open. */
export class HeldBody extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly pieces: BodyPieces,
        private readonly bodyBytes: number,
        private readonly sentBytes: number,
    ) {
        super(target);
    }

    /** @param pieces How the body is sent. @param bodyBytes Its size. @param sentBytes What is sent of it. */
    static create(target: HostileTarget, pieces: BodyPieces, bodyBytes: number, sentBytes = bodyBytes - 1): HeldBody {
        return new HeldBody(target, pieces, bodyBytes, sentBytes);
    }

    protected abuse(socket: Socket): void {
        if (this.pieces === "chunked") {
            this.sendChunks(socket);
            return;
        }
        socket.write(this.header(`content-length: ${this.bodyBytes}`));
        const pieceBytes = this.pieces === "whole" ? this.sentBytes : SMALL_PIECE_BYTES;
        let left = this.sentBytes;
        this.writeAll(socket, () => {
            const bytes = Math.min(left, pieceBytes);
            left -= bytes;
            return bytes > 0 ? Buffer.alloc(bytes, "a") : undefined;
        });
    }

    private sendChunks(socket: Socket): void {
        socket.write(this.header("transfer-encoding: chunked"));
        const piece = `${CHUNK_BYTES.toString(16)}\r\n${"a".repeat(CHUNK_BYTES)}\r\n`.repeat(CHUNKS_PER_PIECE);
        let left = this.sentBytes;
        this.writeAll(socket, () => {
            left -= CHUNK_BYTES * CHUNKS_PER_PIECE;
            return left >= 0 ? piece : undefined;
        });
    }
}
