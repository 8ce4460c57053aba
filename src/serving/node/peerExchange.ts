import { createClient, createConnectRouter, Client } from "@connectrpc/connect";
import { UniversalHandler } from "../../services/node/connectTypes";
import { PeerReply as ReplyMessage, PeerService } from "../../generated/wigeonstall/v1/peer_pb";
import { createClientTransport } from "../../services/node/connectClient";
import { HttpClient } from "../../services/node/httpClient";
import { PeerAsk, PeerEffect, PeerEvent, PeerReply } from "../common/peerMessages";
import { decodeAsk, decodeReply, encodeAsk, encodeReply } from "./peerCodec";

/** Time within which another instance must reply, in ms. */
const REPLY_TIMEOUT_MS = 2_000;

/** Options of the exchange with other instances. */
export interface PeerExchangeOptions {
    readonly instance: string;
    readonly client: HttpClient;
    /** Scheme of the other instances' addresses. */
    readonly scheme: "http" | "https";
    /** Key that the instances share; empty if none is set. */
    readonly key: string;
    readonly post: (event: PeerEvent) => void;
}

/** Sends requests to other instances, and replies to theirs. */
export class PeerExchange {
    private readonly clients = new Map<string, Client<typeof PeerService>>();
    private readonly resolvers = new Map<number, (reply: ReplyMessage) => void>();
    private nextId = 0;

    private constructor(private readonly options: PeerExchangeOptions) {}

    /** @param options Its options. @returns The exchange. */
    static create(options: PeerExchangeOptions): PeerExchange {
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
                    this.resolvers.set(this.nextId, resolve);
                    this.options.post({ kind: "peer-asked", id: this.nextId, from: message.from, ask });
                }),
        });
        return router.handlers;
    }

    /** Performs an effect. */
    perform(effect: PeerEffect): void {
        if (effect.kind === "peer-reply") {
            this.resolvers.get(effect.id)?.(encodeReply(effect.reply));
            this.resolvers.delete(effect.id);
            return;
        }
        const { call, address, ask } = effect;
        this.call(address, ask).then(
            reply => this.options.post({ kind: "peer-replied", call, reply }),
            () => this.options.post({ kind: "peer-failed", call }),
        );
    }

    private async call(address: string, ask: PeerAsk): Promise<PeerReply> {
        const message = await this.client(address).ask(encodeAsk(this.options.instance, ask));
        return decodeReply(message) ?? { kind: "unavailable", reason: "unknown answer" };
    }

    private client(address: string): Client<typeof PeerService> {
        const { client, scheme, key } = this.options;
        const origin = `${scheme}://${address}`;
        const existing = this.clients.get(origin);
        if (existing !== undefined) {
            return existing;
        }
        const transport = createClientTransport({ client, origin, key, timeoutMs: REPLY_TIMEOUT_MS });
        const created = createClient(PeerService, transport);
        this.clients.set(origin, created);
        return created;
    }
}
