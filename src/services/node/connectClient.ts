import { Transport, UniversalClientFn } from "./connectTypes";
import { createTransport } from "@connectrpc/connect/protocol-connect";
import { HttpClient } from "./httpClient";

/** Largest message between instances, in bytes. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** What calls to another instance need. */
export interface ConnectClientOptions {
    readonly client: HttpClient;
    /** Scheme, host and port of the other instance. */
    readonly origin: string;
    /** Key that the instances share; empty without one. */
    readonly key: string;
    readonly timeoutMs: number;
}

/**
 * Makes a transport of the Connect protocol over the pooled HTTP client. The ready-made one for Node loads
 * HTTP/2, which small unary calls do not need.
 * @param options What calls need.
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
        const answer = await client.call({
            origin: url.origin,
            method: "POST",
            path: url.pathname,
            headers: key === "" ? headers : { ...headers, authorization: `Bearer ${key}` },
            body: await collect(request.body),
            timeoutMs,
        });
        const header = new Headers();
        for (const [name, value] of Object.entries(answer.headers)) {
            header.set(name, String(value));
        }
        return { status: answer.status, header, body: once(answer.body), trailer: new Headers() };
    };
}

async function collect(body: AsyncIterable<Uint8Array> | undefined): Promise<Uint8Array> {
    const parts: Uint8Array[] = [];
    for await (const part of body ?? []) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}

async function* once(body: Uint8Array): AsyncIterable<Uint8Array> {
    yield body;
}
