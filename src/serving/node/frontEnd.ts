import { createHash, timingSafeEqual } from "node:crypto";
import { createServer as createHttpServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { formatFinding, Finding } from "../../base/common/finding";
import { parseYaml } from "../../base/common/schemaFindings";
import { RouteEvent } from "../../routing/common/routeTraffic";
import { UniversalHandler } from "../../services/node/connectTypes";
import { serveConnect } from "../../services/node/connectServer";
import { DeskReply } from "../common/deskTraffic";
import { Instance } from "../common/instance";
import { Settings } from "../common/settings";
import { MAX_KEY_LENGTH, taskSchema, toTaskRequest } from "../common/taskSchema";
import { ticketSchema, toTicketDraft } from "../common/ticketSchema";
import { readBody } from "./bodyReader";
import { PendingReplies, UnnumberedRequest } from "./pendingReplies";
import { OUTCOME_HEADER, RequestTable } from "./requestTable";

/** Bounds on what a caller may send and for how long. */
const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_DEADLINE_MS = 120_000;
const MAX_OPEN_CONNECTIONS = 4_096;
const MAX_OPERATOR_BODY_BYTES = 262_144;

const MS_PER_SECOND = 1_000;

/** Watches and streams may last; their deadline is only for the head of the answer. */
const STREAM_TYPE = "text/event-stream";

const IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];

/** What the front end needs. */
export interface FrontEndOptions {
    readonly settings: Settings;
    readonly instance: Instance;
    readonly requests: RequestTable;
    readonly desk: PendingReplies;
    readonly peerHandlers: readonly UniversalHandler[];
    readonly post: (event: RouteEvent) => void;
}

type Context = { readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL };

/** Speaks HTTP with callers, operators and other instances. All decisions are taken elsewhere. */
export class FrontEnd {
    private requestCount = 0;

    private constructor(private readonly options: FrontEndOptions) {}

    /** @param options What the front end needs. @returns The front end. */
    static create(options: FrontEndOptions): FrontEnd {
        return new FrontEnd(options);
    }

    /** @returns A server that is not listening yet. */
    async createServer(): Promise<Server> {
        const limits = { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS };
        const serve = (request: IncomingMessage, response: ServerResponse) => void this.serve(request, response);
        const server = await this.createBareServer(limits, serve);
        server.maxConnections = MAX_OPEN_CONNECTIONS;
        return server;
    }

