import type { Pool } from "undici";
import { Disposable } from "../../base/common/disposable";
import { ConnectionOptions, createPool } from "./connectionPool";
import { CallObservation, HttpResponse, PendingCall } from "./pendingCall";

export type { HttpResponse } from "./pendingCall";

/** A request with a small response. */
export interface HttpCall extends CallObservation {
    readonly origin: string;
    readonly method: "GET" | "POST" | "DELETE" | "HEAD";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: Uint8Array | string;
}

/** Default maximum number of a client's connections to one origin. */
const MAX_CONNECTIONS_PER_ORIGIN = 4;

/** Makes HTTP calls with small responses, such as control messages, over pooled connections. */
export class HttpClient implements Disposable {
    private readonly pools = new Map<string, Pool>();

    private constructor(private readonly options: ConnectionOptions) {}

    /** @param options Options of the connections. @returns A client without connections. */
    static create(options: ConnectionOptions = {}): HttpClient {
        return new HttpClient({ connections: MAX_CONNECTIONS_PER_ORIGIN, ...options });
    }

    /**
     * @param call The request.
     * @returns The complete response.
     * @throws `NotSentError` if no connection was free in time, else the library's error if the response is incomplete.
     */
    call(call: HttpCall): Promise<HttpResponse> {
        const { method, path, headers, body } = call;
        return PendingCall.run(call, handler => {
            this.pool(call.origin).dispatch({ method, path, headers, body }, handler);
        });
    }

    /** Closes the connections to an origin. */
    closeConnections(origin: string): void {
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
