import { Epoch } from "../../services/common/worker";
import { FenceAsk, FenceReply, Grant, GRANT_LEASE_MS, GrantReply } from "./grant";

interface ShardGrants {
    epoch: Epoch;
    serial: number;
    expiresAt: number;
    grants: Map<string, number>;
}

const NO_GRANTS: ShardGrants = { epoch: -1, serial: 0, expiresAt: Number.NEGATIVE_INFINITY, grants: new Map() };

/** The slots that this instance may use, by shard. */
export class GrantHoldings {
    private readonly shards = new Map<string, ShardGrants>();

    private constructor(
        /** Returns the number of busy slots of a worker. */
        private readonly busySlots: (worker: string, now: number) => number,
    ) {}

    /** @param busySlots Returns how many slots of a worker this instance uses. @returns Holdings without grants. */
    static create(busySlots: (worker: string, now: number) => number): GrantHoldings {
        return new GrantHoldings(busySlots);
    }

    /** @param shard Name of a shard. @returns Epoch and serial of the latest reply that was applied. */
    latestReply(shard: string): { readonly epoch: Epoch; readonly serial: number } {
        const { epoch, serial } = this.shards.get(shard) ?? NO_GRANTS;
        return { epoch, serial };
    }

    /**
     * Applies an owner's reply. A reply of an earlier owner, or one older than a reply already applied, is dropped.
     * @param reply The reply.
     * @param askedAt Time (ms) just before the request was sent.
     */
    applyReply(reply: GrantReply, askedAt: number): void {
        const current = this.shards.get(reply.shard) ?? NO_GRANTS;
        const isNewer = reply.epoch > current.epoch || (reply.epoch === current.epoch && reply.serial > current.serial);
        if (isNewer) {
            // A worker with busy slots stays listed, so that the slots in use are reported to the owner.
            const busyWorkers = [...current.grants.keys()].filter(worker => this.busySlots(worker, askedAt) > 0);
            const grants = new Map(busyWorkers.map(worker => [worker, 0]));
            reply.grants.forEach(grant => grants.set(grant.worker, grant.slots));
            const { epoch, serial } = reply;
            this.shards.set(reply.shard, { epoch, serial, expiresAt: askedAt + GRANT_LEASE_MS, grants });
        }
    }

    /**
     * Handles the request of a new owner. Afterwards replies of lower epochs are rejected; current grants are kept.
     * @param ask The request.
     * @param now Time in ms.
     * @returns The slots held; `undefined` when a later owner is already known.
     */
    fence(ask: FenceAsk, now: number): FenceReply | undefined {
        const current = this.shards.get(ask.shard) ?? { ...NO_GRANTS, grants: new Map<string, number>() };
        if (ask.epoch < current.epoch) {
            return undefined;
        }
        if (ask.epoch > current.epoch) {
            this.shards.set(ask.shard, { ...current, epoch: ask.epoch, serial: 0 });
        }
        return { kind: "fence-reply", shard: ask.shard, epoch: ask.epoch, held: this.held(ask.shard, now) };
    }

    /**
     * @param shard Name of a shard.
     * @param now Time in ms.
     * @returns Slots of the shard's workers that this instance uses or may use.
     */
    held(shard: string, now: number): Grant[] {
        const current = this.shards.get(shard) ?? NO_GRANTS;
        const isExpired = now >= current.expiresAt;
        return [...current.grants]
            .map(([worker, slots]) => ({ worker, slots: Math.max(isExpired ? 0 : slots, this.busySlots(worker, now)) }))
            .filter(grant => grant.slots > 0);
    }

    /**
     * @param shard Name of the worker's shard.
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots of the worker that may be used.
     */
    slots(shard: string, worker: string, now: number): number {
        const current = this.shards.get(shard) ?? NO_GRANTS;
        return now < current.expiresAt ? (current.grants.get(worker) ?? 0) : 0;
    }
}
