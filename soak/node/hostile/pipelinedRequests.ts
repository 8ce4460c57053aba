import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

const REQUESTS_PER_BLOCK = 500;

/** Bound of what one connection sends, in blocks: on loopback there is no other one. */
const MAX_BLOCKS = 200;

const READ_INTERVAL_MS = 50;

/** Sends requests ahead and reads the answers not at all, or a byte at a time. */
export class PipelinedRequests extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly reading: "none" | "slow",
    ) {
        super(target);
    }

    /** @param reading How the answers are read. */
    static create(target: HostileTarget, reading: "none" | "slow"): PipelinedRequests {
        return new PipelinedRequests(target, reading);
    }

    protected abuse(socket: Socket): void {
        socket.pause();
        if (this.reading === "slow") {
            const timer = setInterval(() => void socket.read(1), READ_INTERVAL_MS);
            socket.once("close", () => clearInterval(timer));
            socket.on("readable", () => undefined);
        }
        const { path, hostHeader } = this.target;
        const block = `GET ${path} HTTP/1.1\r\nhost: ${hostHeader}\r\n\r\n`.repeat(REQUESTS_PER_BLOCK);
        let left = MAX_BLOCKS;
        this.writeAll(socket, () => (left-- > 0 ? block : undefined));
    }
}
