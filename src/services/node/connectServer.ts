import { IncomingMessage, ServerResponse } from "node:http";
import { UniversalHandler } from "./connectTypes";

/**
 * Serves one HTTP request by a handler of the Connect protocol.
 * @param handler The handler.
 * @param request The request.
 * @param response Takes the answer.
 */
export async function serveConnect(
    handler: UniversalHandler,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const aborted = new AbortController();
    response.once("close", () => aborted.abort());
    const header = new Headers();
    for (const [name, value] of Object.entries(request.headers)) {
        header.set(name, String(value));
    }
    const answer = await handler({
        httpVersion: request.httpVersion,
        url: new URL(request.url ?? "/", "http://localhost").toString(),
        method: request.method ?? "POST",
        header,
        body: request,
        signal: aborted.signal,
    });
    response.writeHead(answer.status, Object.fromEntries(answer.header?.entries() ?? []));
    for await (const part of answer.body ?? []) {
        response.write(part);
    }
    response.end();
}
