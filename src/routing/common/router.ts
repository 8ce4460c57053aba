import { Invariants } from "../../base/common/invariants";
import { EffectSink } from "../../base/common/effectSink";
import { ServiceLatency } from "../../coordination/common/grant";
import { LinkBudget } from "./linkBudget";
import { RefusalReason, Request, RequestDescription, RequestEvent, RequestHost } from "./request";
import { RequestUsage } from "./requestUsage";
import { RetryBudget } from "./retryBudget";
import { RouteEffect, RouteEvent } from "./routeEvents";
import { SlotSource, UpstreamListing } from "./slotSource";
import { Upstream, UpstreamHost } from "./upstream";
import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Maximum number of requests that wait for a slot of one service. */
const MAX_WAITING_REQUESTS = 256;

/** Maximum wait for a slot. */
const MAX_WAIT_MS = 5_000;

/** Time after which a refused caller should retry. */
const RETRY_AFTER_MS = 1_000;

/** Minimum time without the head of a response after which an upstream is probed. */
const MIN_RESPONSE_TIMEOUT_MS = 1_000;

/** Time without the head of a response after which an upstream is probed, as a multiple of its mean latency. */
const RESPONSE_TIMEOUT_RATIO = 8;

/** Time for which an upstream that closes its connections gets no requests. */
const CLOSING_PAUSE_MS = 10_000;

/** Weight of the newest sample in the demand of a service. */
const DEMAND_SMOOTHING_RATIO = 0.2;

/** Events after which an upstream certainly no longer runs a request, or needs no slot for it. */
const SLOT_RELEASING_EVENTS: readonly RequestEvent[] = ["response-complete", "response-started", "not-sent"];

/** Latencies up to this value are not reported to the owners of the shards. */
const MIN_REPORTED_LATENCY_MS = 1;

/** Routes callers' requests to upstreams, within the slots that this instance may use. */
export class Router extends RequestUsage {
    private readonly requests = new Map<number, Request>();
    private readonly waiting = new Map<string, Request[]>();
    private readonly upstreams = new Map<string, Upstream>();
    private readonly pausedUntil = new Map<string, number>();
    private readonly demands = new Map<string, number>();
    private readonly budget = RetryBudget.create();
    private readonly requestHost: RequestHost;
    private readonly upstreamHost: UpstreamHost;

    private constructor(
        private readonly region: string,
        private readonly slots: SlotSource,
        private choice: UpstreamChoice,
        private readonly link: LinkBudget,
        private readonly outbox: EffectSink<RouteEffect>,
    ) {
        super();
        this.requestHost = this.createRequestHost();
        this.upstreamHost = this.createUpstreamHost();
    }

    /**
     * @param region Region of this instance.
     * @param slots Provides the upstreams and the slots that may be used.
     * @param choice Policy that chooses among upstreams with a free slot.
     * @param link Budget of the link to the other region.
     * @param outbox Receives the effects.
     * @returns A router without requests.
     */
    static create(
        region: string,
        slots: SlotSource,
        choice: UpstreamChoice,
        link: LinkBudget,
        outbox: EffectSink<RouteEffect>,
    ): Router {
        return new Router(region, slots, choice, link, outbox);
    }

    override get openCount(): number {
        const abandoned = [...this.upstreams.values()].reduce((sum, each) => sum + each.abandonedCount, 0);
        return this.requests.size + abandoned;
    }

    /** Replaces the policy that chooses upstreams. */
    useChoice(choice: UpstreamChoice): void {
        this.choice = choice;
    }

    /** Refuses a request that arrives while the instance is stopping. */
    rejectRequest(description: RequestDescription, now: number): void {
        const request = Request.create(description, now, this.requestHost);
        this.transition(request, "overload", now);
    }

    override usedSlots(worker: string, now: number): number {
        return this.upstreams.get(worker)?.usedSlots(now) ?? 0;
    }

    override demand(): ReadonlyMap<string, number> {
        return this.demands;
    }

    override latencies(services: Iterable<string>): ServiceLatency[] {
        return [...services].flatMap(service => {
            const known = this.slots
                .upstreams(service)
                .flatMap(({ worker }) => this.upstreams.get(worker) ?? [])
                .filter(each => each.latencyMs > MIN_REPORTED_LATENCY_MS);
            const best = Math.min(...known.map(each => each.latencyMs));
            return known.map(each => ({ service, worker: each.worker, slowdown: each.latencyMs / best }));
        });
    }

    /** Handles an event. @param now Time in ms. */
    handle(event: RouteEvent, now: number): void {
        switch (event.kind) {
            case "request-received":
                return this.receive(event.description, now);
            case "caller-gone":
                return this.handleRequestEvent(event.request, undefined, "caller-gone", now);
            case "upstream-response-started":
                return this.handleRequestEvent(event.request, event.attempt, "response-started", now);
            case "upstream-response-complete":
                this.recordClosing(event.request, event.isClosing, now);
                return this.handleRequestEvent(event.request, event.attempt, "response-complete", now);
            case "upstream-failed":
                return this.handleFailure(event.request, event.attempt, event.certainty, now);
            case "probe-answered":
                this.upstreams.get(event.worker)?.fire("probe-answered", now);
                return;
            case "probe-failed":
                this.upstreams.get(event.worker)?.fire("probe-failed", now);
                return;
        }
    }

