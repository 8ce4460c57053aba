import { Transport, UniversalClientFn } from "./connectTypes";
import { createTransport } from "@connectrpc/connect/protocol-connect";
import { HttpClient } from "./httpClient";

/** Maximum size of a message between instances, in bytes. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Options of calls to another instance. */
export interface ConnectClientOptions {
    readonly client: HttpClient;
    /** Scheme, host and port of the other instance. */
    readonly origin: string;
    /** Key that the instances share; empty if none is set. */
    readonly key: string;
    readonly timeoutMs: number;
}

/**
 * Creates a transport of the Connect protocol over the pooled HTTP client. The library's transport for Node loads
 * HTTP/2, which small unary calls do not need.
 * @param options Options of the calls.
 * @returns The transport.
 */
export function createClientTransport(options: ConnectClientOptions): Transport {
    return createTransport({
        httpClient: createHttpClient(options),
        baseUrl: options.origin,
        useBinaryFormat: true,
        interceptors: [],
        acceptCompression: [],
        sendCompression: null,
        compressMinBytes: Number.MAX_SAFE_INTEGER,
        readMaxBytes: MAX_MESSAGE_BYTES,
        writeMaxBytes: MAX_MESSAGE_BYTES,
    });
}

function createHttpClient({ client, key, timeoutMs }: ConnectClientOptions): UniversalClientFn {
    return async request => {
        const url = new URL(request.url);
        const headers = Object.fromEntries(request.header.entries());
        const response = await client.call({
            origin: url.origin,
            method: "POST",
            path: url.pathname,
            headers: key === "" ? headers : { ...headers, authorization: `Bearer ${key}` },
            body: await collect(request.body),
            timeoutMs,
        });
        const header = new Headers();
        for (const [name, value] of Object.entries(response.headers)) {
            header.set(name, String(value));
        }
        return { status: response.status, header, body: singleChunk(response.body), trailer: new Headers() };
    };
}

async function collect(body: AsyncIterable<Uint8Array> | undefined): Promise<Uint8Array> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of body ?? []) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

async function* singleChunk(body: Uint8Array): AsyncIterable<Uint8Array> {
    yield body;
}
