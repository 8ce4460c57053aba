import { createServer, Server } from "node:http";

/** Answer to a probe. */
export interface ProbeAnswer {
    readonly status: number;
    readonly body: string;
}

/**
 * Creates a server that gives one short answer to every request, whatever its method and path.
 * @param answer Returns the answer.
 * @returns A server that is not listening yet.
 */
export function createProbeServer(answer: () => ProbeAnswer | Promise<ProbeAnswer>): Server {
    return createServer((request, response) => {
        request.resume();
        void Promise.resolve(answer()).then(({ status, body }) => {
            response.writeHead(status, { "content-type": "text/plain", "content-length": Buffer.byteLength(body) });
            response.end(body);
        });
    });
}
