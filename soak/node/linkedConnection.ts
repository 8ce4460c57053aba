import { Socket } from "node:net";

/** What a link does to the connections across it: cut in both or one direction, reset, or delayed. */
export type LinkCondition = "silent" | "to-server" | "to-client" | "reset" | "delayed";

/** Time by which a link with a delay holds back data, in ms. */
const LINK_DELAY_MS = 400;

/** One connection across a link. A cut holds back its data, as a network does that delivers them again later. */
export class LinkedConnection {
    private server: Socket | undefined;
    private isStale = false;

    private constructor(
        private readonly client: Socket,
        private readonly connectServer: () => Socket,
        private readonly has: (condition: LinkCondition) => boolean,
        private readonly onClosed: () => void,
    ) {
        client.pause();
        client.on("error", () => undefined);
        client.on("close", () => this.close(this.server));
        this.update();
    }

    /**
     * @param client Connection of the client.
     * @param connectServer Connects to the server.
     * @param has Returns whether the link has a condition now.
     * @param onClosed Called when either side has closed.
     * @returns The connection, which forwards what the conditions allow.
     */
    static create(
        client: Socket,
        connectServer: () => Socket,
        has: (condition: LinkCondition) => boolean,
        onClosed: () => void,
    ): LinkedConnection {
        return new LinkedConnection(client, connectServer, has, onClosed);
    }

    /** Stops all data for good, without closing the connection. */
    makeStale(): void {
        this.isStale = true;
        this.update();
    }

    reset(): void {
        this.client.resetAndDestroy();
        this.server?.resetAndDestroy();
    }

    /** Applies the present conditions of the link. */
    update(): void {
        const isCut = this.isStale || this.has("silent");
        const reachesServer = !isCut && !this.has("to-server");
        if (reachesServer && this.server === undefined && !this.client.destroyed) {
            const server = this.connectServer();
            this.server = server;
            server.on("error", () => undefined);
            server.on("close", () => this.close(this.client));
            server.on("data", chunk => this.forward(this.client, chunk));
            this.client.on("data", chunk => this.forward(server, chunk));
        }
        this.setFlow(this.client, reachesServer);
        this.setFlow(this.server, !isCut && !this.has("to-client"));
    }

    private setFlow(socket: Socket | undefined, isOpen: boolean): void {
        if (isOpen) {
            socket?.resume();
        } else {
            socket?.pause();
        }
    }

    private forward(to: Socket, chunk: Buffer): void {
        if (this.has("delayed")) {
            setTimeout(() => to.writable && to.write(chunk), LINK_DELAY_MS);
        } else if (to.writable) {
            to.write(chunk);
        }
    }

    private close(other: Socket | undefined): void {
        this.onClosed();
        other?.destroy();
    }
}
