import { LogEffect, LogEvent, PlacedBatch } from "../../services/common/logEvents";
import { Loop } from "../../base/node/loop";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipManager";
import { WorkerEffect } from "../../services/common/workerEvents";
import { ApiRequest, ApiReply } from "../../serving/common/apiMessages";
import { Instance } from "../../serving/common/instance";
import { InstanceEffect, InstanceEvent } from "../../serving/common/instanceEvents";
import { LogEntry } from "../../serving/common/logEntry";
import { PeerEffect } from "../../serving/common/peerMessages";
import { decodeBatch, encodeBatch } from "../../serving/node/recordCodec";
import { TICK_INTERVAL_MS } from "../../serving/node/instanceProcess";
import { SimulatedUpstreams, SentRequest } from "./simulatedUpstreams";
import { LOG_ENDPOINT } from "./network";
import { SimulatedCluster } from "./simulatedCluster";

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 2_000;

/** Timeout of reading the listing from service discovery, in ms. */
const LISTING_TIMEOUT_MS = 1_000;

type OnReply = (reply: ApiReply) => void;
type OnOutcome = (outcome: "done" | "not-run" | "unknown" | "cut", reason?: string) => void;

/** One instance of a simulated cluster. All its effects are carried out by the simulation. */
export class SimulatedInstance {
    readonly instance: Instance;
    private readonly loop: Loop<InstanceEvent, InstanceEffect>;
    private readonly upstreams: SimulatedUpstreams;
    private readonly replyListeners = new Map<number, OnReply>();
    private readonly requests = new Map<number, SentRequest & { readonly onOutcome: OnOutcome }>();
    private readonly peerReplyListeners = new Map<number, (reply: PeerEffect & { kind: "peer-reply" }) => void>();
    private heldEvents: InstanceEvent[] = [];
    private heldEffects: InstanceEffect[] = [];
    private lastId = 0;
    private paused: "no" | "at-once" | "after-decision" = "no";
    private listingVersion = -1;
    isStopped = false;

    private constructor(
        readonly identity: InstanceIdentity,
        plan: readonly ShardPlan[],
        private readonly cluster: SimulatedCluster,
    ) {
        this.instance = Instance.create(identity, plan);
        this.upstreams = SimulatedUpstreams.create(
            this.name,
            cluster.workers,
            cluster.network,
            cluster.random,
            cluster.checker,
            request => this.requests.get(request),
            event => this.post(event),
        );
        this.loop = Loop.create(
            (event, now, wallNow) => this.instance.dispatch(event, now, wallNow),
            effect => this.performOrHold(effect),
            error => {
                throw error;
            },
        );
        this.instance.start(performance.now()).forEach(effect => this.perform(effect));
        this.loop.startTicking(
            () => ({ kind: "tick" }),
            () => TICK_INTERVAL_MS,
        );
    }

    /** @returns A running instance. */
    static create(
        identity: InstanceIdentity,
        plan: readonly ShardPlan[],
        cluster: SimulatedCluster,
    ): SimulatedInstance {
        return new SimulatedInstance(identity, plan, cluster);
    }

    /** Name of the instance. */
    get name(): string {
        return this.identity.instance;
    }

    /** Whether the instance is paused. */
    get isPaused(): boolean {
        return this.paused !== "no";
    }

    /** Crashes the instance: it stops without any cleanup. */
    crash(): void {
        this.isStopped = true;
        this.loop.dispose();
    }

    /** Starts a graceful shutdown. */
    stop(): void {
        this.post({ kind: "stop" });
    }

    /** Pauses the instance: at once, or after its next decision but before the decision's effects are performed. */
    pause(when: "at-once" | "after-decision"): void {
        this.paused = when;
    }

    /** Resumes a paused instance: performs the held effects, then handles the held events. */
    resume(): void {
        this.paused = "no";
        this.heldEffects.splice(0).forEach(effect => this.perform(effect));
        this.heldEvents.splice(0).forEach(event => this.loop.post(event));
    }

