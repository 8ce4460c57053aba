import { createHash, timingSafeEqual } from "node:crypto";
import { IncomingMessage, ServerResponse } from "node:http";
import { Server } from "node:net";
import { formatFinding, Finding } from "../../base/common/finding";
import { parseYaml } from "../../base/common/schemaFindings";
import { BodyResult } from "../../ingress/node/boundedBody";
import { FrontFactory, Ingress } from "../../ingress/node/ingress";
import { RouteEvent } from "../../routing/common/routeEvents";
import { UniversalHandler } from "../../services/node/connectTypes";
import { serveConnect } from "../../services/node/connectServer";
import { ApiReply } from "../common/apiMessages";
import { Instance } from "../common/instance";
import { Settings } from "../common/settings";
import { MAX_KEY_LENGTH, taskSchema, toTaskRequest } from "../common/taskSchema";
import { ticketSchema, toTicketDraft } from "../common/ticketSchema";
import { readBody } from "./bodyReader";
import { PendingReplies, UnnumberedRequest } from "./pendingReplies";
import { OUTCOME_HEADER, RequestTable } from "./requestTable";

/** Limits on clients' handshakes and requests. */
const HANDSHAKE_TIMEOUT_MS = 10_000;
const MAX_DEADLINE_MS = 120_000;
const MAX_OPERATOR_BODY_BYTES = 262_144;

const MS_PER_SECOND = 1_000;

/** For a stream of events, the deadline covers only the response headers, since the stream may stay open. */
const STREAM_TYPE = "text/event-stream";

const IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];

/** Dependencies of the front end. */
export interface FrontEndOptions {
    readonly settings: Settings;
    readonly instance: Instance;
    readonly ingress: Ingress;
    readonly requests: RequestTable;
    readonly pendingReplies: PendingReplies;
    readonly peerHandlers: readonly UniversalHandler[];
    readonly post: (event: RouteEvent) => void;
}

type RequestContext = { readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL };

/** HTTP server for callers, operators and other instances. Posts events to the loop and makes no decisions itself. */
export class FrontEnd {
    private requestCount = 0;

    private constructor(private readonly options: FrontEndOptions) {}

    /** @param options Its dependencies. @returns The front end. */
    static create(options: FrontEndOptions): FrontEnd {
        return new FrontEnd(options);
    }

    /** @returns A server that is not listening yet. */
    async createServer(): Promise<Server> {
        const { ingress } = this.options;
        const { connections, requestsPerConnection } = ingress.guard.limits;
        const port = { name: "calls", maxConnections: connections, maxRequests: requestsPerConnection };
        const serve = (request: IncomingMessage, response: ServerResponse) => void this.serve(request, response);
        return ingress.createServer(port, serve, await this.createFront());
    }

    private async createFront(): Promise<FrontFactory | undefined> {
        const { tls } = this.options.settings;
        if (tls === undefined) {
            return undefined;
        }
        // Loaded only if TLS is configured, to save memory.
        const { readFile } = await import("node:fs/promises");
        const { createServer } = await import("node:tls");
        const [cert, key] = await Promise.all([readFile(tls.certificate), readFile(tls.key)]);
        const options = { cert, key, handshakeTimeout: HANDSHAKE_TIMEOUT_MS, noDelay: true };
        return onConnection => createServer(options, onConnection).on("tlsClientError", () => undefined);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        try {
            const url = new URL(request.url ?? "/", "http://localhost");
            await this.route({ request, response, url });
        } catch (error) {
            if (response.headersSent) {
                response.destroy();
            } else {
                sendJson(response, 400, { error: error instanceof Error ? error.message : String(error) });
            }
        }
    }

    private async route(context: RequestContext): Promise<void> {
        const { request, response, url } = context;
        const [resource, item] = url.pathname.split("/").filter(part => part !== "");
        switch (resource) {
            case "services":
                return this.proxy(context, item ?? "");
            case "tasks":
                return this.serveTasks(context, item === undefined ? undefined : decodeURIComponent(item));
            case "healthz":
                return sendJson(response, 200, { state: this.options.instance.state });
            case "readyz":
                return this.serveReadiness(response);
        }
        const handler = this.options.peerHandlers.find(each => each.requestPath === url.pathname);
        const role = handler === undefined ? "operators" : "peers";
        if (!this.isAuthorized(request, role)) {
            return sendJson(response, 401, {
                error: `a key of the ${role} is needed: authorization: Bearer KEY`,
            });
        }
        return handler === undefined
            ? this.serveOperator(context, resource, item)
            : serveConnect(handler, request, response);
    }