    private async createBareServer(
        limits: { readonly maxHeaderSize: number; readonly headersTimeout: number },
        serve: (request: IncomingMessage, response: ServerResponse) => void,
    ): Promise<Server> {
        const { tls } = this.options.settings;
        if (tls === undefined) {
            return createHttpServer(limits, serve);
        }
        // Loaded only where it is used, for the memory that it takes.
        const { readFile } = await import("node:fs/promises");
        const https = await import("node:https");
        const [cert, key] = await Promise.all([readFile(tls.certificate), readFile(tls.key)]);
        return https.createServer({ ...limits, cert, key }, serve);
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
                answer(response, 400, { error: error instanceof Error ? error.message : String(error) });
            }
        }
    }

    private async route(context: Context): Promise<void> {
        const { request, response, url } = context;
        const [head, second] = url.pathname.split("/").filter(part => part !== "");
        switch (head) {
            case "services":
                return this.proxy(context, second ?? "");
            case "tasks":
                return this.serveTasks(context, second === undefined ? undefined : decodeURIComponent(second));
            case "healthz":
                return answer(response, 200, { state: this.options.instance.state });
            case "readyz":
                return this.serveReadiness(response);
        }
        const handler = this.options.peerHandlers.find(each => each.requestPath === url.pathname);
        const role = handler === undefined ? "operators" : "peers";
        if (!this.isAllowed(request, role)) {
            return answer(response, 401, { error: `a key of the ${role} is needed: authorization: Bearer KEY` });
        }
        return handler === undefined
            ? this.serveOperator(context, head, second)
            : serveConnect(handler, request, response);
    }

    private serveReadiness(response: ServerResponse): void {
        const { state, shared } = this.options.instance;
        const canServe = shared.canServe(performance.now());
        answer(response, state === "serving" && canServe ? 200 : 503, { state, canServe });
    }

    /** Keys are compared by digests of equal length, in constant time. */
    private isAllowed(request: IncomingMessage, role: "operators" | "peers"): boolean {
        const key = this.options.settings.keys[role];
        const given = (request.headers.authorization ?? "").replace(/^Bearer /, "");
        const digest = (text: string) => createHash("sha256").update(text).digest();
        return key === "" || timingSafeEqual(digest(key), digest(given));
    }

    private async proxy(context: Context, service: string): Promise<void> {
        const { request, response, url } = context;
        const { config, directory } = this.options.instance.shared;
        if (this.options.instance.state !== "serving") {
            return refuse(response, 503, "the instance is not serving");
        }
        if (!directory.services().has(service) && !config.services().includes(service)) {
            return answer(response, 404, { outcome: "not-run", error: `no service ${service}` }, "not-run");
        }
        const state = config.service(service);
        const deadlineMs = readDeadline(request, state.deadlineMs);
        if (deadlineMs === undefined) {
            const error = `x-deadline-ms must be a number from 1 to ${MAX_DEADLINE_MS}`;
            return answer(response, 400, { outcome: "not-run", error }, "not-run");
        }
        const body = await readBody(request, config.limits().bodyBytes);
        if (body.kind !== "read") {
            const error = body.kind === "broken" ? "the body is not whole" : "the body is too large";
            return answer(response, 413, { outcome: "not-run", error }, "not-run");
        }
        this.requestCount += 1;
        const id = this.requestCount;
        const path = url.pathname.slice(`/services/${service}`.length) + url.search;
        this.options.requests.add(id, request, path === "" ? "/" : path, body.body, response);
        response.once("close", () => {
            // The connection also closes after a whole answer.
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
                streaming: (request.headers.accept ?? "").includes(STREAM_TYPE),
            },
        });
    }

    private async serveTasks(context: Context, key: string | undefined): Promise<void> {
        const { request, response } = context;
        switch (request.method) {
            case "POST":
                return this.submitTask(context);
            case "DELETE":
                return key === undefined
                    ? answer(response, 400, { error: "DELETE /tasks/KEY needs a key" })
                    : this.ask(response, { kind: "task-cancel", key });
            case "GET":
                return this.ask(response, key === undefined ? { kind: "task-list" } : { kind: "task-show", key });
        }
        answer(response, 405, { error: "use POST, GET or DELETE" });
    }

    private async submitTask({ request, response }: Context): Promise<void> {
        const key = String(request.headers["idempotency-key"] ?? "");
        if (key === "" || key.length > MAX_KEY_LENGTH) {
            const error = `an Idempotency-Key header of 1 to ${MAX_KEY_LENGTH} characters is needed`;
            return answer(response, 400, { outcome: "not-run", error }, "not-run");
        }
        const body = await readBody(request, this.options.instance.shared.config.limits().bodyBytes);
        if (body.kind !== "read") {
            return answer(response, 413, { outcome: "not-run", error: `the body is ${body.kind}` }, "not-run");
        }
        // JSON is YAML, so that faults have places in either.
        const parsed = parseYaml(body.body.toString(), "body", taskSchema);
        if (!("value" in parsed)) {
            return answerFindings(response, parsed.findings);
        }
        const defaults = this.options.instance.shared.config.taskClass(parsed.value.class);
        return this.ask(response, { kind: "task-submit", request: toTaskRequest(key, parsed.value, defaults) });
    }

    private async serveOperator(context: Context, head: string | undefined, second: string | undefined): Promise<void> {
        const { request, response, url } = context;
        if (request.method === "POST" && head === "tickets") {
            return this.fileTicket(context);
        }
        if (request.method !== "GET") {
            return answer(response, 405, { error: "use GET" });
        }
        switch (head) {
            case "tickets":
                return this.listTickets(response, second);
            case "in-force":
                return this.ask(response, { kind: "in-force-show" });
            case "status":
                return this.ask(response, { kind: "status-show" });
            case "audit":
                return this.ask(response, { kind: "audit-show", name: url.searchParams.get("name") ?? "" });
        }
        answer(response, 404, { error: `nothing is at ${url.pathname}` });
    }

    private async fileTicket({ request, response }: Context): Promise<void> {
        const body = await readBody(request, MAX_OPERATOR_BODY_BYTES);
        if (body.kind !== "read") {
            return answer(response, 413, { error: `the body is ${body.kind}` });
        }
        const parsed = parseYaml(body.body.toString(), "body", ticketSchema);
        if (!("value" in parsed)) {
            return answerFindings(response, parsed.findings);
        }
        const draft = toTicketDraft(parsed.value);
        if (draft.objects.length === 0) {
            return answer(response, 400, { error: "the ticket touches nothing" });
        }
        return this.ask(response, { kind: "ticket-file", draft });
    }

    private async listTickets(response: ServerResponse, number: string | undefined): Promise<void> {
        const reply = await this.options.desk.ask({ kind: "ticket-list" });
        if (number === undefined || reply.kind !== "ticket-listing") {
            return answerReply(response, reply);
        }
        const verdicts = reply.verdicts.filter(each => String(each.number) === number);
        return verdicts.length === 0
            ? answer(response, 404, { error: `no ticket ${number} is known` })
            : answerReply(response, { ...reply, verdicts });
    }

    private async ask(response: ServerResponse, wish: UnnumberedRequest): Promise<void> {
        if (this.options.instance.state === "starting") {
            return refuse(response, 503, "the instance is starting");
        }
        answerReply(response, await this.options.desk.ask(wish));
    }
}