    /** Sends an API request of a client or operator to the instance. */
    callApi(request: Record<string, unknown> & { readonly kind: ApiRequest["kind"] }, onReply: OnReply): void {
        this.lastId += 1;
        this.replyListeners.set(this.lastId, onReply);
        this.post({ ...request, id: this.lastId } as unknown as ApiRequest);
    }

    /** Sends a service request of a client to the instance. */
    request(key: string, service: string, isIdempotent: boolean, deadlineMs: number, onOutcome: OnOutcome): void {
        this.lastId += 1;
        this.requests.set(this.lastId, { key, service, onOutcome });
        this.post({
            kind: "request-received",
            description: {
                id: this.lastId,
                service,
                requestClass: isIdempotent ? "idempotent" : "non-idempotent",
                deadline: performance.now() + deadlineMs,
                bytes: 100,
                isStreaming: false,
            },
        });
    }

    /** Delivers an event, now or when the instance resumes. */
    post(event: InstanceEvent): void {
        if (this.isStopped) {
            return;
        }
        if (this.paused === "at-once" || (this.paused === "after-decision" && this.heldEffects.length > 0)) {
            this.heldEvents.push(event);
        } else {
            this.loop.post(event);
        }
    }

    private performOrHold(effect: InstanceEffect): void {
        if (this.paused === "no") {
            this.perform(effect);
        } else {
            this.heldEffects.push(effect);
        }
    }

    private perform(effect: InstanceEffect): void {
        if (this.isStopped) {
            return;
        }
        switch (effect.kind) {
            case "log-append":
                return this.append(effect);
            case "log-read-next":
                return this.read(effect);
            case "worker-call":
                return this.callWorker(effect);
            case "peer-ask":
                return this.callPeer(effect);
            case "peer-reply":
                this.peerReplyListeners.get(effect.id)?.(effect);
                this.peerReplyListeners.delete(effect.id);
                return;
            case "list-instances":
                return this.readListing();
            case "api-reply":
                this.replyListeners.get(effect.id)?.(effect.reply);
                this.replyListeners.delete(effect.id);
                return;
            case "upstream-send":
                return this.upstreams.send(effect);
            case "upstream-relay":
                this.requests.get(effect.request)?.onOutcome("done");
                return this.upstreams.relay(effect.request, effect.attempt);
            case "upstream-abort":
                return this.upstreams.abort(effect.request, effect.attempt);
            case "upstream-probe":
                return this.upstreams.probe(effect.worker);
            case "caller-refuse":
                return this.requests.get(effect.request)?.onOutcome(effect.outcome, effect.reason);
            case "stopped":
                this.crash();
                return;
        }
    }

    private afterDelay(act: () => void): void {
        setTimeout(() => {
            if (!this.isStopped) {
                act();
            }
        }, this.cluster.network.nextDelayMs());
    }

    private append({ stream, batch }: LogEffect<LogEntry> & { kind: "log-append" }): void {
        const { writer, sequence } = batch;
        const { network, log } = this.cluster;
        const fail = (certainty: "refused" | "unknown"): void =>
            this.post({ kind: "log-append-failed", stream, writer, sequence, certainty });
        const payload = encodeBatch(batch);
        const timer = setTimeout(() => fail("unknown"), CALL_TIMEOUT_MS);
        if (network.isCut(this.name, LOG_ENDPOINT)) {
            return;
        }
        // An append in transit arrives even if its writer crashes meanwhile.
        setTimeout(() => {
            const result = log.appendSync(stream, payload);
            const isReplyLost = network.isCut(this.name, LOG_ENDPOINT);
            if (result.ok && !isReplyLost) {
                const offset = result.val;
                this.afterDelay(() => this.post({ kind: "log-appended", stream, writer, sequence, offset }));
            } else if (!isReplyLost && !result.ok && result.val.kind === "refused") {
                this.afterDelay(() => {
                    clearTimeout(timer);
                    fail("refused");
                });
            }
        }, network.nextDelayMs());
    }

