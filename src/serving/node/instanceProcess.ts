import { randomBytes } from "node:crypto";
import { readFile } from "node:fs/promises";
import { AddressInfo, Server } from "node:net";
import { Disposable, toDisposable } from "../../base/common/disposable";
import { DisposableStore } from "../../base/common/disposableStore";
import { Invariants } from "../../base/common/invariants";
import { Loop } from "../../base/node/loop";
import { HttpClient } from "../../services/node/httpClient";
import { Instance } from "../common/instance";
import { InstanceEffect, InstanceEvent } from "../common/instanceEvents";
import { Settings } from "../common/settings";
import { createLogger } from "./logger";
import { MetricsWriter } from "./metricsWriter";
import { Performers } from "./performers";

/** Time between two ticks of the loop, in ms; appends within one tick are batched. */
export const TICK_INTERVAL_MS = 200;

/** Size of the random suffix that makes an instance's name unique for each start. */
const INCARNATION_SUFFIX_BYTES = 3;

/**
 * Time that a shutdown gives a failing log to record the departure, in ms; also the interval of the later checks whether
 * to stop without the record.
 */
const DEPARTURE_CHECK_INTERVAL_MS = 15_000;

/** A running instance: the loop, the decision logic and the performers of its effects. */
export class InstanceProcess implements Disposable {
    private readonly client: HttpClient;
    private readonly loop: Loop<InstanceEvent, InstanceEffect>;
    private readonly performers: Performers;
    private readonly resources = DisposableStore.create();
    private server: Server | undefined;
    private readonly stopped: Promise<void>;
    private resolveStopped: () => void = () => undefined;

    private constructor(
        private readonly settings: Settings,
        readonly instance: Instance,
        metrics: MetricsWriter,
        authority: string | undefined,
    ) {
        const logger = createLogger(settings.log);
        const post = (event: InstanceEvent) => this.loop.post(event);
        this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
        this.client = this.resources.add(HttpClient.create({ ca: authority }));
        this.resources.add(toDisposable(() => metrics.close()));
        this.performers = Performers.create(settings, instance, this.client, metrics, post, () => this.onStopped());
        this.resources.add(this.performers);
        const dispatch = instance.dispatch.bind(instance);
        const perform = (effect: InstanceEffect) => this.performers.perform(effect);
        const onError = (error: unknown) => logger.error("unexpected error", error);
        this.loop = this.resources.add(Loop.create(dispatch, perform, onError));
        instance.shared.auditSource = this.performers.audit;
        instance.shared.taskChanged.event(change => metrics.recordTaskChange(change));
        Invariants.instance.onDidViolate(({ invariant, detail }) => logger.error("invariant", { invariant, detail }));
    }

    /**
     * Creates an instance and starts listening.
     * @param settings Settings of the instance.
     * @returns The running instance.
     * @throws The system error if listening on the address fails.
     */
    static async start(settings: Settings): Promise<InstanceProcess> {
        const incarnation = `${settings.instance}-${randomBytes(INCARNATION_SUFFIX_BYTES).toString("hex")}`;
        const plan = Object.entries(settings.shards).flatMap(([region, count]) =>
            Array.from({ length: count }, (_, index) => ({ name: `${region}-${index}`, region })),
        );
        const { region, failureDomain } = settings;
        const address = settings.advertise ?? settings.listen;
        const instance = Instance.create({ instance: incarnation, address, region, failureDomain }, plan);
        const authority = settings.tls === undefined ? undefined : await readFile(settings.tls.authority, "utf8");
        const metrics = await MetricsWriter.create(settings.metrics);
        const process = new InstanceProcess(settings, instance, metrics, authority);
        await process.listen();
        return process;
    }

    /** Port on which the instance listens. */
    get port(): number {
        return (this.server?.address() as AddressInfo).port;
    }

    /** Resolves when the instance has stopped. */
    get ended(): Promise<void> {
        return this.stopped;
    }

    /** Shuts down gracefully. @returns Resolves when the instance has drained, or after `drainMs`. */
    async stop(): Promise<void> {
        this.loop.post({ kind: "stop" });
        const timer = setTimeout(() => this.onStopped(), this.settings.drainMs);
        const departureCheck = setInterval(() => this.stopWithoutDeparture(), DEPARTURE_CHECK_INTERVAL_MS);
        await this.stopped;
        clearTimeout(timer);
        clearInterval(departureCheck);
        const open = this.instance.shared.openRequests;
        Invariants.instance.check("graceful-stop", open === 0, () => `${open} requests were aborted`);
        await this.closeServer();
        this.dispose();
    }

    /** Stops at once, as a crash would, without notifying other instances. */
    dispose(): void {
        this.resources.dispose();
    }

    private async listen(): Promise<void> {
        const { listen } = this.settings;
        const [host, port] = [listen.slice(0, listen.lastIndexOf(":")), listen.slice(listen.lastIndexOf(":") + 1)];
        const server = await this.performers.createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(port), host, resolve);
        });
        this.server = server;
        this.resources.add(
            toDisposable(() => {
                this.performers.ingress.closeAllConnections();
                server.close();
            }),
        );
        this.instance.start(performance.now()).forEach(effect => this.performers.perform(effect));
        this.loop.startTicking(
            () => ({ kind: "tick" }),
            () => TICK_INTERVAL_MS,
        );
    }

    private onStopped(): void {
        this.resolveStopped();
    }

    /**
     * Stops without recording the departure if appends to the log fail, since other instances cannot be notified then.
     * Requests in flight are still awaited.
     */
    private stopWithoutDeparture(): void {
        const { shared } = this.instance;
        if (shared.ownershipSession.isAppendFailing && shared.openRequests === 0) {
            this.onStopped();
        }
    }

    /** Lets responses in progress complete before their connections are closed. */
    private closeServer(): Promise<void> {
        return new Promise(resolve => {
            this.server?.close(() => resolve());
            this.performers.ingress.drain();
        });
    }
}
