import { createServer, Server } from "node:http";

/** What a probe is answered. */
export interface ProbeAnswer {
    readonly status: number;
    readonly body: string;
}

/**
 * Serves one small answer to every request.
 * @param answer Gives the answer.
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
