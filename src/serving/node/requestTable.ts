import { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Invariants } from "../../base/common/invariants";
import { RouteEffect } from "../../routing/common/routeEvents";
import { RequestStore, UpstreamRequest, UpstreamResponse } from "./upstreamPerformer";

/** Response header with the outcome of the request. */
export const OUTCOME_HEADER = "x-wigeonstall-outcome";

/** Headers that apply to one connection only and are not forwarded. */
const HOP_BY_HOP_HEADERS = ["connection", "keep-alive", "transfer-encoding", "upgrade", "host", "content-length", "te"];

const MS_PER_SECOND = 1_000;

interface OpenRequest {
    readonly outgoing: UpstreamRequest;
    readonly response: ServerResponse;
}

type RefuseEffect = Extract<RouteEffect, { readonly kind: "caller-refuse" }>;

/** Callers' requests that have no complete response yet. */
export class RequestTable extends RequestStore {
    private readonly openRequests = new Map<number, OpenRequest>();

    private constructor() {
        super();
    }

    /** @returns An empty table. */
    static create(): RequestTable {
        return new RequestTable();
    }

    /** Adds a request whose body has been read. @param path Path at the upstream. */
    add(id: number, incoming: IncomingMessage, path: string, body: Buffer, response: ServerResponse): void {
        const headers: Record<string, string> = {};
        for (const [name, value] of Object.entries(incoming.headers)) {
            if (!HOP_BY_HOP_HEADERS.includes(name) && value !== undefined) {
                headers[name] = String(value);
            }
        }
        this.openRequests.set(id, { outgoing: { method: incoming.method ?? "GET", path, headers, body }, response });
    }

    override find(request: number): UpstreamRequest | undefined {
        return this.openRequests.get(request)?.outgoing;
    }

    override async relay(request: number, incoming: UpstreamResponse): Promise<void> {
        const open = this.openRequests.get(request);
        if (open === undefined) {
            throw new Error("the caller has disconnected");
        }
        const headers: Record<string, string | string[]> = { [OUTCOME_HEADER]: "done" };
        for (const [name, value] of Object.entries(incoming.headers)) {
            if (value !== undefined && (name === "content-length" || !HOP_BY_HOP_HEADERS.includes(name))) {
                headers[name] = value;
            }
        }
        open.response.writeHead(incoming.status, headers);
        // The headers of a stream must reach the caller before its first event.
        open.response.flushHeaders();
        let receivedBytes = 0;
        incoming.body.on("data", (chunk: Buffer) => (receivedBytes += chunk.length));
        await pipeline(incoming.body, open.response);
        this.openRequests.delete(request);
        const expectedBytes = Number(incoming.headers["content-length"] ?? receivedBytes);
        const isComplete = open.outgoing.method === "HEAD" || receivedBytes === expectedBytes;
        Invariants.instance.check(
            "whole-answer",
            isComplete,
            () => `${receivedBytes} of ${expectedBytes} bytes were relayed`,
        );
    }

    /** Responds to a caller whose request gets no upstream response. */
    refuse({ request, outcome, reason, retryAfterMs }: RefuseEffect): void {
        const open = this.openRequests.get(request);
        this.openRequests.delete(request);
        if (open === undefined || open.response.headersSent) {
            return;
        }
        const status = httpStatusOf(outcome, reason);
        const retryAfter = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
        const headers = { "content-type": "application/json", [OUTCOME_HEADER]: outcome };
        open.response.writeHead(status, outcome === "not-run" ? { ...headers, "retry-after": retryAfter } : headers);
        open.response.end(`${JSON.stringify({ outcome, reason })}\n`);
    }

    /** Closes a caller's connection, so that a truncated response does not look complete. */
    disconnect(request: number): void {
        const open = this.openRequests.get(request);
        this.openRequests.delete(request);
        open?.response.destroy();
    }
}

function httpStatusOf(outcome: "not-run" | "unknown", reason: RefuseEffect["reason"]): number {
    if (outcome === "unknown") {
        return reason === "timeout" ? 504 : 502;
    }
    return reason === "overload" ? 429 : 503;
}
