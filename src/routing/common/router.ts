import { Invariants } from "../../base/common/invariant";
import { EffectSink } from "../../base/common/effectSink";
import { ServiceLatency } from "../../coordination/common/grant";
import { LinkBudget } from "./linkBudget";
import { RefusalReason, Request, RequestDescription, RequestEvent, RequestHost } from "./request";
import { RequestUsage } from "./requestUsage";
import { RetryBudget } from "./retryBudget";
import { RouteEffect, RouteEvent } from "./routeTraffic";
import { SlotSource, UpstreamListing } from "./slotSource";
import { Upstream, UpstreamHost } from "./upstream";
import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Requests that may wait for a slot of one service. */
const MAX_WAITING = 256;

/** Longest wait for a slot, in ms. */
const MAX_WAIT_MS = 5_000;

/** When a refused caller should try again, in ms. */
const RETRY_AFTER_MS = 1_000;

/** Shortest time without a head after which an upstream is probed, in ms. */
const MIN_QUIET_MS = 1_000;

/** Mean latencies without a head after which an upstream is probed. */
const QUIET_LATENCIES = 8;

/** How long an upstream that closes its connections gets nothing, in ms. */
const CLOSING_PAUSE_MS = 10_000;

/** Weight of the newest moment in the demand of a service. */
const DEMAND_SMOOTHING = 0.2;

/** Events after which an upstream certainly does not work on a request, or holds no slot for it. */
const ENDS_FOR_CERTAIN: readonly RequestEvent[] = ["whole", "head", "not-sent"];

/** Answers without which a latency is not reported to the owners. */
const MIN_REPORTED_LATENCY_MS = 1;

