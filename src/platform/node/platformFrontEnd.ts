import { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { findShapeFault } from "../../ingress/common/bodyShape";
import { BodyResult, BoundedBody } from "../../ingress/node/boundedBody";
import { GuardedConnection } from "../../ingress/node/guardedConnection";
import { Ingress } from "../../ingress/node/ingress";
import { JobAnswer, JobCall, JobRequest } from "../../jobs/common/jobCall";
import { decodeSubmission } from "../common/jobDecoder";

const CALLER_TIMEOUT_HEADER = "deadline-ms";

/** Retry delay for a request that found no room: others that make no progress have been closed by then. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Longest time for which a call waits for its answer, in ms, whatever its caller states: each holds memory meanwhile. */
const MAX_CALLER_TIMEOUT_MS = 30_000;

/** Owner of the front end. */
export interface FrontEndHost {
    /** Handles a call. @param reply Receives its answer. */
    handleCall(call: JobCall, reply: (answer: JobAnswer) => void): void;

    /** @returns Limit of a request body, in bytes. */
    maxBodyBytes(): number;

    /** @returns Whether connections are closed after the next answer, so that callers connect elsewhere. */
    isStopping(): boolean;
}

/** HTTP front end for callers. */
export class PlatformFrontEnd {
    private callCount = 0;

    private constructor(
        private readonly ingress: Ingress,
        private readonly host: FrontEndHost,
    ) {}

    /** @param ingress Limits what callers may take. @param host Handles the calls. @returns Serves the requests. */
    static create(ingress: Ingress, host: FrontEndHost): RequestListener {
        const frontEnd = new PlatformFrontEnd(ingress, host);
        return (request, response) =>
            BoundedBody.read(request, host.maxBodyBytes(), result => frontEnd.receive(request, response, result));
    }

    private receive(request: IncomingMessage, response: ServerResponse, result: BodyResult): void {
        switch (result.kind) {
            case "read":
                this.handle(request, response, result.body);
                break;
            case "too-large":
                response.setHeader("connection", "close");
                this.send(response, 413, { faults: ["the body is too large"] });
                break;
            case "no-room":
                response.setHeader("connection", "close");
                this.sendAnswer(response, {
                    kind: "unavailable",
                    reason: "bodies-full",
                    retryAfterMs: NO_ROOM_RETRY_AFTER_MS,
                });
                break;
            case "broken":
                response.destroy();
                break;
        }
    }

    private handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        const decoded = this.decode(request, body);
        if (decoded === undefined) {
            this.send(response, 405, { faults: ["the method is not GET, POST or DELETE"] });
            return;
        }
        const call = this.toCall(request, decoded);
        this.host.handleCall(call, answer => this.sendAnswer(response, answer));
    }

    private decode(request: IncomingMessage, body: Buffer): JobRequest | undefined {
        switch (request.method) {
            case "GET":
                return { kind: "read" };
            case "DELETE":
                return { kind: "cancel" };
            case "POST":
                return this.decodeBody(request, body);
            default:
                return undefined;
        }
    }

    private decodeBody(request: IncomingMessage, body: Buffer): JobRequest {
        const fault = findShapeFault(body, this.ingress.guard.limits);
        if (fault === undefined) {
            return decodeSubmission(body.toString("utf8"));
        }
        GuardedConnection.of(request)?.recordRefusal("body-too-complex");
        return { kind: "invalid", faults: [fault] };
    }

    private toCall(request: IncomingMessage, decoded: JobRequest): JobCall {
        const timeoutMs = Number(request.headers[CALLER_TIMEOUT_HEADER]);
        this.callCount += 1;
        return {
            number: this.callCount,
            host: (request.headers.host ?? "").split(":", 1)[0],
            path: (request.url ?? "").split("?", 1)[0],
            callerTimeoutMs:
                Number.isFinite(timeoutMs) && timeoutMs > 0 ? Math.min(MAX_CALLER_TIMEOUT_MS, timeoutMs) : undefined,
            request: decoded,
        };
    }

    private sendAnswer(response: ServerResponse, answer: JobAnswer): void {
        switch (answer.kind) {
            case "accepted":
            case "cancelled":
                this.send(response, 200, {});
                break;
            case "state":
                this.send(response, 200, { state: answer.state });
                break;
            case "pending":
                this.send(response, 200, { pending: answer.count });
                break;
            case "no-job":
                this.send(response, 410, {});
                break;
            case "no-queue":
                this.send(response, 404, {});
                break;
            case "invalid":
                this.send(response, 400, { faults: answer.faults });
                break;
            case "unavailable":
                response.setHeader("retry-after", Math.max(1, Math.ceil(answer.retryAfterMs / MS_PER_SECOND)));
                this.send(response, 503, {});
                break;
            case "undecided":
                this.send(response, 504, {});
                break;
        }
    }

    private send(response: ServerResponse, status: number, body: object): void {
        if (this.host.isStopping()) {
            response.setHeader("connection", "close");
        }
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    }
}
