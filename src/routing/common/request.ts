import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./request.chart.yaml";

/** State of a caller's request. */
export type RequestState = "waiting" | "sent" | "relaying" | "done" | "not-run" | "unknown" | "cut";

/** Event of a caller's request. */
export type RequestEvent =
    | "admitted"
    | "deadline"
    | "overload"
    | "caller-gone"
    | "response-started"
    | "response-complete"
    | "not-sent"
    | "broken"
    | "unresponsive"
    | "response-aborted";

type RequestGuard = "isBeforeDeadline" | "canRetry" | "mayHaveRun";
type RequestAction =
    | "send"
    | "refuseExpired"
    | "refuseOverload"
    | "refuseUnreachable"
    | "abort"
    | "replyTimeout"
    | "replyConnectionLost"
    | "requeue"
    | "relay"
    | "closeCaller";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<RequestState, RequestEvent, RequestGuard, RequestAction>(chartText, "request.chart.yaml", {
        states: ["waiting", "sent", "relaying", "done", "not-run", "unknown", "cut"],
        events: [
            "admitted",
            "deadline",
            "overload",
            "caller-gone",
            "response-started",
            "response-complete",
            "not-sent",
            "broken",
            "unresponsive",
            "response-aborted",
        ],
        guards: ["isBeforeDeadline", "canRetry", "mayHaveRun"],
        actions: [
            "send",
            "refuseExpired",
            "refuseOverload",
            "refuseUnreachable",
            "abort",
            "replyTimeout",
            "replyConnectionLost",
            "requeue",
            "relay",
            "closeCaller",
        ],
    }),
);

/**
 * Number of upstreams that may break off one request: it may be what crashes them, and the retry budget, which all requests
 * share, allows ten in a row.
 */
const MAX_BROKEN_ATTEMPTS = 3;

/** Whether a request can safely be run a second time. */
export type RequestClass = "idempotent" | "non-idempotent";

/** Description of a request; its body stays with the front end. */
export interface RequestDescription {
    readonly id: number;
    readonly service: string;
    readonly requestClass: RequestClass;
    /** Time (ms, the loop's clock) by which the caller needs the response. */
    readonly deadline: number;
    /** Size of the body in bytes. */
    readonly bytes: number;
    /** Whether the response is a stream that may stay open; it holds a connection but no slot once it has started. */
    readonly isStreaming: boolean;
}

/** Why a request gets a reply that is not an upstream's response. */
export type RefusalReason = "deadline" | "overload" | "upstream-unreachable" | "timeout" | "connection-lost";

/** Executes the decisions of a `Request`. */
export abstract class RequestHost {
    /** Sends the request to the chosen upstream. */
    abstract send(request: Request, now: number): void;
    /** Aborts the attempt in flight. */
    abstract abort(request: Request): void;
    /** Queues the request for a slot again. */
    abstract requeue(request: Request, now: number): void;
    /** Relays the attempt's response to the caller. */
    abstract relay(request: Request): void;
    /** Closes the caller's connection, so that a truncated response cannot look complete. */
    abstract closeCaller(request: Request): void;
    /** Replies that the request certainly did not run. */
    abstract replyNotRun(request: Request, reason: RefusalReason): void;
    /** Replies that it is unknown whether the request ran. */
    abstract replyUnknown(request: Request, reason: RefusalReason): void;
    /** @returns Whether the retry budget allows one more retry, which is counted if so. */
    abstract spendRetry(request: Request): boolean;
}

/** A caller's request to a service, from its arrival to its reply. */
export class Request {
    private readonly machine: Machine<number, RequestState, RequestEvent, RequestGuard, RequestAction>;

    /** Worker of the attempt in flight. */
    worker: string | undefined;
    /** Number of the attempt; 0 before the first. */
    attempt = 0;
    /** Time (ms) when the attempt was sent. */
    sentAt = 0;
    /** Whether an earlier attempt may have run. */
    mayHaveRun = false;
    /** Number of attempts that upstreams broke off. */
    brokenAttempts = 0;
    /** Workers of attempts that failed. */
    readonly failedWorkers = new Set<string>();

    private constructor(
        readonly description: RequestDescription,
        readonly receivedAt: number,
        host: RequestHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isBeforeDeadline: now => now < description.deadline,
                mayHaveRun: () => this.mayHaveRun,
                canRetry: now =>
                    description.requestClass === "idempotent" &&
                    now < description.deadline &&
                    this.brokenAttempts < MAX_BROKEN_ATTEMPTS &&
                    host.spendRetry(this),
            },
            actions: {
                send: now => host.send(this, now),
                refuseExpired: () => host.replyNotRun(this, "deadline"),
                refuseOverload: () => host.replyNotRun(this, "overload"),
                refuseUnreachable: () => host.replyNotRun(this, "upstream-unreachable"),
                abort: () => host.abort(this),
                replyTimeout: () => host.replyUnknown(this, "timeout"),
                replyConnectionLost: () => host.replyUnknown(this, "connection-lost"),
                requeue: now => host.requeue(this, now),
                relay: () => host.relay(this),
                closeCaller: () => host.closeCaller(this),
            },
        });
    }

    /**
     * @param description The request.
     * @param receivedAt Time (ms) of its arrival.
     * @param host Executes the decisions.
     * @returns A request in state `waiting`.
     */
    static create(description: RequestDescription, receivedAt: number, host: RequestHost): Request {
        return new Request(description, receivedAt, host);
    }

    /** State of the request. */
    get state(): RequestState {
        return this.machine.state;
    }

    /** Whether the request has a final state: it has a reply, or needs none. */
    get isOver(): boolean {
        return chart.finalStates.has(this.state);
    }

    /** @param event What happened. @param now Time in ms. @returns Whether a transition was taken. */
    fire(event: RequestEvent, now: number): boolean {
        return this.machine.fire(event, now);
    }
}
