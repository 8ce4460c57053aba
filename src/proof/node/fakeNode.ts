import { LogEffect, LogEvent, PlacedBatch } from "../../services/common/logTraffic";
import { Loop } from "../../base/node/loop";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipKeeper";
import { WorkerEffect } from "../../services/common/workerTraffic";
import { DeskEvent, DeskReply } from "../../serving/common/deskTraffic";
import { Instance } from "../../serving/common/instance";
import { InstanceEffect, InstanceEvent } from "../../serving/common/instanceTraffic";
import { LogEntry } from "../../serving/common/logEntry";
import { PeerEffect } from "../../serving/common/peerTraffic";
import { decodeBatch, encodeBatch } from "../../serving/node/recordCodec";
import { TICK_MS } from "../../serving/node/instanceProcess";
import { FakeUpstreams, SentRequest } from "./fakeUpstreams";
import { LOG_END } from "./network";
import { World } from "./world";

/** Time after which a call without an answer has failed, in ms. */
const CALL_TIMEOUT_MS = 2_000;

/** Time after which a reading of the platform's list has failed, in ms. */
const LIST_TIMEOUT_MS = 1_000;

type ReplyListener = (reply: DeskReply) => void;
type OutcomeListener = (outcome: "done" | "not-run" | "unknown" | "cut", reason?: string) => void;

/** One instance in the world of a trial, with fakes at all of its interfaces. */
export class FakeNode {
    readonly instance: Instance;
    private readonly loop: Loop<InstanceEvent, InstanceEffect>;
    private readonly upstreams: FakeUpstreams;
    private readonly replies = new Map<number, ReplyListener>();
    private readonly requests = new Map<number, SentRequest & { readonly onOutcome: OutcomeListener }>();
    private readonly peerReplies = new Map<number, (reply: PeerEffect & { kind: "peer-reply" }) => void>();
    private inbox: InstanceEvent[] = [];
    private heldEffects: InstanceEffect[] = [];
    private lastId = 0;
    private paused: "no" | "at-once" | "after-decision" = "no";
    private listVersion = -1;
    isDead = false;

    private constructor(
        readonly identity: InstanceIdentity,
        plan: readonly ShardPlan[],
        private readonly world: World,
    ) {
        this.instance = Instance.create(identity, plan);
        this.upstreams = FakeUpstreams.create(
            this.name,
            world.workers,
            world.network,
            world.random,
            world.witness,
            request => this.requests.get(request),
            event => this.post(event),
        );
        this.loop = Loop.create(
            (event, now, wallNow) => this.instance.dispatch(event, now, wallNow),
            effect => this.hold(effect),
        );
        this.instance.start(performance.now()).forEach(effect => this.perform(effect));
        this.loop.startTicking({ kind: "tick" }, TICK_MS);
    }

    /** @returns A running instance. */
    static create(identity: InstanceIdentity, plan: readonly ShardPlan[], world: World): FakeNode {
        return new FakeNode(identity, plan, world);
    }

    /** Name of the instance. */
    get name(): string {
        return this.identity.instance;
    }

    /** Whether the instance is paused. */
    get isPaused(): boolean {
        return this.paused !== "no";
    }

    /** Ends the instance as a crash does. */
    crash(): void {
        this.isDead = true;
        this.loop.dispose();
    }

    /** Begins a graceful shutdown. */
    stop(): void {
        this.post({ kind: "stop" });
    }

    /** Freezes the instance: at once, or after its next decision and before what it decided is sent. */
    pause(how: "at-once" | "after-decision"): void {
        this.paused = how;
    }

    /** Lets a frozen instance go on. */
    resume(): void {
        this.paused = "no";
        this.heldEffects.splice(0).forEach(effect => this.perform(effect));
        this.inbox.splice(0).forEach(event => this.loop.post(event));
    }

    /** Takes a wish to the instance. */
    wish(wish: Record<string, unknown> & { readonly kind: DeskEvent["kind"] }, onReply: ReplyListener): void {
        this.lastId += 1;
        this.replies.set(this.lastId, onReply);
        this.post({ ...wish, id: this.lastId } as unknown as DeskEvent);
    }

    /** Takes a caller's request to the instance. */
    request(key: string, service: string, idempotent: boolean, deadlineMs: number, onOutcome: OutcomeListener): void {
        this.lastId += 1;
        this.requests.set(this.lastId, { key, service, onOutcome });
        this.post({
            kind: "request-received",
            description: {
                id: this.lastId,
                service,
                requestClass: idempotent ? "idempotent" : "non-idempotent",
                deadline: performance.now() + deadlineMs,
                bytes: 100,
                streaming: false,
            },
        });
    }

    /** Delivers an event, now or when the instance goes on. */
    post(event: InstanceEvent): void {
        if (this.isDead) {
            return;
        }
        if (this.paused === "at-once" || (this.paused === "after-decision" && this.heldEffects.length > 0)) {
            this.inbox.push(event);
        } else {
            this.loop.post(event);
        }
    }

