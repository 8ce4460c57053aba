import { create } from "@bufbuild/protobuf";
import { toCase, toKind, toPlain } from "../../services/common/kindCase";
import * as generated from "../../generated/wigeonstall/v1/peer_pb";
import { PeerAsk, PeerReply } from "../common/peerMessages";

/** Encodes a request. @param from Name of the sending instance. @param ask The request. */
export function encodeAsk(from: string, ask: PeerAsk): generated.PeerAsk {
    const { kind, ...value } = ask;
    const message = { case: toCase(kind), value };
    return create(generated.PeerAskSchema, { from, message } as unknown as generated.PeerAsk);
}

/** Decodes a request. @returns The request; `undefined` if this version does not support its kind. */
export function decodeAsk(message: generated.PeerAsk): PeerAsk | undefined {
    return decodeMessage(message.message) as PeerAsk | undefined;
}

/** Encodes a reply. */
export function encodeReply(reply: PeerReply): generated.PeerReply {
    const { kind, ...value } = reply;
    const message = { case: toCase(kind), value };
    return create(generated.PeerReplySchema, { message } as unknown as generated.PeerReply);
}

/** Decodes a reply. @returns The reply; `undefined` if this version does not support its kind. */
export function decodeReply(message: generated.PeerReply): PeerReply | undefined {
    const reply = decodeMessage(message.message) as PeerReply | undefined;
    if (reply?.kind === "task-list-reply") {
        return { ...reply, tasks: reply.tasks.map(task => ({ ...task, kind: "task-reply" })) };
    }
    return reply;
}

function decodeMessage(message: { readonly case: string | undefined; readonly value?: unknown }): unknown {
    if (message.case === undefined) {
        return undefined;
    }
    return { kind: toKind(message.case), ...(toPlain(message.value) as object) };
}
