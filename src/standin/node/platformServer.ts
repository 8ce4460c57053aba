import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { InstanceListing } from "../../services/common/instanceList";
import { LogError } from "../../services/common/logService";
import { joinFrames } from "../../services/node/frames";
import { FIRST_HEADER, HEAD_HEADER, OFFSET_HEADER } from "../../services/node/httpLogService";
import { MemoryLog } from "../common/memoryLog";

/** In-memory log service and service discovery of the platform, over HTTP. */
export class PlatformServer implements Disposable {
    readonly log = MemoryLog.create();
    private listing: InstanceListing = { workers: [], entries: [] };
    private version = 0;

    private constructor(private readonly server: Server) {}

    /** @param port Port to listen on; 0 for any free port. @returns The platform, listening on loopback. */
    static async start(port = 0): Promise<PlatformServer> {
        const server = createServer();
        const platform = new PlatformServer(server);
        server.on("request", (request, response) => void platform.serve(request, response));
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        return platform;
    }

    /** Scheme, host and port. */
    get origin(): string {
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Replaces the listing of service discovery. */
    setListing(listing: InstanceListing): void {
        this.listing = listing;
        this.version += 1;
    }

    /** Closes all connections and stops listening. */
    dispose(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const url = new URL(request.url ?? "/", "http://localhost");
        const stream = /^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1];
        if (url.pathname === "/instances") {
            this.serveListing(request, response);
        } else if (stream === undefined) {
            response.writeHead(404).end();
        } else if (request.method === "POST") {
            await this.serveAppend(stream, request, response);
        } else {
            await this.serveRead(stream, url, response);
        }
    }

    private serveListing(request: IncomingMessage, response: ServerResponse): void {
        const tag = `"${this.version}"`;
        if (request.headers["if-none-match"] === tag) {
            response.writeHead(304, { etag: tag }).end();
        } else {
            response.writeHead(200, { etag: tag }).end(JSON.stringify(this.listing));
        }
    }

    private async serveAppend(stream: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const parts: Buffer[] = [];
        for await (const part of request as AsyncIterable<Buffer>) {
            parts.push(part);
        }
        const result = this.log.appendSync(stream, Buffer.concat(parts));
        if (result.ok) {
            response.writeHead(201, { [OFFSET_HEADER]: result.val }).end();
        } else {
            sendError(response, result.val);
        }
    }

    private async serveRead(stream: string, url: URL, response: ServerResponse): Promise<void> {
        const from = Number(url.searchParams.get("from") ?? 0);
        const result = await this.log.read(stream, from, Number(url.searchParams.get("wait") ?? 0));
        if (result.ok) {
            const { records, head } = result.val;
            response.writeHead(200, { [HEAD_HEADER]: head }).end(joinFrames(records.map(each => each.payload)));
        } else {
            sendError(response, result.val);
        }
    }
}

function sendError(response: ServerResponse, error: LogError): void {
    switch (error.kind) {
        case "truncated":
            response.writeHead(410, { [FIRST_HEADER]: error.first }).end();
            return;
        case "refused":
            response.writeHead(503).end(error.message);
            return;
        case "unknown":
            response.destroy();
    }
}
