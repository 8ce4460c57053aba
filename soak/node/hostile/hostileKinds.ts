import { EndlessBody } from "./endlessBody";
import { HeldBody } from "./heldBody";
import { HostileClient, HostileTarget } from "./hostileClient";
import { PartialHeader } from "./partialHeader";
import { PipelinedRequests } from "./pipelinedRequests";
import { SlowSender } from "./slowSender";
import { WholeBody } from "./wholeBody";

const PARTIAL_HEADER_BYTES = 15_000;

/** @param size Size of the text. @param unit What it repeats. @returns A text of at most that size. */
function repeat(size: number, start: string, unit: string, end: string): Buffer {
    return Buffer.from(start + unit.repeat(Math.floor((size - start.length - end.length) / unit.length)) + end);
}

/**
 * @param maxBodyBytes Largest legal size of a body.
 * @returns What creates a client of each kind, by the kind's name.
 */
export function hostileKinds(maxBodyBytes: number): Readonly<Record<string, (target: HostileTarget) => HostileClient>> {
    const fields = repeat(maxBodyBytes, `{"a":1`, `,"b":1`, "}");
    const depth = Math.floor(maxBodyBytes / 2);
    const nesting = Buffer.from("[".repeat(depth) + "]".repeat(depth));
    const steps = repeat(maxBodyBytes, `{"steps":[0`, ",0", "]}");
    return {
        "bodies one byte short, in one piece": target => HeldBody.create(target, "whole", maxBodyBytes),
        "bodies one byte short, in small pieces": target => HeldBody.create(target, "small", maxBodyBytes),
        "bodies short of their end, in small chunks": target => HeldBody.create(target, "chunked", maxBodyBytes),
        "bodies that stop half-way": target => HeldBody.create(target, "whole", maxBodyBytes, maxBodyBytes / 2),
        "endless bodies of an announced length": target => EndlessBody.create(target, "length"),
        "endless bodies in chunks": target => EndlessBody.create(target, "chunked"),
        "bodies of very many short fields": target => WholeBody.create(target, fields),
        "bodies of very many malformed steps": target => WholeBody.create(target, steps),
        "bodies of deep nesting": target => WholeBody.create(target, nesting),
        "requests sent ahead without reading answers": target => PipelinedRequests.create(target, "none"),
        "requests sent ahead with slow reading": target => PipelinedRequests.create(target, "slow"),
        "slow senders": target => SlowSender.create(target, maxBodyBytes),
        "partial headers": target => PartialHeader.create(target, PARTIAL_HEADER_BYTES),
        "idle connections": target => PartialHeader.create(target, 0),
    };
}