    /** Enforces deadlines, checks upstreams and admits waiting requests; called periodically. @param now Time in ms. */
    tick(now: number): void {
        for (const request of [...this.requests.values()]) {
            if (now >= request.description.deadline) {
                this.transition(request, "deadline", now);
            } else if (request.state === "waiting" && now - request.receivedAt > MAX_WAIT_MS) {
                this.transition(request, "overload", now);
            }
        }
        for (const upstream of this.upstreams.values()) {
            upstream.tick(now);
            this.checkResponsiveness(upstream, now);
        }
        this.admitAll(now);
        this.updateDemand();
    }

    private receive(description: RequestDescription, now: number): void {
        const request = Request.create(description, now, this.requestHost);
        this.requests.set(description.id, request);
        this.budget.recordRequest();
        const queue = this.queue(description.service);
        if (queue.length >= MAX_WAITING_REQUESTS || this.slots.upstreams(description.service).length === 0) {
            this.transition(request, "overload", now);
            return;
        }
        queue.push(request);
        this.admit(description.service, now);
    }

    private queue(service: string): Request[] {
        const queue = this.waiting.get(service) ?? [];
        this.waiting.set(service, queue);
        return queue;
    }

    private admitAll(now: number): void {
        for (const service of this.waiting.keys()) {
            this.admit(service, now);
        }
    }

    /** Sends waiting requests while there are free slots, the oldest first. */
    private admit(service: string, now: number): void {
        const queue = this.queue(service);
        while (queue.length > 0) {
            const request = queue[0];
            if (request.state !== "waiting") {
                queue.shift();
                continue;
            }
            const options = this.options(request, now);
            if (options.length === 0) {
                return;
            }
            queue.shift();
            request.worker = this.choice.choose(options).worker;
            this.transition(request, "admitted", now);
        }
    }

    private options(request: Request, now: number): UpstreamOption[] {
        const { service, bytes } = request.description;
        const free = this.slots
            .upstreams(service)
            .map(listing => this.option(listing, now))
            .filter(option => option.busySlots < option.slots && this.isUsable(option.worker, now));
        const untried = free.filter(option => !request.failedWorkers.has(option.worker));
        const candidates = untried.length > 0 ? untried : free;
        const local = candidates.filter(option => option.isLocal);
        if (local.length > 0) {
            return local;
        }
        return candidates.length > 0 && this.link.trySpend(bytes, now) ? candidates : [];
    }

    private option(listing: UpstreamListing, now: number): UpstreamOption {
        const upstream = this.upstream(listing.worker);
        return {
            worker: listing.worker,
            isLocal: listing.region === this.region,
            slots: this.slots.slots(listing.worker, now),
            busySlots: upstream.busySlots,
            latencyMs: upstream.latencyMs,
            ageMs: now - upstream.lastResponseAt,
        };
    }

    private isUsable(worker: string, now: number): boolean {
        return this.upstream(worker).state === "healthy" && now >= (this.pausedUntil.get(worker) ?? 0);
    }

    private upstream(worker: string): Upstream {
        const upstream = this.upstreams.get(worker) ?? Upstream.create(worker, this.upstreamHost);
        this.upstreams.set(worker, upstream);
        return upstream;
    }

    private handleRequestEvent(
        id: number,
        attempt: number | undefined,
        event: "caller-gone" | "response-started" | "response-complete",
        now: number,
    ): void {
        const request = this.requests.get(id);
        // A response to an abandoned attempt is ignored.
        if (request === undefined || (attempt !== undefined && attempt !== request.attempt)) {
            return;
        }
        if (event === "response-started") {
            this.upstream(request.worker!).recordResponse(now - request.sentAt, now);
        }
        this.transition(request, event, now);
    }

    private handleFailure(id: number, attempt: number, certainty: "not-sent" | "broken", now: number): void {
        const request = this.requests.get(id);
        if (request === undefined || attempt !== request.attempt) {
            return;
        }
        const { worker } = request;
        request.failedWorkers.add(worker!);
        request.mayHaveRun ||= certainty === "broken";
        request.brokenAttempts += certainty === "broken" ? 1 : 0;
        this.transition(request, certainty, now);
        this.upstream(worker!).fire("broken", now);
    }

    /** Fires an event of a request, and releases its slot when the attempt has ended. */
    private transition(request: Request, event: RequestEvent, now: number): void {
        const upstream = request.worker === undefined ? undefined : this.upstream(request.worker);
        const heldSlot = holdsSlot(request);
        request.fire(event, now);
        const holdsSlotNow = holdsSlot(request);
        if (upstream !== undefined) {
            upstream.heldSlots += Number(holdsSlotNow) - Number(heldSlot);
            if (heldSlot && !holdsSlotNow && !SLOT_RELEASING_EVENTS.includes(event)) {
                upstream.abandon(request, now);
            }
            this.checkSlots(upstream, heldSlot, holdsSlotNow, now);
            if (!isWithUpstream(request)) {
                upstream.requests.delete(request);
            }
        }
        if (request.isOver) {
            this.finish(request, now);
        }
        if (heldSlot && !holdsSlotNow) {
            this.admit(request.description.service, now);
        }
    }