    private hold(effect: InstanceEffect): void {
        if (this.paused === "no") {
            this.perform(effect);
        } else {
            this.heldEffects.push(effect);
        }
    }

    private perform(effect: InstanceEffect): void {
        if (this.isDead) {
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
                return this.askPeer(effect);
            case "peer-reply":
                this.peerReplies.get(effect.id)?.(effect);
                this.peerReplies.delete(effect.id);
                return;
            case "list-instances":
                return this.readList();
            case "desk-reply":
                this.replies.get(effect.id)?.(effect.reply);
                this.replies.delete(effect.id);
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

    private later(act: () => void): void {
        setTimeout(() => {
            if (!this.isDead) {
                act();
            }
        }, this.world.network.delay());
    }

    private append({ stream, batch }: LogEffect<LogEntry> & { kind: "log-append" }): void {
        const { writer, sequence } = batch;
        const { network, log } = this.world;
        const fail = (certainty: "refused" | "unknown"): void =>
            this.post({ kind: "log-append-failed", stream, writer, sequence, certainty });
        const payload = encodeBatch(batch);
        const timer = setTimeout(() => fail("unknown"), CALL_TIMEOUT_MS);
        if (network.isCut(this.name, LOG_END)) {
            return;
        }
        // An append that is on its way arrives even when its writer has died meanwhile.
        setTimeout(() => {
            const result = log.appendNow(stream, payload);
            const lost = network.isCut(this.name, LOG_END);
            if (result.ok && !lost) {
                const offset = result.val;
                this.later(() => this.post({ kind: "log-appended", stream, writer, sequence, offset }));
            } else if (!lost && !result.ok && result.val.kind === "refused") {
                this.later(() => {
                    clearTimeout(timer);
                    fail("refused");
                });
            }
        }, network.delay());
    }

    private read(effect: LogEffect<LogEntry> & { kind: "log-read-next" }): void {
        const { stream, read, waitMs } = effect;
        const { network, log } = this.world;
        this.later(() => {
            const fail = () => this.post({ kind: "log-read-failed", stream, read });
            if (network.isCut(this.name, LOG_END)) {
                setTimeout(fail, CALL_TIMEOUT_MS);
                return;
            }
            const first = log.readNow(stream, effect.from);
            if (first.ok && first.val.records.length === 0) {
                log.onceChanged(stream, waitMs, () => this.later(() => this.answerRead(effect)));
            } else {
                this.answerRead(effect);
            }
        });
    }

    private answerRead({ stream, read, from }: LogEffect<LogEntry> & { kind: "log-read-next" }): void {
        const { network, log } = this.world;
        const result = log.readNow(stream, from);
        if (network.isCut(this.name, LOG_END)) {
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
        const { network, workers } = this.world;
        const unreachable = () =>
            this.post({
                kind: "worker-failed",
                worker: name,
                call,
                error: { kind: "unreachable", message: "no answer" },
            });
        const timer = setTimeout(unreachable, CALL_TIMEOUT_MS);
        if (network.isCut(this.name, name)) {
            return;
        }
        setTimeout(() => {
            const result = workers.get(name)?.exchangeNow(lease);
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
            }, network.delay());
        }, network.delay());
    }

    private askPeer({ call, address, ask }: PeerEffect & { kind: "peer-ask" }): void {
        const { network } = this.world;
        const timer = setTimeout(() => this.post({ kind: "peer-failed", call }), CALL_TIMEOUT_MS);
        setTimeout(() => {
            const peer = this.world.nodeAt(address);
            if (peer === undefined || network.isCut(this.name, peer.name)) {
                return;
            }
            peer.asked(this.name, ask, reply => {
                if (!network.isCut(this.name, peer.name)) {
                    clearTimeout(timer);
                    this.later(() => this.post({ kind: "peer-replied", call, reply: reply.reply }));
                }
            });
        }, network.delay());
    }

    private asked(
        from: string,
        ask: (PeerEffect & { kind: "peer-ask" })["ask"],
        onReply: (reply: PeerEffect & { kind: "peer-reply" }) => void,
    ): void {
        this.lastId += 1;
        this.peerReplies.set(this.lastId, onReply);
        this.post({ kind: "peer-asked", id: this.lastId, from, ask });
    }

    private readList(): void {
        const delay = this.world.network.delay();
        if (delay > LIST_TIMEOUT_MS) {
            setTimeout(() => this.post({ kind: "instances-unlisted" }), LIST_TIMEOUT_MS);
            return;
        }
        setTimeout(() => {
            const { listing, listVersion } = this.world;
            const changed = listVersion !== this.listVersion;
            this.listVersion = listVersion;
            this.post({ kind: "instances-listed", listing: changed ? listing : undefined });
        }, delay);
    }
}
