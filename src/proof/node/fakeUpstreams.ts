import { RouteEffect, RouteEvent } from "../../routing/common/routeTraffic";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";
import { Network } from "./network";
import { Random } from "./random";
import { Witness } from "./witness";

/** Mean time of a request at an upstream that nothing disturbs, in ms. */
const SERVICE_TIME_MS = 30;

/** Shares of the attempts that go wrong in each way. */
const REFUSED_SHARE = 0.01;
const BROKEN_SHARE = 0.01;
const SILENT_SHARE = 0.005;

/** Longest time that a request is on its way, in ms. */
const MAX_SEND_DELAY_MS = 900;

const PROBE_TIMEOUT_MS = 1_000;

type SendEffect = Extract<RouteEffect, { readonly kind: "upstream-send" }>;

/** What the fake needs to know of a request. */
export interface SentRequest {
    readonly key: string;
    readonly service: string;
}

/** The upstreams as one instance reaches them: slow, refusing, breaking off, or silent. */
export class FakeUpstreams {
    private readonly aborted = new Set<string>();

    private constructor(
        private readonly instance: string,
        private readonly workers: ReadonlyMap<string, SimulatedWorker>,
        private readonly network: Network,
        private readonly random: Random,
        private readonly witness: Witness,
        private readonly find: (request: number) => SentRequest | undefined,
        private readonly post: (event: RouteEvent) => void,
    ) {}

    /** @returns The upstreams as one instance reaches them. */
    static create(
        instance: string,
        workers: ReadonlyMap<string, SimulatedWorker>,
        network: Network,
        random: Random,
        witness: Witness,
        find: (request: number) => SentRequest | undefined,
        post: (event: RouteEvent) => void,
    ): FakeUpstreams {
        return new FakeUpstreams(instance, workers, network, random, witness, find, post);
    }

    private goesWrong(share: number): boolean {
        return !this.network.isSound && this.random.chance(share);
    }

    /** Sends an attempt. */
    send(effect: SendEffect): void {
        const { request, attempt, worker } = effect;
        const refused = () => this.post({ kind: "upstream-failed", request, attempt, certainty: "not-sent" });
        const timeoutMs = effect.deadline - performance.now();
        if (timeoutMs <= 0 || this.network.isCut(this.instance, worker) || this.goesWrong(REFUSED_SHARE)) {
            setTimeout(refused, this.network.delay());
            return;
        }
        const delay = Math.min(MAX_SEND_DELAY_MS, this.network.delay());
        setTimeout(() => this.run(effect), delay);
    }

    /** Closes the connection of an attempt: what has not arrived does not run. */
    abort(request: number, attempt: number): void {
        this.aborted.add(`${request}#${attempt}`);
    }

    /** Passes an answer on: it is whole a moment after its head. */
    relay(request: number, attempt: number): void {
        setTimeout(() => this.post({ kind: "upstream-whole", request, attempt, closing: false }), 1);
    }

    /** Asks for a sign of life. */
    probe(worker: string): void {
        const alive = !this.network.isCut(this.instance, worker);
        const event: RouteEvent = { kind: alive ? "probe-answered" : "probe-failed", worker };
        setTimeout(() => this.post(event), alive ? this.network.delay() : PROBE_TIMEOUT_MS);
    }

    private run(effect: SendEffect): void {
        const { request, attempt, worker: name } = effect;
        const worker = this.workers.get(name);
        const sent = this.find(request);
        if (worker === undefined || sent === undefined || this.aborted.has(`${request}#${attempt}`)) {
            return;
        }
        worker.advance();
        const { services } = worker;
        services.set(sent.service, (services.get(sent.service) ?? 0) + 1);
        this.witness.requestRan(sent.key, name);
        const lasts = Math.min(
            SERVICE_TIME_MS * worker.slowdown(sent.service) * (0.5 + this.random.fraction()),
            effect.deadline - performance.now(),
        );
        setTimeout(() => {
            services.set(sent.service, services.get(sent.service)! - 1);
            this.answer(request, attempt, name);
        }, lasts);
    }

    private answer(request: number, attempt: number, worker: string): void {
        if (this.goesWrong(SILENT_SHARE)) {
            return;
        }
        const broken = this.network.isCut(this.instance, worker) || this.goesWrong(BROKEN_SHARE);
        const event: RouteEvent = broken
            ? { kind: "upstream-failed", request, attempt, certainty: "broken" }
            : { kind: "upstream-head", request, attempt };
        setTimeout(() => this.post(event), this.network.delay());
    }
}
