import { Epoch } from "../../services/common/worker";
import { FenceAsk, FenceReply, Grant, GRANT_LEASE_MS, GrantReply } from "./grant";

interface ShardGrants {
    epoch: Epoch;
    serial: number;
    until: number;
    grants: Map<string, number>;
}

const NOTHING: ShardGrants = { epoch: -1, serial: 0, until: Number.NEGATIVE_INFINITY, grants: new Map() };

/** The slots that this instance may use, by shard. */
export class GrantHoldings {
    private readonly shards = new Map<string, ShardGrants>();

    private constructor(
        /** Answers how many slots of a worker are busy. */
        private readonly busy: (worker: string, now: number) => number,
    ) {}

    /** @param busy Answers how many slots of a worker this instance uses. @returns Holdings without grants. */
    static create(busy: (worker: string, now: number) => number): GrantHoldings {
        return new GrantHoldings(busy);
    }

    /** @param shard Name of a shard. @returns Epoch and serial of the latest reply taken in. */
    position(shard: string): { readonly epoch: Epoch; readonly serial: number } {
        const { epoch, serial } = this.shards.get(shard) ?? NOTHING;
        return { epoch, serial };
    }

    /**
     * Takes in an owner's reply. One of an earlier owner, or one that a later reply has overtaken, is dropped.
     * @param reply The reply.
     * @param askedAt Time (ms) before the question was sent.
     */
    take(reply: GrantReply, askedAt: number): void {
        const known = this.shards.get(reply.shard) ?? NOTHING;
        const newer = reply.epoch > known.epoch || (reply.epoch === known.epoch && reply.serial > known.serial);
        if (newer) {
            // A worker that is still busy stays listed, so that the owner hears of the slots in use.
            const busy = [...known.grants.keys()].filter(worker => this.busy(worker, askedAt) > 0);
            const grants = new Map(busy.map(worker => [worker, 0]));
            reply.grants.forEach(grant => grants.set(grant.worker, grant.slots));
            const { epoch, serial } = reply;
            this.shards.set(reply.shard, { epoch, serial, until: askedAt + GRANT_LEASE_MS, grants });
        }
    }

    /**
     * Answers a new owner. From then on only grants of its epoch are taken, and what is held stays as it is.
     * @param ask The question.
     * @param now Time in ms.
     * @returns What is held; `undefined` when the owner has itself been followed by another.
     */
    fence(ask: FenceAsk, now: number): FenceReply | undefined {
        const known = this.shards.get(ask.shard) ?? { ...NOTHING, grants: new Map<string, number>() };
        if (ask.epoch < known.epoch) {
            return undefined;
        }
        if (ask.epoch > known.epoch) {
            this.shards.set(ask.shard, { ...known, epoch: ask.epoch, serial: 0 });
        }
        return { kind: "fence-reply", shard: ask.shard, epoch: ask.epoch, held: this.held(ask.shard, now) };
    }

    /**
     * @param shard Name of a shard.
     * @param now Time in ms.
     * @returns What this instance uses or may use there.
     */
    held(shard: string, now: number): Grant[] {
        const known = this.shards.get(shard) ?? NOTHING;
        const lapsed = now >= known.until;
        return [...known.grants]
            .map(([worker, slots]) => ({ worker, slots: Math.max(lapsed ? 0 : slots, this.busy(worker, now)) }))
            .filter(grant => grant.slots > 0);
    }

    /**
     * @param shard Name of the worker's shard.
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots of the worker that may be used.
     */
    slots(shard: string, worker: string, now: number): number {
        const known = this.shards.get(shard) ?? NOTHING;
        return now < known.until ? (known.grants.get(worker) ?? 0) : 0;
    }
}
