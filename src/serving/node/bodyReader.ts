import { IncomingMessage } from "node:http";

/** A body that was read, or why it was not. */
export type ReadBody = { readonly kind: "read"; readonly body: Buffer } | { readonly kind: "too-large" | "broken" };

/**
 * Reads a body.
 * @param request The request.
 * @param maxBytes Size in bytes above which the body is refused.
 * @returns The whole body, or why there is none.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<ReadBody> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return { kind: "too-large" };
    }
    const parts: Buffer[] = [];
    let size = 0;
    try {
        for await (const part of request as AsyncIterable<Buffer>) {
            size += part.length;
            if (size > maxBytes) {
                return { kind: "too-large" };
            }
            parts.push(part);
        }
    } catch {
        return { kind: "broken" };
    }
    return request.complete ? { kind: "read", body: Buffer.concat(parts) } : { kind: "broken" };
}
