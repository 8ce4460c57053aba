import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

const BLOCK = Buffer.alloc(65_536, "a");
const CHUNK = Buffer.concat([Buffer.from(`${BLOCK.length.toString(16)}\r\n`), BLOCK, Buffer.from("\r\n")]);

/** Size that is announced: far over any limit, and never reached. */
const ANNOUNCED_BYTES = 2 ** 40;

/** Sends a body without an end. */
export class EndlessBody extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly framing: "length" | "chunked",
    ) {
        super(target);
    }

    /** @param framing How the end of the body is given. */
    static create(target: HostileTarget, framing: "length" | "chunked"): EndlessBody {
        return new EndlessBody(target, framing);
    }

    protected abuse(socket: Socket): void {
        const isChunked = this.framing === "chunked";
        socket.write(this.header(isChunked ? "transfer-encoding: chunked" : `content-length: ${ANNOUNCED_BYTES}`));
        this.writeAll(socket, () => (isChunked ? CHUNK : BLOCK));
    }
}