    private serveReadiness(response: ServerResponse): void {
        const { state, shared } = this.options.instance;
        const canServe = shared.canServe(performance.now());
        sendJson(response, state === "serving" && canServe ? 200 : 503, { state, canServe });
    }

    /** Compares digests of equal length in constant time, so that the timing does not reveal the key. */
    private isAuthorized(request: IncomingMessage, role: "operators" | "peers"): boolean {
        const key = this.options.settings.keys[role];
        const value = (request.headers.authorization ?? "").replace(/^Bearer /, "");
        const digest = (text: string) => createHash("sha256").update(text).digest();
        return key === "" || timingSafeEqual(digest(key), digest(value));
    }

    private async proxy(context: RequestContext, service: string): Promise<void> {
        const { request, response, url } = context;
        const { config, directory } = this.options.instance.shared;
        if (this.options.instance.state !== "serving") {
            return sendNotRun(response, 503, "the instance is not serving");
        }
        if (!directory.services().has(service) && !config.services().includes(service)) {
            return sendJson(response, 404, { outcome: "not-run", error: `no service ${service}` }, "not-run");
        }
        const state = config.service(service);
        const deadlineMs = readDeadline(request, state.deadlineMs);
        if (deadlineMs === undefined) {
            const error = `x-deadline-ms must be a number from 1 to ${MAX_DEADLINE_MS}`;
            return sendJson(response, 400, { outcome: "not-run", error }, "not-run");
        }
        const body = await readBody(request, config.limits().bodyBytes);
        if (body.kind !== "read") {
            return sendUnread(response, body.kind);
        }
        this.requestCount += 1;
        const id = this.requestCount;
        const path = url.pathname.slice(`/services/${service}`.length) + url.search;
        this.options.requests.add(id, request, path === "" ? "/" : path, body.body, response);
        response.once("close", () => {
            // The connection also closes after a complete response.
            if (!response.writableFinished) {
                this.options.post({ kind: "caller-gone", request: id });
            }
        });
        this.options.post({
            kind: "request-received",
            description: {
                id,
                service,
                requestClass: classOf(request, state.requestClass),
                deadline: performance.now() + deadlineMs,
                bytes: body.body.length,
                isStreaming: (request.headers.accept ?? "").includes(STREAM_TYPE),
            },
        });
    }

    private async serveTasks(context: RequestContext, key: string | undefined): Promise<void> {
        const { request, response } = context;
        switch (request.method) {
            case "POST":
                return this.submitTask(context);
            case "DELETE":
                return key === undefined
                    ? sendJson(response, 400, { error: "DELETE /tasks/KEY needs a key" })
                    : this.forward(response, { kind: "task-cancel", key });
            case "GET":
                return this.forward(response, key === undefined ? { kind: "task-list" } : { kind: "task-show", key });
        }
        sendJson(response, 405, { error: "use POST, GET or DELETE" });
    }

    private async submitTask({ request, response }: RequestContext): Promise<void> {
        const key = String(request.headers["idempotency-key"] ?? "");
        if (key === "" || key.length > MAX_KEY_LENGTH) {
            const error = `an Idempotency-Key header of 1 to ${MAX_KEY_LENGTH} characters is needed`;
            return sendJson(response, 400, { outcome: "not-run", error }, "not-run");
        }
        const body = await readBody(request, this.options.instance.shared.config.limits().bodyBytes);
        if (body.kind !== "read") {
            return sendUnread(response, body.kind);
        }
        // JSON is a subset of YAML, so findings have positions in either format.
        const parsed = parseYaml(body.body.toString(), "body", taskSchema);
        if (!("value" in parsed)) {
            return sendFindings(response, parsed.findings);
        }
        const defaults = this.options.instance.shared.config.taskClass(parsed.value.class);
        return this.forward(response, { kind: "task-submit", request: toTaskRequest(key, parsed.value, defaults) });
    }

    private async serveOperator(
        context: RequestContext,
        resource: string | undefined,
        item: string | undefined,
    ): Promise<void> {
        const { request, response, url } = context;
        if (request.method === "POST" && resource === "tickets") {
            return this.fileTicket(context);
        }
        if (request.method !== "GET") {
            return sendJson(response, 405, { error: "use GET" });
        }
        switch (resource) {
            case "tickets":
                return this.listTickets(response, item);
            case "in-force":
                return this.forward(response, { kind: "in-force-show" });
            case "status":
                return this.forward(response, { kind: "status-show" });
            case "audit":
                return this.forward(response, { kind: "audit-show", name: url.searchParams.get("name") ?? "" });
        }
        sendJson(response, 404, { error: `nothing is at ${url.pathname}` });
    }

