import type { Pool } from "undici";
import { Disposable } from "../../base/common/disposable";
import { ConnectionOptions, createPool } from "./connectionPool";

/** A request whose answer is small. */
export interface HttpCall {
    readonly origin: string;
    readonly method: "GET" | "POST" | "DELETE" | "HEAD";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: Uint8Array | string;
    readonly timeoutMs: number;
}

/** A whole answer. */
export interface HttpAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Uint8Array;
}

/** Connections to one origin that are kept at most by a client for control messages. */
const CONTROL_CONNECTIONS = 4;

/** Makes small HTTP calls over pooled connections. */
export class HttpClient implements Disposable {
    private readonly pools = new Map<string, Pool>();

    private constructor(private readonly options: ConnectionOptions) {}

    /** @param options What the connections need. @returns A client without connections. */
    static create(options: ConnectionOptions = {}): HttpClient {
        return new HttpClient({ connections: CONTROL_CONNECTIONS, ...options });
    }

    /**
     * @param call The request.
     * @returns The whole answer.
     * @throws The library's error when there is no whole answer in time.
     */
    async call(call: HttpCall): Promise<HttpAnswer> {
        const { statusCode, headers, body } = await this.pool(call.origin).request({
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            signal: AbortSignal.timeout(call.timeoutMs),
        });
        return { status: statusCode, headers, body: new Uint8Array(await body.arrayBuffer()) };
    }

    /** Closes the connections to an origin. */
    forget(origin: string): void {
        void this.pools.get(origin)?.destroy();
        this.pools.delete(origin);
    }

    /** Closes all connections. */
    dispose(): void {
        this.pools.forEach(pool => void pool.destroy());
        this.pools.clear();
    }

    private pool(origin: string): Pool {
        const pool = this.pools.get(origin) ?? createPool(origin, this.options);
        this.pools.set(origin, pool);
        return pool;
    }
}
