import { FenceReply } from "../../coordination/common/grant";
import { ShardContext } from "./shardContext";

/** Time after which a new owner goes on without the workers and instances that have not answered. */
const ADOPTION_PATIENCE_MS = 2_500;

/** Time between two questions to an instance that has not answered. */
const FENCE_RETRY_MS = 1_000;

/** Sends the question what an instance holds. */
export type FenceSender = (instance: string) => void;

/** A new owner finds out what workers and instances hold from earlier owners. */
export class Adoption {
    private readonly unanswered: Set<string>;
    private nextAskAt = 0;

    private constructor(
        private readonly context: ShardContext,
        instances: Iterable<string>,
        private readonly send: FenceSender,
        private startedAt: number,
    ) {
        this.unanswered = new Set(instances);
    }

    /**
     * @param context The shard.
     * @param instances All instances that may hold grants of earlier owners.
     * @param send Sends the question to one of them.
     * @param now Time in ms.
     * @returns The adoption, begun.
     */
    static create(context: ShardContext, instances: Iterable<string>, send: FenceSender, now: number): Adoption {
        const known = new Set(instances);
        const { authorityEndsAt } = context.ownership;
        context.grants.inherit(context.fold.grantLimits(), each => known.has(each), authorityEndsAt, now);
        return new Adoption(context, known, send, now);
    }

    /** Goes on with the adoption after the owner was suspended. @param now Time in ms. @returns The adoption. */
    resume(now: number): this {
        this.startedAt = now;
        return this;
    }

    /** Whether every instance has accounted for what it holds. */
    get isComplete(): boolean {
        return this.unanswered.size === 0;
    }

    /** @param instance Name of an instance. @returns Whether it has not accounted for what it holds. */
    awaits(instance: string): boolean {
        return this.unanswered.has(instance);
    }

    /** Takes in an answer. @param instance Name of the instance. @param now Time in ms. */
    answered(instance: string, reply: FenceReply, now: number): void {
        if (reply.epoch === this.context.ownership.epoch && this.unanswered.delete(instance)) {
            this.context.grants.adopt(instance, reply.held, now);
        }
    }

    /** Notes that an instance has said that it is gone. */
    gone(instance: string, now: number): void {
        this.unanswered.delete(instance);
        this.context.grants.forget(instance, now);
    }

    /** Asks again, and ends the adoption when enough is known. @param now Time in ms. */
    tick(now: number): void {
        if (now >= this.nextAskAt && !this.isComplete) {
            this.nextAskAt = now + FENCE_RETRY_MS;
            this.unanswered.forEach(this.send);
        }
        const met = [...this.context.links.values()].every(link => link.contact === "met");
        if ((met && this.isComplete) || now > this.startedAt + ADOPTION_PATIENCE_MS) {
            this.context.ownership.fire("adopted", now);
        }
    }
}
