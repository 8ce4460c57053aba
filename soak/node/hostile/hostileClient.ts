import { connect, Socket } from "node:net";

/** Time after which a client whose connection was closed opens another one, in ms. */
const RECONNECT_MS = 100;

/** Where a hostile client sends to. */
export interface HostileTarget {
    /** Host and port. */
    readonly address: string;
    readonly hostHeader: string;
    readonly path: string;
}

/** A client that abuses one connection, and opens another one whenever it is closed. */
export abstract class HostileClient {
    private socket: Socket | undefined;
    private timer: NodeJS.Timeout | undefined;
    private isDisposed = false;

    protected constructor(protected readonly target: HostileTarget) {}

    /** Begins. */
    start(): void {
        const [host, port] = this.target.address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        this.socket = socket;
        // A reset is what a client like this has to expect.
        socket.on("error", () => undefined);
        socket.once("connect", () => this.abuse(socket));
        socket.once("close", () => {
            if (!this.isDisposed) {
                this.timer = setTimeout(() => this.start(), RECONNECT_MS);
            }
        });
    }

    /** Closes the connection. */
    dispose(): void {
        this.isDisposed = true;
        clearTimeout(this.timer);
        this.socket?.destroy();
    }

    /** Sends on a new connection. @param socket The connection. */
    protected abstract abuse(socket: Socket): void;

    /** @param lines Further header lines. @returns The beginning of a submission. */
    protected header(...lines: readonly string[]): string {
        const { path, hostHeader } = this.target;
        return [`POST ${path} HTTP/1.1`, `host: ${hostHeader}`, ...lines, "", ""].join("\r\n");
    }

    /** Writes blocks as fast as they are taken. @param next Returns the next block; `undefined` after the last one. */
    protected writeAll(socket: Socket, next: () => string | Buffer | undefined): void {
        const write = () => {
            for (let block = next(); block !== undefined && !socket.destroyed; block = next()) {
                if (!socket.write(block)) {
                    socket.once("drain", write);
                    return;
                }
            }
        };
        write();
    }
}
