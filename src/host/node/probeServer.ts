import { RequestListener } from "node:http";
import { BoundedBody } from "../../ingress/node/boundedBody";

/** Largest body of a probe, in bytes; it is not used. */
const MAX_PROBE_BODY_BYTES = 4_096;

/** Answer to a probe. */
export interface ProbeAnswer {
    readonly status: number;
    readonly body: string | Buffer;
}

/**
 * Creates a listener that gives one short answer to every request, whatever its method and path.
 * @param answer Returns the answer.
 * @returns The listener.
 */
export function createProbeListener(answer: () => ProbeAnswer | Promise<ProbeAnswer>): RequestListener {
    return (request, response) =>
        BoundedBody.read(request, MAX_PROBE_BODY_BYTES, result => {
            if (result.kind !== "read") {
                response.writeHead(413, { connection: "close", "content-length": 0 });
                response.end();
                return;
            }
            void Promise.resolve(answer()).then(({ status, body }) => {
                response.writeHead(status, { "content-type": "text/plain", "content-length": Buffer.byteLength(body) });
                response.end(body);
            });
        });
}