    private read(effect: LogEffect<LogEntry> & { kind: "log-read-next" }): void {
        const { stream, read, waitMs } = effect;
        const { network, log } = this.cluster;
        this.afterDelay(() => {
            const fail = () => this.post({ kind: "log-read-failed", stream, read });
            if (network.isCut(this.name, LOG_ENDPOINT)) {
                setTimeout(fail, CALL_TIMEOUT_MS);
                return;
            }
            const first = log.readSync(stream, effect.from);
            if (first.ok && first.val.records.length === 0) {
                log.waitForAppend(stream, waitMs, () => this.afterDelay(() => this.finishRead(effect)));
            } else {
                this.finishRead(effect);
            }
        });
    }

    private finishRead({ stream, read, from }: LogEffect<LogEntry> & { kind: "log-read-next" }): void {
        const { network, log } = this.cluster;
        const result = log.readSync(stream, from);
        if (network.isCut(this.name, LOG_ENDPOINT)) {
            this.post({ kind: "log-read-failed", stream, read });
        } else if (result.ok) {
            const { records, head } = result.val;
            const batches = records.map(({ offset, payload }): PlacedBatch<LogEntry> => ({
                offset,
                batch: decodeBatch(payload),
            }));
            const event: LogEvent<LogEntry> = {
                kind: "log-read",
                stream,
                read,
                from,
                batches,
                next: from + records.length,
                head,
            };
            this.post(event);
        } else if (result.val.kind === "truncated") {
            this.post({ kind: "log-truncated", stream, read, first: result.val.first });
        } else {
            this.post({ kind: "log-read-failed", stream, read });
        }
    }

    private callWorker({ worker: name, call, lease }: WorkerEffect): void {
        const { network, workers } = this.cluster;
        const postUnreachable = () =>
            this.post({
                kind: "worker-failed",
                worker: name,
                call,
                error: { kind: "unreachable", message: "no response" },
            });
        const timer = setTimeout(postUnreachable, CALL_TIMEOUT_MS);
        if (network.isCut(this.name, name)) {
            return;
        }
        setTimeout(() => {
            const result = workers.get(name)?.exchangeSync(lease);
            if (result === undefined || network.isCut(this.name, name)) {
                return;
            }
            setTimeout(() => {
                clearTimeout(timer);
                this.post(
                    result.ok
                        ? { kind: "worker-answered", worker: name, call, report: result.val }
                        : { kind: "worker-failed", worker: name, call, error: result.val },
                );
            }, network.nextDelayMs());
        }, network.nextDelayMs());
    }

    private callPeer({ call, address, ask }: PeerEffect & { kind: "peer-ask" }): void {
        const { network } = this.cluster;
        const timer = setTimeout(() => this.post({ kind: "peer-failed", call }), CALL_TIMEOUT_MS);
        setTimeout(() => {
            const peer = this.cluster.nodeAt(address);
            if (peer === undefined || network.isCut(this.name, peer.name)) {
                return;
            }
            peer.receivePeerCall(this.name, ask, reply => {
                if (!network.isCut(this.name, peer.name)) {
                    clearTimeout(timer);
                    this.afterDelay(() => this.post({ kind: "peer-replied", call, reply: reply.reply }));
                }
            });
        }, network.nextDelayMs());
    }

    private receivePeerCall(
        from: string,
        ask: (PeerEffect & { kind: "peer-ask" })["ask"],
        onReply: (reply: PeerEffect & { kind: "peer-reply" }) => void,
    ): void {
        this.lastId += 1;
        this.peerReplyListeners.set(this.lastId, onReply);
        this.post({ kind: "peer-asked", id: this.lastId, from, ask });
    }

    private readListing(): void {
        const delayMs = this.cluster.network.nextDelayMs();
        if (delayMs > LISTING_TIMEOUT_MS) {
            setTimeout(() => this.post({ kind: "instances-list-failed" }), LISTING_TIMEOUT_MS);
            return;
        }
        setTimeout(() => {
            const { listing, listingVersion } = this.cluster;
            const hasChanged = listingVersion !== this.listingVersion;
            this.listingVersion = listingVersion;
            this.post({ kind: "instances-listed", listing: hasChanged ? listing : undefined });
        }, delayMs);
    }
}
