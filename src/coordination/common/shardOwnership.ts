import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Epoch } from "../../services/common/worker";
import { Lease } from "./lease";
import chartText from "./ownership.chart.yaml";

/** Part that an instance has in the ownership of a shard. */
export type OwnershipState =
    "watching" | "claiming" | "fencing" | "adopting" | "owning" | "holdover" | "suspended" | "releasing";

/** What happens to a part in the ownership of a shard. */
export type OwnershipEvent =
    | "vacant"
    | "claim-won"
    | "claim-lost"
    | "fence-read"
    | "adopted"
    | "lease-stale"
    | "lease-renewed"
    | "holdover-over"
    | "superseded"
    | "give-up"
    | "released";

type OwnershipGuard = "isPreferred" | "hasLease";
type OwnershipAction = "claim" | "takeOffice" | "leaveOffice" | "release";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<OwnershipState, OwnershipEvent, OwnershipGuard, OwnershipAction>(
        chartText,
        "ownership.chart.yaml",
        {
            states: ["watching", "claiming", "fencing", "adopting", "owning", "holdover", "suspended", "releasing"],
            events: [
                "vacant",
                "claim-won",
                "claim-lost",
                "fence-read",
                "adopted",
                "lease-stale",
                "lease-renewed",
                "holdover-over",
                "superseded",
                "give-up",
                "released",
            ],
            guards: ["isPreferred", "hasLease"],
            actions: ["claim", "takeOffice", "leaveOffice", "release"],
        },
    ),
);

/** States in which the instance is the owner by the log's order. */
const HELD_STATES: readonly OwnershipState[] = ["fencing", "adopting", "owning", "holdover", "suspended"];

/** States in which the owner may renew what workers and instances hold. */
const ACTING_STATES: readonly OwnershipState[] = ["adopting", "owning", "holdover"];

/** What the ownership of a shard asks of its keeper. */
export abstract class OwnershipHost {
    /** Appends a claim. */
    abstract claim(shard: ShardOwnership, now: number): void;
    /** Appends a release. */
    abstract release(shard: ShardOwnership, now: number): void;
    /** Notes that the state changed. */
    abstract changed(shard: ShardOwnership, from: OwnershipState, now: number): void;
}

/** One instance's part in the ownership of one shard. */
export class ShardOwnership {
    private readonly machine: Machine<number, OwnershipState, OwnershipEvent, OwnershipGuard, OwnershipAction>;
    private heldLease = Lease.none();

    /** Epoch of the claim that was won; -1 without one. */
    epoch: Epoch = -1;
    /** Time (ms) when the instance asked for the claim that is on its way. */
    claimedAt = 0;
    /** Time (ms) when the latest renewal of whoever owns the shard was read. */
    renewalSeenAt = Number.NEGATIVE_INFINITY;
    /** Time (ms) after which no earlier owner renews anything. */
    authorityEndsAt = 0;
    /** Since when (ms) another instance would be the better owner. */
    misplacedSince: number | undefined;
    /** Whether this instance is the one that should own the shard. */
    preferred = false;

    private constructor(
        readonly name: string,
        readonly region: string,
        private readonly host: OwnershipHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isPreferred: () => this.preferred,
                hasLease: now => this.heldLease.isHeld(now),
            },
            actions: {
                claim: now => {
                    this.claimedAt = now;
                    this.host.claim(this, now);
                },
                takeOffice: () => (this.misplacedSince = undefined),
                leaveOffice: () => {
                    this.epoch = -1;
                    this.heldLease = Lease.none();
                },
                release: now => this.host.release(this, now),
            },
        });
    }

    /**
     * @param name Name of the shard.
     * @param region Region whose workers the shard has.
     * @param host Acts on the decisions.
     * @returns The ownership of a shard that is merely watched.
     */
    static create(name: string, region: string, host: OwnershipHost): ShardOwnership {
        return new ShardOwnership(name, region, host);
    }

    /** State of this instance's part. */
    get state(): OwnershipState {
        return this.machine.state;
    }

    /** Whether the log's order makes this instance the owner. */
    get isHeld(): boolean {
        return HELD_STATES.includes(this.state);
    }

    /** Whether this instance may renew what workers and instances hold. */
    get isActing(): boolean {
        return ACTING_STATES.includes(this.state);
    }

    /** The instance's lease of the shard. */
    get lease(): Lease {
        return this.heldLease;
    }

    /** Extends the lease. @param lease Lease that the log's order granted. */
    extend(lease: Lease): void {
        this.heldLease = this.heldLease.later(lease);
    }

    /**
     * @param event What happened.
     * @param now Time in ms.
     * @returns Whether the state or the office changed.
     */
    fire(event: OwnershipEvent, now: number): boolean {
        const from = this.state;
        const taken = this.machine.fire(event, now);
        if (taken && from !== this.state) {
            this.host.changed(this, from, now);
        }
        return taken;
    }
}
