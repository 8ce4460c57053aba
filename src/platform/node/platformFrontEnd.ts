import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { JobAnswer, JobCall, JobRequest } from "../../jobs/common/jobCall";
import { decodeSubmission } from "../common/jobDecoder";

const CALLER_TIMEOUT_HEADER = "deadline-ms";

/** Time that an idle connection is kept open: longer than the time between two requests of a caller. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

const MS_PER_SECOND = 1_000;

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

    private constructor(private readonly host: FrontEndHost) {}

    /** @param host Handles the calls. @returns A server that is not listening yet. */
    static create(host: FrontEndHost): Server {
        const frontEnd = new PlatformFrontEnd(host);
        const server = createServer((request, response) => frontEnd.receive(request, response));
        server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
        return server;
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= this.host.maxBodyBytes()) {
                chunks.push(chunk);
            }
        });
        request.on("end", () => {
            if (bytes > this.host.maxBodyBytes()) {
                this.send(response, 413, { faults: ["the body is too large"] });
                return;
            }
            const decoded = decodeRequest(request.method, Buffer.concat(chunks).toString("utf8"));
            if (decoded === undefined) {
                this.send(response, 405, { faults: ["the method is not GET, POST or DELETE"] });
                return;
            }
            const call = this.toCall(request, decoded);
            this.host.handleCall(call, answer => this.sendAnswer(response, answer));
        });
        request.on("error", () => response.destroy());
    }

    private toCall(request: IncomingMessage, decoded: JobRequest): JobCall {
        const timeoutMs = Number(request.headers[CALLER_TIMEOUT_HEADER]);
        this.callCount += 1;
        return {
            number: this.callCount,
            host: (request.headers.host ?? "").split(":", 1)[0],
            path: (request.url ?? "").split("?", 1)[0],
            callerTimeoutMs: Number.isFinite(timeoutMs) && timeoutMs > 0 ? timeoutMs : undefined,
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

function decodeRequest(method: string | undefined, body: string): JobRequest | undefined {
    switch (method) {
        case "GET":
            return { kind: "read" };
        case "DELETE":
            return { kind: "cancel" };
        case "POST":
            return decodeSubmission(body);
        default:
            return undefined;
    }
}
