import { IncomingMessage, ServerResponse } from "node:http";
import { UniversalHandler } from "./connectTypes";

/**
 * Serves one HTTP request with a handler of the Connect protocol.
 * @param handler The handler.
 * @param request The request.
 * @param response Receives the handler's response.
 */
export async function serveConnect(
    handler: UniversalHandler,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const abortController = new AbortController();
    response.once("close", () => abortController.abort());
    const header = new Headers();
    for (const [name, value] of Object.entries(request.headers)) {
        header.set(name, String(value));
    }
    const result = await handler({
        httpVersion: request.httpVersion,
        url: new URL(request.url ?? "/", "http://localhost").toString(),
        method: request.method ?? "POST",
        header,
        body: request,
        signal: abortController.signal,
    });
    response.writeHead(result.status, Object.fromEntries(result.header?.entries() ?? []));
    for await (const chunk of result.body ?? []) {
        response.write(chunk);
    }
    response.end();
}
