import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./request.chart.yaml";

/** State of a caller's request. */
export type RequestState = "waiting" | "sent" | "relaying" | "done" | "not-run" | "unknown" | "cut";

/** What happens to a caller's request. */
export type RequestEvent =
    | "admitted"
    | "deadline"
    | "overload"
    | "caller-gone"
    | "head"
    | "whole"
    | "not-sent"
    | "broken"
    | "silent"
    | "cut-off";

type RequestGuard = "hasTime" | "mayRepeat" | "isInDoubt";
type RequestAction =
    | "send"
    | "refuseLate"
    | "refuseOverload"
    | "refuseUpstream"
    | "abort"
    | "answerTimeout"
    | "answerBroken"
    | "requeue"
    | "relay"
    | "cutOff";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<RequestState, RequestEvent, RequestGuard, RequestAction>(chartText, "request.chart.yaml", {
        states: ["waiting", "sent", "relaying", "done", "not-run", "unknown", "cut"],
        events: [
            "admitted",
            "deadline",
            "overload",
            "caller-gone",
            "head",
            "whole",
            "not-sent",
            "broken",
            "silent",
            "cut-off",
        ],
        guards: ["hasTime", "mayRepeat", "isInDoubt"],
        actions: [
            "send",
            "refuseLate",
            "refuseOverload",
            "refuseUpstream",
            "abort",
            "answerTimeout",
            "answerBroken",
            "requeue",
            "relay",
            "cutOff",
        ],
    }),
);

/** Whether running a request a second time is harmless. */
export type RequestClass = "idempotent" | "non-idempotent";

/** A request as the front end describes it; its body stays with the front end. */
export interface RequestDescription {
    readonly id: number;
    readonly service: string;
    readonly requestClass: RequestClass;
    /** Time (ms, the loop's clock) by which the caller wants the answer. */
    readonly deadline: number;
    /** Size of the body in bytes. */
    readonly bytes: number;
    /** Whether the answer is a stream that may last; it holds a connection but no slot once it has begun. */
    readonly streaming: boolean;
}

/** Why a request is answered without an upstream's answer. */
export type RefusalReason = "deadline" | "overload" | "upstream-unreachable" | "timeout" | "connection-lost";

/** What a request asks of its router. */
export abstract class RequestHost {
    /** Sends the request to the upstream that was chosen. */
    abstract send(request: Request, now: number): void;
    /** Ends the attempt that is on its way. */
    abstract abort(request: Request): void;
    /** Lets the request wait for a slot again. */
    abstract requeue(request: Request, now: number): void;
    /** Passes the attempt's answer on. */
    abstract relay(request: Request): void;
    /** Cuts the caller's connection, so that a truncated answer cannot look complete. */
    abstract cutOff(request: Request): void;
    /** Answers the caller that the request certainly did not run. */
    abstract answerNotRun(request: Request, reason: RefusalReason): void;
    /** Answers the caller that nobody knows whether the request ran. */
    abstract answerUnknown(request: Request, reason: RefusalReason): void;
    /** Whether the budget allows one more repetition; counts it if so. */
    abstract spendRepetition(request: Request): boolean;
}

/** A caller's request to a service, from its arrival to its answer. */
export class Request {
    private readonly machine: Machine<number, RequestState, RequestEvent, RequestGuard, RequestAction>;

    /** Worker of the attempt that is on its way. */
    worker: string | undefined;
    /** Number of the attempt; 0 before the first. */
    attempt = 0;
    /** Time (ms) when the attempt was sent. */
    sentAt = 0;
    /** Whether an earlier attempt may have run. */
    inDoubt = false;
    /** Workers of attempts that failed. */
    readonly avoided = new Set<string>();

    private constructor(
        readonly description: RequestDescription,
        readonly receivedAt: number,
        host: RequestHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                hasTime: now => now < description.deadline,
                isInDoubt: () => this.inDoubt,
                mayRepeat: now =>
                    description.requestClass === "idempotent" &&
                    now < description.deadline &&
                    host.spendRepetition(this),
            },
            actions: {
                send: now => host.send(this, now),
                refuseLate: () => host.answerNotRun(this, "deadline"),
                refuseOverload: () => host.answerNotRun(this, "overload"),
                refuseUpstream: () => host.answerNotRun(this, "upstream-unreachable"),
                abort: () => host.abort(this),
                answerTimeout: () => host.answerUnknown(this, "timeout"),
                answerBroken: () => host.answerUnknown(this, "connection-lost"),
                requeue: now => host.requeue(this, now),
                relay: () => host.relay(this),
                cutOff: () => host.cutOff(this),
            },
        });
    }

    /**
     * @param description The request.
     * @param receivedAt Time (ms) of its arrival.
     * @param host Acts on the decisions.
     * @returns A request that waits.
     */
    static create(description: RequestDescription, receivedAt: number, host: RequestHost): Request {
        return new Request(description, receivedAt, host);
    }

    /** State of the request. */
    get state(): RequestState {
        return this.machine.state;
    }

    /** Whether the request has an answer, or needs none. */
    get isOver(): boolean {
        return chart.finals.has(this.state);
    }

    /** Notes an event. @param event What happened. @param now Time in ms. */
    fire(event: RequestEvent, now: number): boolean {
        return this.machine.fire(event, now);
    }
}
