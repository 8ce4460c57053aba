import type { Dispatcher, Pool } from "undici";
import { Disposable } from "../../base/common/disposable";
import { RouteEffect, RouteEvent } from "../../routing/common/routeTraffic";
import { createPool, isNotSent } from "../../services/node/connectionPool";

/** Time within which a probe must show a sign of life, in ms. */
const PROBE_TIMEOUT_MS = 1_000;

/** A request as it goes to upstreams. */
export interface UpstreamRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer;
}

/** An upstream's answer, whose head has arrived. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Dispatcher.ResponseData["body"];
}

interface Attempt {
    readonly number: number;
    readonly abort: AbortController;
    answer: UpstreamAnswer | undefined;
}

/** Answers what a request is, and takes its answer. */
export abstract class RequestStore {
    /** @param request Number of a request. @returns What to send; `undefined` when the caller has gone. */
    abstract find(request: number): UpstreamRequest | undefined;
    /** Passes an answer on to the caller; resolves once it was passed on whole. */
    abstract relay(request: number, answer: UpstreamAnswer): Promise<void>;
}

type SendEffect = Extract<RouteEffect, { readonly kind: "upstream-send" }>;

/** Sends requests to upstreams, and watches over the connections to them. */
export class UpstreamPerformer implements Disposable {
    private readonly pools = new Map<string, Pool>();
    private readonly addresses = new Map<string, string>();
    private readonly attempts = new Map<number, Attempt>();

    private constructor(
        private readonly store: RequestStore,
        private readonly post: (event: RouteEvent) => void,
    ) {}

    /** @param store Answers what a request is. @param post Takes what happens. @returns The performer. */
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
        // The process may have been paused since the decision.
        if (timeoutMs <= 0) {
            this.post({ kind: "upstream-failed", request, attempt: number, certainty: "not-sent" });
            return;
        }
        const attempt: Attempt = { number, abort: new AbortController(), answer: undefined };
        this.attempts.set(request, attempt);
        try {
            const answer = await this.pool(worker, address).request({
                method: outgoing.method,
                path: outgoing.path,
                headers: { ...outgoing.headers, "x-deadline-ms": String(Math.floor(timeoutMs)) },
                body: outgoing.body.length === 0 ? undefined : outgoing.body,
                signal: attempt.abort.signal,
            });
            attempt.answer = { status: answer.statusCode, headers: answer.headers, body: answer.body };
            this.post({ kind: "upstream-head", request, attempt: number });
        } catch (error) {
            this.forget(request, attempt);
            const certainty = isNotSent(error) ? "not-sent" : "broken";
            this.post({ kind: "upstream-failed", request, attempt: number, certainty });
        }
    }

    /** Passes the answer of an attempt on to the caller. */
    async relay(request: number, number: number): Promise<void> {
        const attempt = this.attempts.get(request);
        if (attempt?.number !== number || attempt.answer === undefined) {
            return;
        }
        const { answer } = attempt;
        try {
            await this.store.relay(request, answer);
            this.post({
                kind: "upstream-whole",
                request,
                attempt: number,
                closing: answer.headers.connection === "close",
            });
        } catch {
            this.post({ kind: "upstream-failed", request, attempt: number, certainty: "broken" });
        } finally {
            this.forget(request, attempt);
        }
    }

    /** Ends an attempt. */
    abort(request: number, number: number): void {
        const attempt = this.attempts.get(request);
        if (attempt?.number === number) {
            this.attempts.delete(request);
            attempt.abort.abort();
            attempt.answer?.body.on("error", () => undefined).destroy();
        }
    }

    /** Asks for a sign of life on a new connection; any HTTP answer is one. */
    async probe(worker: string, address: string): Promise<void> {
        const pool = createPool(`http://${address}`, { connections: 1 });
        try {
            const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
            const { body } = await pool.request({ method: "HEAD", path: "/", signal });
            await body.dump();
            this.post({ kind: "probe-answered", worker });
        } catch {
            this.post({ kind: "probe-failed", worker });
        } finally {
            void pool.destroy();
        }
    }

    /** Stops using the connections to an upstream. Requests on them go on until they end or are aborted. */
    replace(worker: string): void {
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
        const known = this.pools.get(worker);
        if (known !== undefined && this.addresses.get(worker) === address) {
            return known;
        }
        void known?.close();
        const pool = createPool(`http://${address}`);
        this.pools.set(worker, pool);
        this.addresses.set(worker, address);
        return pool;
    }

    private forget(request: number, attempt: Attempt): void {
        if (this.attempts.get(request) === attempt) {
            this.attempts.delete(request);
        }
    }
}
