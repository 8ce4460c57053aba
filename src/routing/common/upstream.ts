import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Request } from "./request";
import chartText from "./upstream.chart.yaml";

/** State of the connections to an upstream. */
export type UpstreamState = "healthy" | "probing" | "unreachable";
type UpstreamEvent = "quiet" | "broken" | "answered" | "probe-answered" | "probe-failed" | "retry-due";
type UpstreamAction = "probe" | "replaceConnections" | "backOff";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<UpstreamState, UpstreamEvent, never, UpstreamAction>(chartText, "upstream.chart.yaml", {
        states: ["healthy", "probing", "unreachable"],
        events: ["quiet", "broken", "answered", "probe-answered", "probe-failed", "retry-due"],
        guards: [],
        actions: ["probe", "replaceConnections", "backOff"],
    }),
);

/** Shortest and longest time before an unreachable upstream is probed again. */
const MIN_PROBE_PAUSE_MS = 500;
const MAX_PROBE_PAUSE_MS = 10_000;

/** Weight of the newest answer in the mean latency. */
const LATENCY_SMOOTHING = 0.1;

/** Time within which an upstream is expected to answer while nothing is known of it. */
const DEFAULT_LATENCY_MS = 20;

/** Time after a replacement in which connections are not judged again, in ms. */
const REPLACEMENT_GRACE_MS = 5_000;

/**
 * Time by which an upstream has stopped working on a request whose connection was closed, after the deadline
 * that it was given, in ms.
 */
const LINGER_MS = 1_000;

/** What an upstream asks of its router. */
export abstract class UpstreamHost {
    /** Opens a new connection and asks for a sign of life on it. */
    abstract probe(upstream: Upstream): void;
    /** Stops using all connections made before now. */
    abstract replaceConnections(upstream: Upstream, now: number): void;
}

/** One upstream as this instance knows it. */
export class Upstream {
    private readonly machine: Machine<number, UpstreamState, UpstreamEvent, never, UpstreamAction>;
    private retryAt = 0;
    private failures = 0;
    private replacedAt = Number.NEGATIVE_INFINITY;
    private latency = DEFAULT_LATENCY_MS;

    /** Time (ms) of the latest head of an answer. */
    answeredAt = Number.NEGATIVE_INFINITY;
    /** Requests whose attempts are with the upstream. */
    readonly requests = new Set<Request>();
    /** Requests of them that hold a slot; begun streams hold a connection alone. */
    heldSlots = 0;
    /** Times (ms) until which given up requests may still be running. */
    private lingering: number[] = [];

    private constructor(
        readonly worker: string,
        host: UpstreamHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                probe: () => host.probe(this),
                replaceConnections: now => {
                    this.failures = 0;
                    host.replaceConnections(this, now);
                },
                backOff: now => this.backOff(now),
            },
        });
    }

    /** @param worker Worker that it runs on. @param host Acts on the decisions. @returns A healthy upstream. */
    static create(worker: string, host: UpstreamHost): Upstream {
        return new Upstream(worker, host);
    }

    /** State of the connections. */
    get state(): UpstreamState {
        return this.machine.state;
    }

    /** Slots that requests use, those that were given up and may still be running included. */
    get busySlots(): number {
        return this.heldSlots + this.lingering.length;
    }

    /**
     * After a pause of the process, requests may be long over that are still counted as held.
     * @param now Time in ms.
     * @returns Slots that may really be in use.
     */
    usedSlots(now: number): number {
        const over = [...this.requests].filter(request => request.state === "sent" && hasStopped(request, now));
        return this.heldSlots - over.length + this.lingering.filter(until => until > now).length;
    }

    /** Number of given up requests that may still be running. */
    get lingeringCount(): number {
        return this.lingering.length;
    }

    /** Keeps the slot of a request that is given up, until the upstream has stopped. @param now Time in ms. */
    linger(request: Request, now: number): void {
        this.lingering.push(Math.max(now, request.description.deadline) + LINGER_MS);
    }

    /** Mean time to the head of an answer, in ms. */
    get latencyMs(): number {
        return this.latency;
    }

    /** Notes the head of an answer. @param latencyMs Time since the attempt was sent, in ms. */
    answered(latencyMs: number, now: number): void {
        this.latency += LATENCY_SMOOTHING * (latencyMs - this.latency);
        this.answeredAt = now;
        this.machine.fire("answered", now);
    }

    /** Notes that the connections were replaced. */
    noteReplaced(now: number): void {
        this.replacedAt = now;
    }

    /** Whether the connections were replaced a moment ago, so that quiet requests are of the old ones. */
    isNewlyReplaced(now: number): boolean {
        return now - this.replacedAt < REPLACEMENT_GRACE_MS;
    }

    /** Notes another event. */
    fire(event: Exclude<UpstreamEvent, "answered">, now: number): void {
        this.machine.fire(event, now);
    }

    /** Acts on the passing of time. @param now Time in ms. */
    tick(now: number): void {
        this.lingering = this.lingering.filter(until => until > now);
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
    }

    private backOff(now: number): void {
        this.failures += 1;
        this.retryAt = now + Math.min(MAX_PROBE_PAUSE_MS, MIN_PROBE_PAUSE_MS * 2 ** (this.failures - 1));
    }
}

function hasStopped(request: Request, now: number): boolean {
    return now > request.description.deadline + LINGER_MS;
}
