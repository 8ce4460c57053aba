import { Server } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { deriveIngressLimits } from "../../ingress/common/ingressLimits";
import { Ingress } from "../../ingress/node/ingress";
import { HttpClient } from "../../services/node/httpClient";
import { HttpInstanceList } from "../../services/node/httpInstanceList";
import { HttpLogService } from "../../services/node/httpLogService";
import { Instance } from "../common/instance";
import { InstanceEffect, InstanceEvent } from "../common/instanceEvents";
import { Settings } from "../common/settings";
import { AuditTrail } from "./auditTrail";
import { PendingReplies } from "./pendingReplies";
import { FrontEnd } from "./frontEnd";
import { createLogger } from "./logger";
import { LogPerformer } from "./logPerformer";
import { MetricsWriter } from "./metricsWriter";
import { PeerExchange } from "./peerExchange";
import { RequestTable } from "./requestTable";
import { UpstreamPerformer } from "./upstreamPerformer";
import { WorkerPerformer } from "./workerPerformer";

/** Connections of clients where the settings do not bound them. */
const MAX_CONNECTIONS = 4_096;

/** Performs the effects of one instance, each with the performer of its kind. */
export class Performers implements Disposable {
    readonly audit: AuditTrail;
    readonly ingress: Ingress;
    private readonly log: LogPerformer;
    private readonly instanceList: HttpInstanceList;
    private readonly workers: WorkerPerformer;
    private readonly peers: PeerExchange;
    private readonly requests = RequestTable.create();
    private readonly upstreams: UpstreamPerformer;
    private readonly pendingReplies: PendingReplies;

    private constructor(
        private readonly settings: Settings,
        private readonly instance: Instance,
        client: HttpClient,
        private readonly metrics: MetricsWriter,
        private readonly post: (event: InstanceEvent) => void,
        private readonly onStopped: () => void,
    ) {
        const logger = createLogger(settings.log);
        this.audit = AuditTrail.create(entry => logger.info("audit", { ...entry }));
        const limits = deriveIngressLimits(settings.machine, { connections: MAX_CONNECTIONS, ...settings.ingress });
        this.ingress = Ingress.create(limits, count => logger.warn("clients refused", count));
        this.log = LogPerformer.create(HttpLogService.create(settings.platform.log, client), post);
        this.instanceList = HttpInstanceList.create(settings.platform.instances, client, count =>
            logger.warn("malformed entries of service discovery are ignored", { count }),
        );
        this.workers = WorkerPerformer.create(client, post);
        this.peers = PeerExchange.create({
            instance: instance.shared.identity.instance,
            client,
            scheme: settings.tls === undefined ? "http" : "https",
            key: settings.keys.peers,
            post,
        });
        this.upstreams = UpstreamPerformer.create(this.requests, post);
        this.pendingReplies = PendingReplies.create(post);
    }

    static create(
        settings: Settings,
        instance: Instance,
        client: HttpClient,
        metrics: MetricsWriter,
        post: (event: InstanceEvent) => void,
        onStopped: () => void,
    ): Performers {
        return new Performers(settings, instance, client, metrics, post, onStopped);
    }

    createServer(): Promise<Server> {
        const { settings, instance, ingress, requests, pendingReplies, post } = this;
        const peerHandlers = this.peers.handlers;
        const options = { settings, instance, ingress, requests, pendingReplies, peerHandlers, post };
        return FrontEnd.create(options).createServer();
    }

    perform(effect: InstanceEffect): void {
        switch (effect.kind) {
            case "log-append":
            case "log-read-next":
                return this.log.perform(effect);
            case "worker-call":
                return this.workers.perform(effect);
            case "peer-ask":
            case "peer-reply":
                return this.peers.perform(effect);
            case "list-instances":
                return void this.readInstanceList();
            case "api-reply":
                return this.pendingReplies.resolve(effect.id, effect.reply);
            case "audit":
                return this.audit.add(effect.entry);
            case "upstream-send":
                return void this.upstreams.send(effect);
            case "upstream-abort":
                return this.upstreams.abort(effect.request, effect.attempt);
            case "upstream-relay":
                return void this.upstreams.relay(effect.request, effect.attempt);
            case "upstream-probe":
                return void this.upstreams.probe(effect.worker, effect.address);
            case "upstream-replace":
                return this.upstreams.retirePool(effect.worker);
            case "caller-close":
                return this.requests.disconnect(effect.request);
            case "caller-refuse":
                return this.requests.refuse(effect);
            case "request-measured":
                return this.metrics.recordRequest(effect);
            case "stopped":
                return this.onStopped();
        }
    }

    dispose(): void {
        this.ingress.dispose();
        this.upstreams.dispose();
    }

    private async readInstanceList(): Promise<void> {
        const result = await this.instanceList.read();
        this.post(result.ok ? { kind: "instances-listed", listing: result.val } : { kind: "instances-list-failed" });
    }
}
