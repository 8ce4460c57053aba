import { AddressInfo, connect, createServer, Server, Socket } from "node:net";
import { LinkCondition, LinkedConnection } from "./linkedConnection";

/** A loopback TCP proxy in front of one address. */
export class LinkProxy {
    private readonly connections = new Set<LinkedConnection>();
    private readonly conditions = new Map<LinkCondition, number>();

    private constructor(
        private readonly server: Server,
        private readonly host: string,
        private readonly targetPort: number,
    ) {}

    /** @param host Loopback address of both sides. @param targetPort Port that it forwards to. @returns The proxy. */
    static async start(host: string, targetPort: number): Promise<LinkProxy> {
        const server = createServer({ noDelay: true });
        const proxy = new LinkProxy(server, host, targetPort);
        server.on("connection", socket => proxy.accept(socket));
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        return proxy;
    }

    /** Host and port. */
    get address(): string {
        return `${this.host}:${(this.server.address() as AddressInfo).port}`;
    }

    begin(condition: LinkCondition): void {
        this.conditions.set(condition, (this.conditions.get(condition) ?? 0) + 1);
        this.update();
    }

    end(condition: LinkCondition): void {
        this.conditions.set(condition, (this.conditions.get(condition) ?? 0) - 1);
        this.update();
    }

    /** Silences the open connections for good; new ones work. */
    makeStale(): void {
        this.connections.forEach(each => each.makeStale());
    }

    dispose(): void {
        this.connections.forEach(each => each.reset());
        this.server.close();
    }

    private has(condition: LinkCondition): boolean {
        return (this.conditions.get(condition) ?? 0) > 0;
    }

    private update(): void {
        this.connections.forEach(each => (this.has("reset") ? each.reset() : each.update()));
    }

    private accept(client: Socket): void {
        if (this.has("reset")) {
            client.on("error", () => undefined);
            client.resetAndDestroy();
            return;
        }
        const connectServer = () => connect({ port: this.targetPort, host: this.host, noDelay: true });
        const connection: LinkedConnection = LinkedConnection.create(
            client,
            connectServer,
            condition => this.has(condition),
            () => this.connections.delete(connection),
        );
        this.connections.add(connection);
    }
}