    private async fileTicket({ request, response }: RequestContext): Promise<void> {
        const body = await readBody(request, MAX_OPERATOR_BODY_BYTES);
        if (body.kind !== "read") {
            return sendUnread(response, body.kind);
        }
        const parsed = parseYaml(body.body.toString(), "body", ticketSchema);
        if (!("value" in parsed)) {
            return sendFindings(response, parsed.findings);
        }
        const draft = toTicketDraft(parsed.value);
        if (draft.objects.length === 0) {
            return sendJson(response, 400, { error: "the ticket touches nothing" });
        }
        return this.forward(response, { kind: "ticket-file", draft });
    }

    private async listTickets(response: ServerResponse, number: string | undefined): Promise<void> {
        const reply = await this.options.pendingReplies.submit({ kind: "ticket-list" });
        if (number === undefined || reply.kind !== "ticket-listing") {
            return sendReply(response, reply);
        }
        const verdicts = reply.verdicts.filter(each => String(each.number) === number);
        return verdicts.length === 0
            ? sendJson(response, 404, { error: `no ticket ${number} is known` })
            : sendReply(response, { ...reply, verdicts });
    }

    private async forward(response: ServerResponse, request: UnnumberedRequest): Promise<void> {
        if (this.options.instance.state === "starting") {
            return sendNotRun(response, 503, "the instance is starting");
        }
        sendReply(response, await this.options.pendingReplies.submit(request));
    }
}

function readDeadline(request: IncomingMessage, fallbackMs: number): number | undefined {
    const value = request.headers["x-deadline-ms"];
    const deadlineMs = value === undefined ? fallbackMs : Number(value);
    return deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS ? deadlineMs : undefined;
}

/** The caller may declare in a header whether the request may run twice; without it, safe methods are idempotent. */
function classOf(request: IncomingMessage, fallback: "idempotent" | "non-idempotent"): "idempotent" | "non-idempotent" {
    const value = request.headers["x-request-class"];
    if (value === "idempotent" || value === "non-idempotent") {
        return value;
    }
    return IDEMPOTENT_METHODS.includes(request.method ?? "") ? "idempotent" : fallback;
}

function sendReply(response: ServerResponse, reply: ApiReply): void {
    switch (reply.kind) {
        case "task-accepted":
            return sendJson(response, 202, reply);
        case "task-status":
            return sendJson(response, 200, { ...reply.task, outcome: reply.outcome }, reply.outcome);
        case "ticket-verdict":
            return sendJson(response, reply.verdict.state === "lost" ? 409 : 200, reply.verdict);
        case "not-found":
            return sendJson(response, 404, { error: reply.message });
        case "not-run":
            return sendNotRun(response, 503, reply.message, reply.retryAfterMs);
        case "unknown":
            return sendJson(response, 504, { outcome: "unknown", error: reply.message }, "unknown");
        default:
            return sendJson(response, 200, reply);
    }
}

function sendFindings(response: ServerResponse, findings: readonly Finding[]): void {
    sendJson(response, 400, { outcome: "not-run", findings: findings.map(formatFinding) }, "not-run");
}

/** Answers a request without its body. The rest of the body is not read. */
function sendUnread(response: ServerResponse, kind: Exclude<BodyResult["kind"], "read">): void {
    response.setHeader("connection", "close");
    if (kind === "no-room") {
        return sendNotRun(response, 503, "too many bodies are being received");
    }
    const error = kind === "broken" ? "the body is not whole" : "the body is too large";
    sendJson(response, 413, { outcome: "not-run", error }, "not-run");
}

function sendNotRun(response: ServerResponse, status: number, message: string, retryAfterMs = MS_PER_SECOND): void {
    response.setHeader("retry-after", String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
    sendJson(response, status, { outcome: "not-run", error: message }, "not-run");
}

function sendJson(response: ServerResponse, status: number, body: unknown, outcome?: string): void {
    if (outcome !== undefined) {
        response.setHeader(OUTCOME_HEADER, outcome);
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(`${JSON.stringify(body)}\n`);
}
