import { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Invariants } from "../../base/common/invariant";
import { RouteEffect } from "../../routing/common/routeTraffic";
import { RequestStore, UpstreamAnswer, UpstreamRequest } from "./upstreamPerformer";

/** Header that tells a caller what became of the request. */
export const OUTCOME_HEADER = "x-wigeonstall-outcome";

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = ["connection", "keep-alive", "transfer-encoding", "upgrade", "host", "content-length", "te"];

const MS_PER_SECOND = 1_000;

interface OpenRequest {
    readonly outgoing: UpstreamRequest;
    readonly response: ServerResponse;
}

type RefuseEffect = Extract<RouteEffect, { readonly kind: "caller-refuse" }>;

/** Callers' requests that have no answer yet. */
export class RequestTable extends RequestStore {
    private readonly open = new Map<number, OpenRequest>();

    private constructor() {
        super();
    }

    /** @returns An empty table. */
    static create(): RequestTable {
        return new RequestTable();
    }

    /** Adds a request whose body has arrived. @param path Path at the upstream. */
    add(id: number, incoming: IncomingMessage, path: string, body: Buffer, response: ServerResponse): void {
        const headers: Record<string, string> = {};
        for (const [name, value] of Object.entries(incoming.headers)) {
            if (!HOP_HEADERS.includes(name) && value !== undefined) {
                headers[name] = String(value);
            }
        }
        this.open.set(id, { outgoing: { method: incoming.method ?? "GET", path, headers, body }, response });
    }

    override find(request: number): UpstreamRequest | undefined {
        return this.open.get(request)?.outgoing;
    }

    override async relay(request: number, answer: UpstreamAnswer): Promise<void> {
        const open = this.open.get(request);
        if (open === undefined) {
            throw new Error("the caller has gone");
        }
        const headers: Record<string, string | string[]> = { [OUTCOME_HEADER]: "done" };
        for (const [name, value] of Object.entries(answer.headers)) {
            if (value !== undefined && (name === "content-length" || !HOP_HEADERS.includes(name))) {
                headers[name] = value;
            }
        }
        open.response.writeHead(answer.status, headers);
        // The head of a stream must reach the caller before its first event does.
        open.response.flushHeaders();
        let size = 0;
        answer.body.on("data", (part: Buffer) => (size += part.length));
        await pipeline(answer.body, open.response);
        this.open.delete(request);
        const announced = Number(answer.headers["content-length"] ?? size);
        const isWhole = open.outgoing.method === "HEAD" || size === announced;
        Invariants.instance.check("whole-answer", isWhole, () => `${size} of ${announced} bytes were passed on`);
    }

    /** Answers a caller without an upstream's answer. */
    refuse({ request, outcome, reason, retryAfterMs }: RefuseEffect): void {
        const open = this.open.get(request);
        this.open.delete(request);
        if (open === undefined || open.response.headersSent) {
            return;
        }
        const status = statusOf(outcome, reason);
        const retryAfter = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
        const headers = { "content-type": "application/json", [OUTCOME_HEADER]: outcome };
        open.response.writeHead(status, outcome === "not-run" ? { ...headers, "retry-after": retryAfter } : headers);
        open.response.end(`${JSON.stringify({ outcome, reason })}\n`);
    }

    /** Cuts a caller's connection, so that a truncated answer cannot look complete. */
    cut(request: number): void {
        const open = this.open.get(request);
        this.open.delete(request);
        open?.response.destroy();
    }
}

function statusOf(outcome: "not-run" | "unknown", reason: RefuseEffect["reason"]): number {
    if (outcome === "unknown") {
        return reason === "timeout" ? 504 : 502;
    }
    return reason === "overload" ? 429 : 503;
}
