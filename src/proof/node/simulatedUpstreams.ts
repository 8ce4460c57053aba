import { RouteEffect, RouteEvent } from "../../routing/common/routeEvents";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";
import { Network } from "./network";
import { Random } from "./random";
import { ExecutionChecker } from "./executionChecker";

/** Mean processing time of a request at an upstream without interference, in ms. */
const MEAN_SERVICE_TIME_MS = 30;

/** Ratios of attempts that fail in each way. */
const REFUSED_RATIO = 0.01;
const BROKEN_RATIO = 0.01;
const SILENT_RATIO = 0.005;

/** Maximum time for which a request is in transit, in ms. */
const MAX_SEND_DELAY_MS = 900;

const PROBE_TIMEOUT_MS = 1_000;

type SendEffect = Extract<RouteEffect, { readonly kind: "upstream-send" }>;

/** The properties of a request that the simulation uses. */
export interface SentRequest {
    readonly key: string;
    readonly service: string;
}

/** The upstreams as one instance reaches them. Attempts can be slow, refused, broken off or left without a response. */
export class SimulatedUpstreams {
    private readonly abortedAttempts = new Set<string>();

    private constructor(
        private readonly instance: string,
        private readonly workers: ReadonlyMap<string, SimulatedWorker>,
        private readonly network: Network,
        private readonly random: Random,
        private readonly checker: ExecutionChecker,
        private readonly findRequest: (request: number) => SentRequest | undefined,
        private readonly post: (event: RouteEvent) => void,
    ) {}

    /** @returns The upstreams for one instance. */
    static create(
        instance: string,
        workers: ReadonlyMap<string, SimulatedWorker>,
        network: Network,
        random: Random,
        checker: ExecutionChecker,
        findRequest: (request: number) => SentRequest | undefined,
        post: (event: RouteEvent) => void,
    ): SimulatedUpstreams {
        return new SimulatedUpstreams(instance, workers, network, random, checker, findRequest, post);
    }

    private failsByChance(ratio: number): boolean {
        return !this.network.isReliable && this.random.chance(ratio);
    }

    /** Sends an attempt. */
    send(effect: SendEffect): void {
        const { request, attempt, worker } = effect;
        const postRefusal = () => this.post({ kind: "upstream-failed", request, attempt, certainty: "not-sent" });
        const timeoutMs = effect.deadline - performance.now();
        if (timeoutMs <= 0 || this.network.isCut(this.instance, worker) || this.failsByChance(REFUSED_RATIO)) {
            setTimeout(postRefusal, this.network.nextDelayMs());
            return;
        }
        const delayMs = Math.min(MAX_SEND_DELAY_MS, this.network.nextDelayMs());
        setTimeout(() => this.startRequest(effect), delayMs);
    }

    /** Closes the connection of an attempt; a request that has not arrived yet does not run. */
    abort(request: number, attempt: number): void {
        this.abortedAttempts.add(`${request}#${attempt}`);
    }

    /** Relays a response; its body is complete 1 ms after its head. */
    relay(request: number, attempt: number): void {
        setTimeout(() => this.post({ kind: "upstream-response-complete", request, attempt, isClosing: false }), 1);
    }

    /** Probes the health of a worker. */
    probe(worker: string): void {
        const isReachable = !this.network.isCut(this.instance, worker);
        const event: RouteEvent = { kind: isReachable ? "probe-answered" : "probe-failed", worker };
        setTimeout(() => this.post(event), isReachable ? this.network.nextDelayMs() : PROBE_TIMEOUT_MS);
    }

    private startRequest(effect: SendEffect): void {
        const { request, attempt, worker: name } = effect;
        const worker = this.workers.get(name);
        const sent = this.findRequest(request);
        if (worker === undefined || sent === undefined || this.abortedAttempts.has(`${request}#${attempt}`)) {
            return;
        }
        worker.updateAttempts();
        const { busySlots } = worker;
        busySlots.set(sent.service, (busySlots.get(sent.service) ?? 0) + 1);
        this.checker.onRequestStarted(sent.key, name);
        const durationMs = Math.min(
            MEAN_SERVICE_TIME_MS * worker.slowdown(sent.service) * (0.5 + this.random.fraction()),
            effect.deadline - performance.now(),
        );
        setTimeout(() => {
            busySlots.set(sent.service, busySlots.get(sent.service)! - 1);
            this.finishRequest(request, attempt, name);
        }, durationMs);
    }

    private finishRequest(request: number, attempt: number, worker: string): void {
        if (this.failsByChance(SILENT_RATIO)) {
            return;
        }
        const isBroken = this.network.isCut(this.instance, worker) || this.failsByChance(BROKEN_RATIO);
        const event: RouteEvent = isBroken
            ? { kind: "upstream-failed", request, attempt, certainty: "broken" }
            : { kind: "upstream-response-started", request, attempt };
        setTimeout(() => this.post(event), this.network.nextDelayMs());
    }
}
