import { FenceReply } from "../../coordination/common/grant";
import { ShardContext } from "./shardContext";

/** Time after which a new owner proceeds without the workers and instances that have not responded. */
const ADOPTION_TIMEOUT_MS = 2_500;

/** Time between two requests to an instance that has not responded. */
const FENCE_RETRY_INTERVAL_MS = 1_000;

/** Asks an instance which grants it holds. */
export type FenceSender = (instance: string) => void;

/** Takeover of a shard: collects what workers and instances hold from earlier owners. */
export class Adoption {
    private readonly unanswered: Set<string>;
    private nextFenceAt = 0;

    private constructor(
        private readonly context: ShardContext,
        instances: Iterable<string>,
        private readonly sendFence: FenceSender,
        private startedAt: number,
    ) {
        this.unanswered = new Set(instances);
    }

    /**
     * @param context The shard.
     * @param instances All instances that may hold grants of earlier owners.
     * @param sendFence Asks one of them which grants it holds.
     * @param now Time in ms.
     * @returns An adoption in progress.
     */
    static create(context: ShardContext, instances: Iterable<string>, sendFence: FenceSender, now: number): Adoption {
        const known = new Set(instances);
        const { authorityEndsAt } = context.ownership;
        context.grants.restoreLimits(context.fold.grantLimits(), each => known.has(each), authorityEndsAt, now);
        return new Adoption(context, known, sendFence, now);
    }

    /** Resumes after the owner was suspended; restarts the timeout. @param now Time in ms. @returns This adoption. */
    resume(now: number): this {
        this.startedAt = now;
        return this;
    }

    /** Whether every instance has reported its grants. */
    get isComplete(): boolean {
        return this.unanswered.size === 0;
    }

    /** @param instance Name of an instance. @returns Whether it has not reported its grants yet. */
    isAwaiting(instance: string): boolean {
        return this.unanswered.has(instance);
    }

    /** Handles an instance's report of its grants. @param instance Name of the instance. @param now Time in ms. */
    handleReply(instance: string, reply: FenceReply, now: number): void {
        if (reply.epoch === this.context.ownership.epoch && this.unanswered.delete(instance)) {
            this.context.grants.applyHeldGrants(instance, reply.held, now);
        }
    }

    /** Handles the end of an instance. @param instance Name of the instance. @param now Time in ms. */
    handleInstanceGone(instance: string, now: number): void {
        this.unanswered.delete(instance);
        this.context.grants.removeInstance(instance, now);
    }

    /**
     * Repeats requests that are unanswered, and completes the adoption once all have responded or the timeout has
     * passed.
     * @param now Time in ms.
     */
    tick(now: number): void {
        if (now >= this.nextFenceAt && !this.isComplete) {
            this.nextFenceAt = now + FENCE_RETRY_INTERVAL_MS;
            this.unanswered.forEach(this.sendFence);
        }
        const isEveryWorkerReachable = [...this.context.contacts.values()].every(
            contact => contact.state === "reachable",
        );
        if ((isEveryWorkerReachable && this.isComplete) || now > this.startedAt + ADOPTION_TIMEOUT_MS) {
            this.context.ownership.fire("adopted", now);
        }
    }
}
