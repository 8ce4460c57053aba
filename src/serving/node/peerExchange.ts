import { createClient, createConnectRouter, Client } from "@connectrpc/connect";
import { UniversalHandler } from "../../services/node/connectTypes";
import { PeerReply as ReplyMessage, PeerService } from "../../generated/wigeonstall/v1/peer_pb";
import { createClientTransport } from "../../services/node/connectClient";
import { HttpClient } from "../../services/node/httpClient";
import { PeerAsk, PeerEffect, PeerEvent, PeerReply } from "../common/peerTraffic";
import { decodeAsk, decodeReply, encodeAsk, encodeReply } from "./peerCodec";

/** Time within which another instance must answer, in ms. */
const ANSWER_TIMEOUT_MS = 2_000;

/** What the service between instances needs. */
export interface PeerServiceOptions {
    readonly instance: string;
    readonly client: HttpClient;
    /** Scheme of the other instances' addresses. */
    readonly scheme: "http" | "https";
    /** Key that the instances share; empty without one. */
    readonly key: string;
    readonly post: (event: PeerEvent) => void;
}

/** Asks other instances and answers them. */
export class PeerExchange {
    private readonly clients = new Map<string, Client<typeof PeerService>>();
    private readonly waiting = new Map<number, (reply: ReplyMessage) => void>();
    private nextId = 0;

    private constructor(private readonly options: PeerServiceOptions) {}

    /** @param options What the service needs. @returns The service. */
    static create(options: PeerServiceOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** Handlers of the Connect protocol, for the HTTP server. */
    get handlers(): readonly UniversalHandler[] {
        const router = createConnectRouter({ grpc: false, grpcWeb: false });
        router.service(PeerService, {
            ask: message =>
                new Promise<ReplyMessage>(resolve => {
                    const ask = decodeAsk(message);
                    if (ask === undefined) {
                        resolve(encodeReply({ kind: "unavailable", reason: "unknown question" }));
                        return;
                    }
                    this.nextId += 1;
                    this.waiting.set(this.nextId, resolve);
                    this.options.post({ kind: "peer-asked", id: this.nextId, from: message.from, ask });
                }),
        });
        return router.handlers;
    }

    /** Carries out an effect. */
    perform(effect: PeerEffect): void {
        if (effect.kind === "peer-reply") {
            this.waiting.get(effect.id)?.(encodeReply(effect.reply));
            this.waiting.delete(effect.id);
            return;
        }
        const { call, address, ask } = effect;
        this.ask(address, ask).then(
            reply => this.options.post({ kind: "peer-replied", call, reply }),
            () => this.options.post({ kind: "peer-failed", call }),
        );
    }

    private async ask(address: string, ask: PeerAsk): Promise<PeerReply> {
        const message = await this.client(address).ask(encodeAsk(this.options.instance, ask));
        return decodeReply(message) ?? { kind: "unavailable", reason: "unknown answer" };
    }

    private client(address: string): Client<typeof PeerService> {
        const { client, scheme, key } = this.options;
        const origin = `${scheme}://${address}`;
        const known = this.clients.get(origin);
        if (known !== undefined) {
            return known;
        }
        const transport = createClientTransport({ client, origin, key, timeoutMs: ANSWER_TIMEOUT_MS });
        const created = createClient(PeerService, transport);
        this.clients.set(origin, created);
        return created;
    }
}
