import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Epoch } from "../../services/common/worker";
import { Lease } from "./lease";
import chartText from "./ownership.chart.yaml";

/** Role of an instance in the ownership of a shard. */
export type OwnershipState =
    "watching" | "claiming" | "fencing" | "adopting" | "owning" | "holdover" | "suspended" | "releasing";

/** Event that can change an instance's role in the ownership of a shard. */
export type OwnershipEvent =
    | "vacant"
    | "claim-won"
    | "claim-lost"
    | "fence-read"
    | "adopted"
    | "lease-expired"
    | "lease-renewed"
    | "holdover-expired"
    | "superseded"
    | "release-due"
    | "released";

type OwnershipGuard = "isPreferred" | "hasLease";
type OwnershipAction = "claim" | "beginOwnership" | "endOwnership" | "release";

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
                "lease-expired",
                "lease-renewed",
                "holdover-expired",
                "superseded",
                "release-due",
                "released",
            ],
            guards: ["isPreferred", "hasLease"],
            actions: ["claim", "beginOwnership", "endOwnership", "release"],
        },
    ),
);

/** States in which the instance is the owner according to the log. */
const HELD_STATES: readonly OwnershipState[] = ["fencing", "adopting", "owning", "holdover", "suspended"];

/** States in which the owner may renew leases of workers and grants of instances. */
const ACTING_STATES: readonly OwnershipState[] = ["adopting", "owning", "holdover"];

/** Executes the decisions of a `ShardOwnership`. */
export abstract class OwnershipHost {
    /** Appends a claim of the shard to the ownership stream. */
    abstract claim(shard: ShardOwnership, now: number): void;
    /** Appends a release of the shard to the ownership stream. */
    abstract release(shard: ShardOwnership, now: number): void;
    /** Called after the state has changed. */
    abstract onDidChangeState(shard: ShardOwnership, from: OwnershipState, now: number): void;
}

/** One instance's role in the ownership of one shard. */
export class ShardOwnership {
    private readonly machine: Machine<number, OwnershipState, OwnershipEvent, OwnershipGuard, OwnershipAction>;
    private heldLease = Lease.none();

    /** Epoch of this instance's successful claim; -1 without one. */
    epoch: Epoch = -1;
    /** Time (ms) when the instance appended its latest claim. */
    claimedAt = 0;
    /** Time (ms) when the owner's latest renewal was read, whichever instance the owner is. */
    renewalSeenAt = Number.NEGATIVE_INFINITY;
    /** Time (ms) after which no earlier owner renews leases or grants. */
    authorityEndsAt = 0;
    /** Time (ms) since which the placement assigns the shard to another instance; `undefined` if it does not. */
    misplacedSince: number | undefined;
    /** Whether the placement assigns the shard to this instance. */
    isPreferredOwner = false;

    private constructor(
        readonly name: string,
        readonly region: string,
        private readonly host: OwnershipHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isPreferred: () => this.isPreferredOwner,
                hasLease: now => this.heldLease.isHeld(now),
            },
            actions: {
                claim: now => {
                    this.claimedAt = now;
                    this.host.claim(this, now);
                },
                beginOwnership: () => (this.misplacedSince = undefined),
                endOwnership: () => {
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
     * @param host Executes the decisions.
     * @returns The ownership in state `watching`.
     */
    static create(name: string, region: string, host: OwnershipHost): ShardOwnership {
        return new ShardOwnership(name, region, host);
    }

    /** State of this instance's role. */
    get state(): OwnershipState {
        return this.machine.state;
    }

    /** Whether this instance is the owner according to the log. */
    get isHeld(): boolean {
        return HELD_STATES.includes(this.state);
    }

    /** Whether this instance may renew leases of workers and grants of instances. */
    get isActing(): boolean {
        return ACTING_STATES.includes(this.state);
    }

    /** The instance's lease of the shard. */
    get lease(): Lease {
        return this.heldLease;
    }

    /** Extends the lease. @param lease Lease from a claim or renewal that the log accepted. */
    extend(lease: Lease): void {
        this.heldLease = this.heldLease.later(lease);
    }

    /**
     * @param event What happened.
     * @param now Time in ms.
     * @returns Whether a transition was taken.
     */
    fire(event: OwnershipEvent, now: number): boolean {
        const from = this.state;
        const isTaken = this.machine.fire(event, now);
        if (isTaken && from !== this.state) {
            this.host.onDidChangeState(this, from, now);
        }
        return isTaken;
    }
}