function readDeadline(request: IncomingMessage, fallbackMs: number): number | undefined {
    const given = request.headers["x-deadline-ms"];
    const deadlineMs = given === undefined ? fallbackMs : Number(given);
    return deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS ? deadlineMs : undefined;
}

/** A caller may say that a request may run twice; a safe method may in any case. */
function classOf(request: IncomingMessage, fallback: "idempotent" | "non-idempotent"): "idempotent" | "non-idempotent" {
    const given = request.headers["x-request-class"];
    if (given === "idempotent" || given === "non-idempotent") {
        return given;
    }
    return IDEMPOTENT_METHODS.includes(request.method ?? "") ? "idempotent" : fallback;
}

function answerReply(response: ServerResponse, reply: DeskReply): void {
    switch (reply.kind) {
        case "task-accepted":
            return answer(response, 202, reply);
        case "task-status":
            return answer(response, 200, { ...reply.task, outcome: reply.outcome }, reply.outcome);
        case "ticket-verdict":
            return answer(response, reply.verdict.state === "lost" ? 409 : 200, reply.verdict);
        case "not-found":
            return answer(response, 404, { error: reply.message });
        case "not-run":
            return refuse(response, 503, reply.message, reply.retryAfterMs);
        case "unknown":
            return answer(response, 504, { outcome: "unknown", error: reply.message }, "unknown");
        default:
            return answer(response, 200, reply);
    }
}

function answerFindings(response: ServerResponse, findings: readonly Finding[]): void {
    answer(response, 400, { outcome: "not-run", findings: findings.map(formatFinding) }, "not-run");
}

function refuse(response: ServerResponse, status: number, message: string, retryAfterMs = MS_PER_SECOND): void {
    response.setHeader("retry-after", String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
    answer(response, status, { outcome: "not-run", error: message }, "not-run");
}

function answer(response: ServerResponse, status: number, body: unknown, outcome?: string): void {
    if (outcome !== undefined) {
        response.setHeader(OUTCOME_HEADER, outcome);
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(`${JSON.stringify(body)}\n`);
}
