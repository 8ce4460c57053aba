import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { LEASE_PATH } from "../../services/node/httpWorker";
import { decodeCall, encodeReport } from "../../services/node/workerCodec";
import { SimulatedWorker } from "../common/simulatedWorker";

/** Response time of the upstream without interference, in ms. */
const SERVICE_TIME_MS = 8;

/** A simulated worker and the upstream of a service on it, over HTTP. */
export class WorkerServer implements Disposable {
    /** Idempotency keys of the requests that the upstream has executed, except HEAD requests. */
    readonly executedKeys: string[] = [];
    /** Connections that stay open but get no responses. */
    private readonly stalledSockets = new Set<unknown>();

    private constructor(
        readonly worker: SimulatedWorker,
        private readonly service: string,
        private readonly server: Server,
    ) {}

    /** @param service Name of the service that the upstream serves. @returns The server, listening on loopback. */
    static async start(worker: SimulatedWorker, service: string): Promise<WorkerServer> {
        const server = createServer();
        const workerServer = new WorkerServer(worker, service, server);
        server.on("request", (request, response) => void workerServer.serve(request, response));
        server.on("connection", socket => {
            workerServer.openSockets.add(socket);
            socket.on("close", () => workerServer.openSockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return workerServer;
    }

    private readonly openSockets = new Set<unknown>();

    /** Host and port. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Stops responding on the open connections without closing them; new connections work. */
    stallOpenConnections(): void {
        this.openSockets.forEach(socket => this.stalledSockets.add(socket));
    }

    /** Closes all connections and stops listening. */
    dispose(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        if (this.stalledSockets.has(request.socket)) {
            return;
        }
        if (request.url === LEASE_PATH) {
            await this.serveLeases(request, response);
        } else {
            await this.serveUpstream(request, response);
        }
    }

    private async serveLeases(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const result = this.worker.exchangeSync(decodeCall(await readBytes(request)));
        if (result.ok) {
            response.writeHead(200, { "content-type": "application/x-protobuf" }).end(encodeReport(result.val));
        } else {
            response.writeHead(409).end(result.val.message);
        }
    }

    private async serveUpstream(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = (await readBytes(request)).toString();
        const { busySlots } = this.worker;
        busySlots.set(this.service, (busySlots.get(this.service) ?? 0) + 1);
        this.worker.updateAttempts();
        await new Promise(resolve => setTimeout(resolve, SERVICE_TIME_MS * this.worker.slowdown(this.service)));
        busySlots.set(this.service, busySlots.get(this.service)! - 1);
        if (request.method !== "HEAD") {
            this.executedKeys.push(String(request.headers["idempotency-key"] ?? ""));
        }
        response
            .writeHead(200, { "content-type": "text/plain" })
            .end(`${this.service} on ${this.worker.name}: ${body}\n`);
    }
}

async function readBytes(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}
