import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Request } from "./request";
import chartText from "./upstream.chart.yaml";

/** State of the connections to an upstream. */
export type UpstreamState = "healthy" | "probing" | "unreachable";
type UpstreamEvent = "unresponsive" | "broken" | "answered" | "probe-answered" | "probe-failed" | "retry-due";
type UpstreamAction = "probe" | "replaceConnections" | "backOff";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<UpstreamState, UpstreamEvent, never, UpstreamAction>(chartText, "upstream.chart.yaml", {
        states: ["healthy", "probing", "unreachable"],
        events: ["unresponsive", "broken", "answered", "probe-answered", "probe-failed", "retry-due"],
        guards: [],
        actions: ["probe", "replaceConnections", "backOff"],
    }),
);

/** Bounds of the exponential delay before an unreachable upstream is probed again. */
const MIN_PROBE_BACKOFF_MS = 500;
const MAX_PROBE_BACKOFF_MS = 10_000;

/** Weight of the newest response in the mean latency. */
const LATENCY_SMOOTHING_RATIO = 0.1;

/** Expected latency of an upstream before its first response. */
const DEFAULT_LATENCY_MS = 20;

/** Time after a replacement of connections during which unresponsive requests cause no further probe. */
const REPLACEMENT_GRACE_MS = 5_000;

/**
 * Maximum time after a request's deadline for which an upstream may keep running the request once its connection
 * was closed.
 */
const MAX_RUN_AFTER_DEADLINE_MS = 1_000;

/** Executes the decisions of an `Upstream`. */
export abstract class UpstreamHost {
    /** Probes the upstream on a new connection. */
    abstract probe(upstream: Upstream): void;
    /** Stops using all connections made before now. */
    abstract replaceConnections(upstream: Upstream, now: number): void;
}

/** Connections, latency and open requests of one upstream, as seen by this instance. */
export class Upstream {
    private readonly machine: Machine<number, UpstreamState, UpstreamEvent, never, UpstreamAction>;
    private retryAt = 0;
    private failures = 0;
    private replacedAt = Number.NEGATIVE_INFINITY;
    private latency = DEFAULT_LATENCY_MS;

    /** Time (ms) of the head of the last response. */
    lastResponseAt = Number.NEGATIVE_INFINITY;
    /** Requests with an attempt in flight at the upstream. */
    readonly requests = new Set<Request>();
    /** Number of these requests that hold a slot; started streams hold only a connection. */
    heldSlots = 0;
    /** Times (ms) until which abandoned requests may still be running. */
    private abandonedUntil: number[] = [];

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

    /** @param worker Worker that it runs on. @param host Executes the decisions. @returns A healthy upstream. */
    static create(worker: string, host: UpstreamHost): Upstream {
        return new Upstream(worker, host);
    }

    /** State of the connections. */
    get state(): UpstreamState {
        return this.machine.state;
    }

    /** Slots used by requests, including abandoned ones that may still be running. */
    get busySlots(): number {
        return this.heldSlots + this.abandonedUntil.length;
    }

    /**
     * Like `busySlots`, without requests that must have ended while this process was paused.
     * @param now Time in ms.
     * @returns Slots that may be in use.
     */
    usedSlots(now: number): number {
        const ended = [...this.requests].filter(request => request.state === "sent" && hasStopped(request, now));
        return this.heldSlots - ended.length + this.abandonedUntil.filter(until => until > now).length;
    }

    /** Number of abandoned requests that may still be running. */
    get abandonedCount(): number {
        return this.abandonedUntil.length;
    }

    /** Keeps the slot of an abandoned request until the upstream has stopped running it. @param now Time in ms. */
    abandon(request: Request, now: number): void {
        this.abandonedUntil.push(Math.max(now, request.description.deadline) + MAX_RUN_AFTER_DEADLINE_MS);
    }

    /** Mean time to the head of a response, in ms. */
    get latencyMs(): number {
        return this.latency;
    }

    /** Records the head of a response. @param latencyMs Time since the attempt was sent, in ms. */
    recordResponse(latencyMs: number, now: number): void {
        this.latency += LATENCY_SMOOTHING_RATIO * (latencyMs - this.latency);
        this.lastResponseAt = now;
        this.machine.fire("answered", now);
    }

    /** Records that the connections were replaced. */
    recordReplacement(now: number): void {
        this.replacedAt = now;
    }

    /** Whether the connections were replaced recently, so that unresponsive requests belong to the old ones. */
    hasRecentReplacement(now: number): boolean {
        return now - this.replacedAt < REPLACEMENT_GRACE_MS;
    }

    /** @param event Any event but a response. @param now Time in ms. */
    fire(event: Exclude<UpstreamEvent, "answered">, now: number): void {
        this.machine.fire(event, now);
    }

    /** Drops abandoned requests that have ended and retries a due probe; called periodically. @param now Time in ms. */
    tick(now: number): void {
        this.abandonedUntil = this.abandonedUntil.filter(until => until > now);
        if (now >= this.retryAt) {
            this.machine.fire("retry-due", now);
        }
    }

    private backOff(now: number): void {
        this.failures += 1;
        this.retryAt = now + Math.min(MAX_PROBE_BACKOFF_MS, MIN_PROBE_BACKOFF_MS * 2 ** (this.failures - 1));
    }
}

function hasStopped(request: Request, now: number): boolean {
    return now > request.description.deadline + MAX_RUN_AFTER_DEADLINE_MS;
}
