import { IncomingMessage } from "node:http";
import { RefusalReason } from "../common/refusalReason";
import { BodyBuffer } from "./bodyBuffer";
import { BodyPool } from "./bodyPool";
import { GuardedConnection } from "./guardedConnection";

/** A request body, which is valid until the call returns, or why it could not be read. */
export type BodyResult =
    { readonly kind: "read"; readonly body: Buffer } | { readonly kind: "too-large" | "no-room" | "broken" };

/** Reads the body of a request within the limits. */
export class BoundedBody {
    private readonly buffer: BodyBuffer;
    private readonly connection: GuardedConnection | undefined;
    private isDone = false;

    private constructor(
        request: IncomingMessage,
        private readonly maxBytes: number,
        private readonly onDone: (result: BodyResult) => void,
    ) {
        this.connection = GuardedConnection.of(request);
        this.buffer = BodyBuffer.create(maxBytes, this.connection?.pool ?? BodyPool.create());
        request.on("data", (chunk: Buffer) => this.add(chunk));
        request.once("end", () => this.finish({ kind: "read", body: this.buffer.content }));
        request.once("error", () => this.finish({ kind: "broken" }));
        request.once("close", () => this.finish({ kind: "broken" }));
    }

    /**
     * Reads a body. A body over the limit, or without room, ends the connection after its answer.
     * @param request The request.
     * @param maxBytes Size in bytes above which the body is rejected.
     * @param onDone Receives the complete body, or why it could not be read.
     */
    static read(request: IncomingMessage, maxBytes: number, onDone: (result: BodyResult) => void): void {
        const body = new BoundedBody(request, maxBytes, onDone);
        if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
            body.reject("body-too-large");
        }
    }

    private add(chunk: Buffer): void {
        if (this.isDone) {
            return;
        }
        const size = this.buffer.size + chunk.length;
        if (size > this.maxBytes) {
            this.reject("body-too-large");
            return;
        }
        this.buffer.add(chunk);
        if (this.buffer.needsRoom) {
            this.connection?.requestRoom(this.maxBytes, () => this.finish({ kind: "no-room" }));
        }
    }

    private reject(reason: RefusalReason): void {
        this.connection?.recordRefusal(reason);
        this.finish({ kind: "too-large" });
        this.connection?.refuse(reason);
    }

    private finish(result: BodyResult): void {
        if (!this.isDone) {
            this.isDone = true;
            this.onDone(result);
            this.buffer.release();
            this.connection?.releaseRoom();
        }
    }
}
