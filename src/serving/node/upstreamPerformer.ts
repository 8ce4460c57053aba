import type { Dispatcher, Pool } from "undici";
import { Disposable } from "../../base/common/disposable";
import { RouteEffect, RouteEvent } from "../../routing/common/routeEvents";
import { createPool, isNotSent } from "../../services/node/connectionPool";

/** Time within which an upstream must respond to a probe, in ms. */
const PROBE_TIMEOUT_MS = 1_000;

/** A request as sent to upstreams. */
export interface UpstreamRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer;
}

/** An upstream's response whose headers have arrived. */
export interface UpstreamResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Dispatcher.ResponseData["body"];
}

interface Attempt {
    readonly number: number;
    readonly abortController: AbortController;
    response: UpstreamResponse | undefined;
}

/** Holds callers' requests, and relays responses to the callers. */
export abstract class RequestStore {
    /** @param request Number of a request. @returns What to send; `undefined` if the caller has disconnected. */
    abstract find(request: number): UpstreamRequest | undefined;
    /** Relays a response to the caller; resolves when it is complete. */
    abstract relay(request: number, response: UpstreamResponse): Promise<void>;
}

type SendEffect = Extract<RouteEffect, { readonly kind: "upstream-send" }>;

/** Sends requests to upstreams, and manages and probes the connections to them. */
export class UpstreamPerformer implements Disposable {
    private readonly pools = new Map<string, Pool>();
    private readonly addresses = new Map<string, string>();
    private readonly attempts = new Map<number, Attempt>();

    private constructor(
        private readonly store: RequestStore,
        private readonly post: (event: RouteEvent) => void,
    ) {}

    /** @param store Holds callers' requests. @param post Posts events to the loop. @returns The performer. */
    static create(store: RequestStore, post: (event: RouteEvent) => void): UpstreamPerformer {
        return new UpstreamPerformer(store, post);
    }

    /** Sends a request to an upstream. */
    async send(effect: SendEffect): Promise<void> {
        const { request, attempt: number, worker, address, deadline } = effect;
        const timeoutMs = deadline - performance.now();
        const outgoing = this.store.find(request);
        if (outgoing === undefined) {
            this.post({ kind: "caller-gone", request });
            return;
        }
        // The process may have been paused since the effect was emitted.
        if (timeoutMs <= 0) {
            this.post({ kind: "upstream-failed", request, attempt: number, certainty: "not-sent" });
            return;
        }
        const attempt: Attempt = { number, abortController: new AbortController(), response: undefined };
        this.attempts.set(request, attempt);
        try {
            const response = await this.pool(worker, address).request({
                method: outgoing.method,
                path: outgoing.path,
                headers: { ...outgoing.headers, "x-deadline-ms": String(Math.floor(timeoutMs)) },
                body: outgoing.body.length === 0 ? undefined : outgoing.body,
                signal: attempt.abortController.signal,
            });
            attempt.response = { status: response.statusCode, headers: response.headers, body: response.body };
            this.post({ kind: "upstream-response-started", request, attempt: number });
        } catch (error) {
            this.removeAttempt(request, attempt);
            const certainty = isNotSent(error) ? "not-sent" : "broken";
            this.post({ kind: "upstream-failed", request, attempt: number, certainty });
        }
    }

    /** Relays the response of an attempt to the caller. */
    async relay(request: number, number: number): Promise<void> {
        const attempt = this.attempts.get(request);
        if (attempt?.number !== number || attempt.response === undefined) {
            return;
        }
        const { response } = attempt;
        try {
            await this.store.relay(request, response);
            this.post({
                kind: "upstream-response-complete",
                request,
                attempt: number,
                isClosing: response.headers.connection === "close",
            });
        } catch {
            this.post({ kind: "upstream-failed", request, attempt: number, certainty: "broken" });
        } finally {
            this.removeAttempt(request, attempt);
        }
    }

    /** Aborts an attempt. */
    abort(request: number, number: number): void {
        const attempt = this.attempts.get(request);
        if (attempt?.number === number) {
            this.attempts.delete(request);
            attempt.abortController.abort();
            attempt.response?.body.on("error", () => undefined).destroy();
        }
    }

    /** Probes an upstream on a new connection; any HTTP response counts as alive. */
    async probe(worker: string, address: string): Promise<void> {
        let pool: Pool | undefined;
        try {
            pool = createPool(`http://${address}`, { connections: 1 });
            const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
            const { body } = await pool.request({ method: "HEAD", path: "/", signal });
            await body.dump();
            this.post({ kind: "probe-answered", worker });
        } catch {
            this.post({ kind: "probe-failed", worker });
        } finally {
            void pool?.destroy();
        }
    }

    /** Stops using the connections to an upstream. Requests in flight on them run until they end or are aborted. */
    retirePool(worker: string): void {
        const pool = this.pools.get(worker);
        this.pools.delete(worker);
        void pool?.close();
    }

    /** Closes all connections. */
    dispose(): void {
        this.pools.forEach(pool => void pool.destroy());
        this.pools.clear();
    }

    private pool(worker: string, address: string): Pool {
        const existing = this.pools.get(worker);
        if (existing !== undefined && this.addresses.get(worker) === address) {
            return existing;
        }
        void existing?.close();
        const pool = createPool(`http://${address}`);
        this.pools.set(worker, pool);
        this.addresses.set(worker, address);
        return pool;
    }

    private removeAttempt(request: number, attempt: Attempt): void {
        if (this.attempts.get(request) === attempt) {
            this.attempts.delete(request);
        }
    }
}
