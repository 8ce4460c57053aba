import type { Dispatcher } from "undici";
import { NotSentError } from "./notSentError";

/** How long a response is awaited, what aborts the request, and listeners to its progress. */
export interface CallObservation {
    /** Time within which the response must be complete, in ms. */
    readonly timeoutMs: number;
    /** If given, a response that has begun may take longer while data arrives at least this often, in ms. */
    readonly idleTimeoutMs?: number;
    /** Called when a connection was free and the request is sent. */
    readonly onSent?: () => void;
    /** Called when the response begins. */
    readonly onBegin?: () => void;
    /** Aborts the request, with its reason as the error. */
    readonly signal?: AbortSignal;
}

/** Status, headers and body of a complete response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Uint8Array;
}

/** Time after which even a response whose data keeps arriving is given up, in ms. */
const MAX_RESPONSE_MS = 20_000;

/**
 * Collects the response to one request. It replaces the library's `request`, whose streams and abort signals took a
 * third of the CPU time of an instance that calls many workers; a handler and a timer cost a fraction of that.
 */
export class PendingCall implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private readonly chunks: Buffer[] = [];
    private status = 0;
    private headers: HttpResponse["headers"] = {};
    private isSettled = false;
    private readonly startedAt = performance.now();
    private timer: NodeJS.Timeout;
    private immediate: NodeJS.Immediate | undefined;

    private constructor(
        private readonly call: CallObservation,
        private readonly resolve: (response: HttpResponse) => void,
        private readonly reject: (error: Error) => void,
    ) {
        this.timer = setTimeout(() => this.onTimerExpired(), call.timeoutMs);
        call.signal?.addEventListener("abort", () => this.abort(call.signal!.reason as Error), { once: true });
    }

    /**
     * @param observation How long the response is awaited.
     * @param dispatch Passes the request to the library.
     * @returns The complete response.
     * @throws `NotSentError` if the time passed before any of the request was written, else the library's error.
     */
    static run(observation: CallObservation, dispatch: (handler: PendingCall) => void): Promise<HttpResponse> {
        return new Promise((resolve, reject) => {
            const call = new PendingCall(observation, resolve, reject);
            try {
                dispatch(call);
            } catch (error) {
                call.fail(error as Error);
            }
        });
    }

    /** Called before the request is written. A request that has timed out is not sent. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isSettled) {
            controller.abort(NotSentError.create(this.call.timeoutMs));
        } else {
            this.call.onSent?.();
        }
    }

    /** Called with the status and headers of the response. */
    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        this.status = status;
        this.headers = headers;
        this.call.onBegin?.();
        this.restartTimer();
    }

    /** Called with each chunk of the body. */
    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.chunks.push(chunk);
        this.restartTimer();
    }

    /** Called when the response is complete. */
    onResponseEnd(): void {
        this.settle();
        const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
        this.resolve({ status: this.status, headers: this.headers, body });
    }

    /** Called when the request has failed. */
    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail(error);
    }

    private restartTimer(): void {
        const { idleTimeoutMs } = this.call;
        if (idleTimeoutMs !== undefined && performance.now() - this.startedAt < MAX_RESPONSE_MS) {
            this.clearTimers();
            this.timer = setTimeout(() => this.onTimerExpired(), idleTimeoutMs);
        }
    }

    /** The event loop runs expired timers before it reads: after a delay of the process, the response may have arrived. */
    private onTimerExpired(): void {
        this.immediate = setImmediate(() => this.onTimeout());
    }

    private onTimeout(): void {
        this.abort(new Error(`no complete response within ${this.call.timeoutMs} ms`));
    }

    private abort(reason: Error): void {
        if (this.isSettled) {
            return;
        }
        if (this.controller === undefined) {
            this.fail(NotSentError.create(this.call.timeoutMs));
        } else {
            this.controller.abort(reason);
        }
    }

    private fail(error: Error): void {
        this.settle();
        this.reject(error);
    }

    private settle(): void {
        this.isSettled = true;
        this.clearTimers();
    }

    private clearTimers(): void {
        clearTimeout(this.timer);
        clearImmediate(this.immediate);
    }
}
