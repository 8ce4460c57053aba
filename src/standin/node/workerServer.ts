import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { LEASE_PATH } from "../../services/node/httpWorker";
import { decodeCall, encodeReport } from "../../services/node/workerCodec";
import { SimulatedWorker } from "../common/simulatedWorker";

/** Mean time that a stand-in's service takes when nothing disturbs it, in ms. */
const SERVICE_TIME_MS = 8;

/** A worker with the upstream of a service, over HTTP. */
export class WorkerServer implements Disposable {
    /** Requests that the upstream has run, by the caller's key. */
    readonly runs: string[] = [];
    /** Whether connections that exist are kept open but never served again. */
    private readonly silenced = new Set<unknown>();

    private constructor(
        readonly worker: SimulatedWorker,
        private readonly service: string,
        private readonly server: Server,
    ) {}

    /** @returns The worker, listening on loopback. */
    static async start(worker: SimulatedWorker, service: string): Promise<WorkerServer> {
        const server = createServer();
        const standin = new WorkerServer(worker, service, server);
        server.on("request", (request, response) => void standin.serve(request, response));
        server.on("connection", socket => {
            standin.sockets.add(socket);
            socket.on("close", () => standin.sockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return standin;
    }

    private readonly sockets = new Set<unknown>();

    /** Host and port. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Lets all present connections go silent for good; new ones work. */
    silence(): void {
        this.sockets.forEach(socket => this.silenced.add(socket));
    }

    /** Stops to listen. */
    dispose(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        if (this.silenced.has(request.socket)) {
            return;
        }
        if (request.url === LEASE_PATH) {
            await this.serveLeases(request, response);
        } else {
            await this.serveUpstream(request, response);
        }
    }

    private async serveLeases(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const result = this.worker.exchangeNow(decodeCall(await readBytes(request)));
        if (result.ok) {
            response.writeHead(200, { "content-type": "application/x-protobuf" }).end(encodeReport(result.val));
        } else {
            response.writeHead(409).end(result.val.message);
        }
    }

    private async serveUpstream(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const text = (await readBytes(request)).toString();
        const { services } = this.worker;
        services.set(this.service, (services.get(this.service) ?? 0) + 1);
        this.worker.advance();
        await new Promise(resolve => setTimeout(resolve, SERVICE_TIME_MS * this.worker.slowdown(this.service)));
        services.set(this.service, services.get(this.service)! - 1);
        if (request.method !== "HEAD") {
            this.runs.push(String(request.headers["idempotency-key"] ?? ""));
        }
        response
            .writeHead(200, { "content-type": "text/plain" })
            .end(`${this.service} on ${this.worker.name}: ${text}\n`);
    }
}

async function readBytes(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}