    private checkSlots(upstream: Upstream, heldSlot: boolean, holdsSlotNow: boolean, now: number): void {
        const isWithinSlots = heldSlot || !holdsSlotNow || upstream.busySlots <= this.slots.slots(upstream.worker, now);
        Invariants.instance.check(
            "capacity",
            isWithinSlots,
            () => `${upstream.worker} has ${upstream.busySlots} requests`,
        );
    }

    private finish(request: Request, now: number): void {
        const { id, service } = request.description;
        if (this.requests.delete(id)) {
            const outcome = request.state as "done" | "not-run" | "unknown" | "cut";
            Invariants.instance.check(
                "not-run-is-true",
                outcome !== "not-run" || !request.mayHaveRun,
                () => `request ${id} may have run`,
            );
            this.outbox.emit({ kind: "request-measured", service, outcome, latencyMs: now - request.receivedAt });
        }
    }

    private recordClosing(id: number, isClosing: boolean, now: number): void {
        const worker = this.requests.get(id)?.worker;
        if (isClosing && worker !== undefined) {
            this.pausedUntil.set(worker, now + CLOSING_PAUSE_MS);
        }
    }

    private checkResponsiveness(upstream: Upstream, now: number): void {
        const timeoutMs = Math.max(MIN_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_RATIO * upstream.latencyMs);
        const isUnresponsive = [...upstream.requests].some(
            each => each.state === "sent" && now - each.sentAt > timeoutMs,
        );
        if (isUnresponsive && !upstream.hasRecentReplacement(now)) {
            upstream.fire("unresponsive", now);
        }
    }

    private updateDemand(): void {
        const open = new Map<string, number>();
        for (const request of this.requests.values()) {
            const { service } = request.description;
            open.set(service, (open.get(service) ?? 0) + 1);
        }
        for (const service of new Set([...open.keys(), ...this.demands.keys()])) {
            const count = open.get(service) ?? 0;
            const smoothed = this.demands.get(service) ?? 0;
            this.demands.set(service, Math.max(count, smoothed + DEMAND_SMOOTHING_RATIO * (count - smoothed)));
        }
    }

    private createRequestHost(): RequestHost {
        const { outbox, budget } = this;
        return {
            send: (request, now) => this.send(request, now),
            abort: request => {
                request.mayHaveRun = true;
                outbox.emit({ kind: "upstream-abort", request: request.description.id, attempt: request.attempt });
            },
            requeue: request => {
                request.worker = undefined;
                this.queue(request.description.service).unshift(request);
            },
            relay: ({ description: { id }, attempt }) => outbox.emit({ kind: "upstream-relay", request: id, attempt }),
            closeCaller: request => outbox.emit({ kind: "caller-close", request: request.description.id }),
            replyNotRun: (request, reason) => this.refuse(request, "not-run", reason),
            replyUnknown: (request, reason) => this.refuse(request, "unknown", reason),
            spendRetry: () => budget.trySpend(),
        };
    }

    private createUpstreamHost(): UpstreamHost {
        return {
            probe: ({ worker }) => {
                const address = this.addressOf(worker);
                this.outbox.emit({ kind: "upstream-probe", worker, address });
            },
            replaceConnections: (upstream, now) => this.replaceConnections(upstream, now),
        };
    }

    /** Attempts on the old connections are abandoned only if the requests can safely be retried. */
    private replaceConnections(upstream: Upstream, now: number): void {
        this.outbox.emit({ kind: "upstream-replace", worker: upstream.worker });
        upstream.recordReplacement(now);
        for (const request of [...upstream.requests]) {
            if (request.state === "sent" && now - request.sentAt > MIN_RESPONSE_TIMEOUT_MS) {
                this.transition(request, "unresponsive", now);
            }
        }
    }

    private send(request: Request, now: number): void {
        const worker = request.worker!;
        request.attempt += 1;
        request.sentAt = now;
        this.upstream(worker).requests.add(request);
        this.outbox.emit({
            kind: "upstream-send",
            request: request.description.id,
            attempt: request.attempt,
            worker,
            address: this.addressOf(worker),
            deadline: request.description.deadline,
        });
    }

    private addressOf(worker: string): string {
        return this.slots.address(worker);
    }

    private refuse(request: Request, outcome: "not-run" | "unknown", reason: RefusalReason): void {
        const { id } = request.description;
        this.outbox.emit({ kind: "caller-refuse", request: id, outcome, reason, retryAfterMs: RETRY_AFTER_MS });
    }
}

function isWithUpstream(request: Request): boolean {
    return request.state === "sent" || request.state === "relaying";
}

/** A started stream holds a connection but no slot. */
function holdsSlot(request: Request): boolean {
    return request.state === "sent" || (request.state === "relaying" && !request.description.isStreaming);
}