/** Takes callers' requests to upstreams, within the slots that this instance may use. */
export class Router extends RequestUsage {
    private readonly requests = new Map<number, Request>();
    private readonly waiting = new Map<string, Request[]>();
    private readonly upstreams = new Map<string, Upstream>();
    private readonly closingUntil = new Map<string, number>();
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
     * @param slots Answers which slots may be used.
     * @param choice Chooses among upstreams with a free slot.
     * @param link Budget of the link to the other region.
     * @param outbox Takes the effects.
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
        const given = [...this.upstreams.values()].reduce((sum, each) => sum + each.lingeringCount, 0);
        return this.requests.size + given;
    }

    /** Replaces how upstreams are chosen. */
    useChoice(choice: UpstreamChoice): void {
        this.choice = choice;
    }

    /** Refuses a request that arrives while the instance is stopping. */
    turnAway(description: RequestDescription, now: number): void {
        const request = Request.create(description, now, this.requestHost);
        this.step(request, "overload", now);
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

    /** Takes in an event. @param now Time in ms. */
    handle(event: RouteEvent, now: number): void {
        switch (event.kind) {
            case "request-received":
                return this.receive(event.description, now);
            case "caller-gone":
                return this.fire(event.request, undefined, "caller-gone", now);
            case "upstream-head":
                return this.fire(event.request, event.attempt, "head", now);
            case "upstream-whole":
                this.noteClosing(event.request, event.closing, now);
                return this.fire(event.request, event.attempt, "whole", now);
            case "upstream-failed":
                return this.failAttempt(event.request, event.attempt, event.certainty, now);
            case "probe-answered":
                this.upstreams.get(event.worker)?.fire("probe-answered", now);
                return;
            case "probe-failed":
                this.upstreams.get(event.worker)?.fire("probe-failed", now);
                return;
        }
    }

    /** Acts on the passing of time. @param now Time in ms. */
    tick(now: number): void {
        for (const request of [...this.requests.values()]) {
            if (now >= request.description.deadline) {
                this.step(request, "deadline", now);
            } else if (request.state === "waiting" && now - request.receivedAt > MAX_WAIT_MS) {
                this.step(request, "overload", now);
            }
        }
        for (const upstream of this.upstreams.values()) {
            upstream.tick(now);
            this.noteQuiet(upstream, now);
        }
        this.admitAll(now);
        this.noteDemand();
    }

    private receive(description: RequestDescription, now: number): void {
        const request = Request.create(description, now, this.requestHost);
        this.requests.set(description.id, request);
        this.budget.earn();
        const queue = this.queue(description.service);
        if (queue.length >= MAX_WAITING || this.slots.upstreams(description.service).length === 0) {
            this.step(request, "overload", now);
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
            this.step(request, "admitted", now);
        }
    }

    private options(request: Request, now: number): UpstreamOption[] {
        const { service, bytes } = request.description;
        const free = this.slots
            .upstreams(service)
            .map(listing => this.option(listing, now))
            .filter(option => option.busySlots < option.slots && this.isUsable(option.worker, now));
        const fresh = free.filter(option => !request.avoided.has(option.worker));
        const candidates = fresh.length > 0 ? fresh : free;
        const local = candidates.filter(option => option.isLocal);
        if (local.length > 0) {
            return local;
        }
        return candidates.length > 0 && this.link.spend(bytes, now) ? candidates : [];
    }

    private option(listing: UpstreamListing, now: number): UpstreamOption {
        const upstream = this.upstream(listing.worker);
        return {
            worker: listing.worker,
            isLocal: listing.region === this.region,
            slots: this.slots.slots(listing.worker, now),
            busySlots: upstream.busySlots,
            latencyMs: upstream.latencyMs,
            ageMs: now - upstream.answeredAt,
        };
    }

    private isUsable(worker: string, now: number): boolean {
        return this.upstream(worker).state === "healthy" && now >= (this.closingUntil.get(worker) ?? 0);
    }

    private upstream(worker: string): Upstream {
        const upstream = this.upstreams.get(worker) ?? Upstream.create(worker, this.upstreamHost);
        this.upstreams.set(worker, upstream);
        return upstream;
    }

    private fire(id: number, attempt: number | undefined, event: "caller-gone" | "head" | "whole", now: number): void {
        const request = this.requests.get(id);
        // An answer to an attempt that was given up belongs to nobody.
        if (request === undefined || (attempt !== undefined && attempt !== request.attempt)) {
            return;
        }
        if (event === "head") {
            this.upstream(request.worker!).answered(now - request.sentAt, now);
        }
        this.step(request, event, now);
    }

    private failAttempt(id: number, attempt: number, certainty: "not-sent" | "broken", now: number): void {
        const request = this.requests.get(id);
        if (request === undefined || attempt !== request.attempt) {
            return;
        }
        const { worker } = request;
        request.avoided.add(worker!);
        request.inDoubt ||= certainty === "broken";
        this.step(request, certainty, now);
        this.upstream(worker!).fire("broken", now);
    }

    /** Takes one step of a request, and gives its slot back when the attempt is over. */
    private step(request: Request, event: RequestEvent, now: number): void {
        const upstream = request.worker === undefined ? undefined : this.upstream(request.worker);
        const held = holdsSlot(request);
        request.fire(event, now);
        const keeps = holdsSlot(request);
        if (upstream !== undefined) {
            upstream.heldSlots += Number(keeps) - Number(held);
            if (held && !keeps && !ENDS_FOR_CERTAIN.includes(event)) {
                upstream.linger(request, now);
            }
            this.checkSlots(upstream, held, keeps, now);
            if (!isWithUpstream(request)) {
                upstream.requests.delete(request);
            }
        }
        if (request.isOver) {
            this.finish(request, now);
        }
        if (held && !keeps) {
            this.admit(request.description.service, now);
        }
    }

    private checkSlots(upstream: Upstream, held: boolean, keeps: boolean, now: number): void {
        const holds = held || !keeps || upstream.busySlots <= this.slots.slots(upstream.worker, now);
        Invariants.instance.check("capacity", holds, () => `${upstream.worker} has ${upstream.busySlots} requests`);
    }

    private finish(request: Request, now: number): void {
        const { id, service } = request.description;
        if (this.requests.delete(id)) {
            const outcome = request.state as "done" | "not-run" | "unknown" | "cut";
            Invariants.instance.check(
                "not-run-is-true",
                outcome !== "not-run" || !request.inDoubt,
                () => `request ${id} may have run`,
            );
            this.outbox.emit({ kind: "request-measured", service, outcome, latencyMs: now - request.receivedAt });
        }
    }

    private noteClosing(id: number, closing: boolean, now: number): void {
        const worker = this.requests.get(id)?.worker;
        if (closing && worker !== undefined) {
            this.closingUntil.set(worker, now + CLOSING_PAUSE_MS);
        }
    }

    private noteQuiet(upstream: Upstream, now: number): void {
        const patience = Math.max(MIN_QUIET_MS, QUIET_LATENCIES * upstream.latencyMs);
        const quiet = [...upstream.requests].some(each => each.state === "sent" && now - each.sentAt > patience);
        if (quiet && !upstream.isNewlyReplaced(now)) {
            upstream.fire("quiet", now);
        }
    }

    private noteDemand(): void {
        const busy = new Map<string, number>();
        for (const request of this.requests.values()) {
            const { service } = request.description;
            busy.set(service, (busy.get(service) ?? 0) + 1);
        }
        for (const service of new Set([...busy.keys(), ...this.demands.keys()])) {
            const count = busy.get(service) ?? 0;
            const smoothed = this.demands.get(service) ?? 0;
            this.demands.set(service, Math.max(count, smoothed + DEMAND_SMOOTHING * (count - smoothed)));
        }
    }

    private createRequestHost(): RequestHost {
        const { outbox, budget } = this;
        return {
            send: (request, now) => this.send(request, now),
            abort: request => {
                request.inDoubt = true;
                outbox.emit({ kind: "upstream-abort", request: request.description.id, attempt: request.attempt });
            },
            requeue: request => {
                request.worker = undefined;
                this.queue(request.description.service).unshift(request);
            },
            relay: ({ description: { id }, attempt }) => outbox.emit({ kind: "upstream-relay", request: id, attempt }),
            cutOff: request => outbox.emit({ kind: "caller-cut", request: request.description.id }),
            answerNotRun: (request, reason) => this.refuse(request, "not-run", reason),
            answerUnknown: (request, reason) => this.refuse(request, "unknown", reason),
            spendRepetition: () => budget.spend(),
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

    /** Attempts on the old connections are given up only where repeating them is harmless. */
    private replaceConnections(upstream: Upstream, now: number): void {
        this.outbox.emit({ kind: "upstream-replace", worker: upstream.worker });
        upstream.noteReplaced(now);
        for (const request of [...upstream.requests]) {
            if (request.state === "sent" && now - request.sentAt > MIN_QUIET_MS) {
                this.step(request, "silent", now);
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

/** A stream that has begun holds a connection but no slot. */
function holdsSlot(request: Request): boolean {
    return request.state === "sent" || (request.state === "relaying" && !request.description.streaming);
}
