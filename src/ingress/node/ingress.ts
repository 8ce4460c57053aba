import { createServer as createHttpServer, RequestListener, ServerOptions } from "node:http";
import { createServer as createTcpServer, Server, Socket } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { IngressGuard, IngressPort } from "../common/ingressGuard";
import { IngressLimits } from "../common/ingressLimits";
import { RefusalCount, RefusalReport } from "../common/refusalReport";
import { BodyPool } from "./bodyPool";
import { Collector } from "./collector";
import { GuardedConnection } from "./guardedConnection";
import { ParsingTurns } from "./parsingTurns";

const TICK_INTERVAL_MS = 100;

/** Share of the limit of idle time that clients are told. */
const ADVERTISED_IDLE_RATIO = 1 / 2;

/** Largest header of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;

const TCP_OPTIONS = { allowHalfOpen: true, noDelay: true } as const;

/** Creates a server that hands each connection over. */
export type FrontFactory = (onConnection: (socket: Socket) => void) => Server;

/** The servers of a process, with one budget for all their clients. */
export class Ingress implements Disposable {
    readonly guard: IngressGuard;
    private readonly shared = {
        pool: BodyPool.create(),
        collector: Collector.create(),
        turns: ParsingTurns.create(),
    };
    private readonly report = RefusalReport.create();
    private readonly connections = new Set<GuardedConnection>();
    private readonly timer: NodeJS.Timeout;
    private isDraining = false;

    private constructor(
        limits: IngressLimits,
        private readonly onReport: (count: RefusalCount) => void,
    ) {
        this.guard = IngressGuard.create(limits);
        this.guard.onDidRefuse(refusal => this.report.record(refusal));
        this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    }

    /**
     * @param limits What clients may take.
     * @param onReport Receives how many were refused, at a bounded rate.
     * @returns An ingress without servers.
     */
    static create(limits: IngressLimits, onReport: (count: RefusalCount) => void): Ingress {
        return new Ingress(limits, onReport);
    }

    /**
     * Creates an HTTP server.
     * @param port Limits of its connections.
     * @param serve Handles the requests.
     * @param createFront Creates the server of the connections, for example with TLS.
     * @param options Options of the HTTP server.
     * @returns A server that is not listening yet.
     */
    createServer(
        port: IngressPort,
        serve: RequestListener,
        createFront: FrontFactory = onConnection => createTcpServer(TCP_OPTIONS, onConnection),
        options: ServerOptions = {},
    ): Server {
        const limits = { maxHeaderSize: MAX_HEADER_BYTES, ...options };
        const server = createHttpServer(limits, (request, response) => {
            response.on("error", () => undefined);
            GuardedConnection.of(request)?.begin(request, response);
            serve(request, response);
        });
        // What clients are told, so that they do not use a connection that is just being closed.
        server.keepAliveTimeout = this.guard.limits.idleMs * ADVERTISED_IDLE_RATIO;
        const front = createFront(socket => {
            const connection = GuardedConnection.create(socket, this.guard, port, this.shared);
            if (connection !== undefined) {
                this.connections.add(connection);
                connection.once("close", () => this.connections.delete(connection));
                server.emit("connection", connection);
            }
        });
        // Refuses further connections before they cost anything.
        front.maxConnections = port.maxConnections;
        front.on("drop", () => this.guard.recordRefusal(port.name, "connection-limit"));
        return front;
    }

    /** Closes each connection that has no request, now or later. */
    drain(): void {
        this.isDraining = true;
        this.closeIdleConnections();
    }

    private closeIdleConnections(): void {
        [...this.connections].filter(each => each.isIdle).forEach(each => each.destroy());
    }

    /** Closes all connections. */
    closeAllConnections(): void {
        [...this.connections].forEach(each => each.destroy());
    }

    /** Closes the connections without requests, and no others any more. */
    dispose(): void {
        clearInterval(this.timer);
        this.shared.turns.dispose();
        this.closeIdleConnections();
    }

    private tick(): void {
        const now = performance.now();
        this.guard.tick(now);
        if (this.isDraining) {
            this.closeIdleConnections();
        }
        this.report.take(now).forEach(each => this.onReport(each));
    }
}
