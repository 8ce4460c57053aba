import { IncomingMessage } from "node:http";

/** A request body, or why it could not be read. */
export type BodyResult = { readonly kind: "read"; readonly body: Buffer } | { readonly kind: "too-large" | "broken" };

/**
 * Reads the body of a request.
 * @param request The request.
 * @param maxBytes Size in bytes above which the body is rejected.
 * @returns The complete body, or why it could not be read.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return { kind: "too-large" };
    }
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > maxBytes) {
                return { kind: "too-large" };
            }
            chunks.push(chunk);
        }
    } catch {
        return { kind: "broken" };
    }
    return request.complete ? { kind: "read", body: Buffer.concat(chunks) } : { kind: "broken" };
}
