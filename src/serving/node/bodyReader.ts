import { IncomingMessage } from "node:http";
import { BodyResult, BoundedBody } from "../../ingress/node/boundedBody";

/**
 * Reads the body of a request.
 * @param request The request.
 * @param maxBytes Size in bytes above which the body is rejected.
 * @returns The complete body, or why it could not be read.
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
    return new Promise(resolve =>
        BoundedBody.read(request, maxBytes, result =>
            // The request is forwarded later, when the memory of its body is in use again.
            resolve(result.kind === "read" ? { ...result, body: Buffer.from(result.body) } : result),
        ),
    );
}
