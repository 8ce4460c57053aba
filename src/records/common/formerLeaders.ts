import { withDrift } from "../../coordination/common/duration";
import { HostProcess, HostTable } from "./hostTable";
import { LeaseBound, RenewalRecord } from "./renewalRecord";
import { WitnessClocks } from "./witnessClocks";

/**
 * Time after a leader has sent a renewal by which all leases have ended that it has extended on it, in ms of the workers' clocks. It
 * bounds how long a task waits whose worker is lost together with the leader, and for how long leases outlast an outage of the store.
 */
export const LEASE_HORIZON_MS = 6_500;

/**
 * The same for a leader that has raised its fence since, in ms: for so long leases outlast an outage of the store. It is at most
 * `RAISE_AFTER_MS` longer, so that a renewal which is made after the fence is raised covers them.
 */
export const OUTAGE_HORIZON_MS = 10_500;

/** Time after its latest renewal during which a leader of a version that states no such bound extends leases to the longest, in ms. */
export const UNSTATED_WINDOW_MS = 8_000;

/** What instances know of leases beyond one leader. */
export interface LeaseKnowledge {
    /** The latest incarnations, which show that former ones have ended. */
    readonly hosts: HostTable;
    /** Clocks by which renewals are dated. */
    readonly clocks: WitnessClocks;
    /** Longest lease that a worker accepts, in ms. */
    readonly longestLeaseMs: number;
}

/** A leader as its record shows it. */
export interface KnownLeader extends HostProcess {
    readonly epoch: number;
    /** Time (ms) at which its latest record was read; a later one may be unread if the next leader was seen during a load. */
    readonly readAt: number;
    /** Whether its renewals state by when its leases end. Earlier versions state nothing. */
    readonly statesLeases: boolean;
    /** Whether it extends leases by the age of its renewals; versions before do so after any append. */
    readonly isBoundByRenewals: boolean;
}

/**
 * What shows when the leases of former leaders end. `none`: there was no leader. `renewal`: the latest renewal. `ended`: the process of
 * the leader has ended. `unstated`: the last leader is of a version that states nothing. `unbound`: it is of one that is not
 * bound by its renewals.
 */
export type FormerLeaseBasis = "none" | "renewal" | "ended" | "unstated" | "unbound";

interface FormerLease {
    readonly basis: FormerLeaseBasis;
    /** Time (ms) by which all leases of the leader have ended. */
    readonly endsBy: number;
    /** What was stated of them. */
    readonly bound: LeaseBound | undefined;
}

interface KnownRenewal {
    readonly epoch: number;
    readonly renewal: RenewalRecord;
    /** Time (ms) at which it was read. */
    readonly readAt: number;
}

/** Epochs of which leaders and renewals are kept: the present one and the one before it. */
const KEPT_EPOCHS = 2;

/** The leaders before an epoch, as far as leases that they extended may last. */
export class FormerLeaders {
    private leaders: readonly KnownLeader[] = [];
    private renewals: readonly KnownRenewal[] = [];
    /** Time (ms) at which the latest renewal was read, if it cannot be decoded. */
    private unreadableAt: number | undefined;
    /** Epochs of leaders that have not raised their fences since their latest renewal, and cannot. */
    private readonly unraised = new Set<number>();

    private constructor(private readonly knowledge: LeaseKnowledge) {}

    /** @param knowledge What is known of leases. @returns No former leaders. */
    static create(knowledge: LeaseKnowledge): FormerLeaders {
        return new FormerLeaders(knowledge);
    }

    /** Records a leader as its latest record shows it. The offset of its first record is kept. */
    recordLeader(leader: KnownLeader): void {
        const offset = this.leaders.find(each => each.epoch === leader.epoch)?.offset ?? leader.offset;
        this.leaders = replace(this.leaders, { ...leader, offset });
    }

    /** Records a renewal. @param readAt Time (ms) at which it was read. */
    recordRenewal(renewal: RenewalRecord, readAt: number): void {
        this.renewals = replace(this.renewals, { epoch: renewal.epoch, renewal, readAt });
    }

    /** Records that the latest renewal cannot be decoded, as one of a later version. @param readAt Time (ms) at which it was read. */
    recordUnreadable(readAt: number): void {
        this.unreadableAt = readAt;
    }

    /** Records that a leader has not raised its fence since its latest renewal, and cannot. @param epoch Its epoch. */
    recordUnraised(epoch: number): void {
        this.unraised.add(epoch);
    }

    /** @param epoch An epoch. @returns The latest renewal of a leader before it, if there is one. */
    renewalBefore(epoch: number): RenewalRecord | undefined {
        return this.latestBefore(epoch)?.renewal;
    }

    /**
     * @param epoch An epoch.
     * @returns Time (ms) by which all leases have ended that leaders before it extended. It is earlier once a witness has been reached,
     * or a process is known to have ended. `undefined` if the last one is not bound by its renewals.
     */
    leasesEndBy(epoch: number): number | undefined {
        const leases = this.leasesBefore(epoch);
        return leases && Math.max(Number.NEGATIVE_INFINITY, ...leases.map(each => each.endsBy));
    }

    /** @param epoch An epoch. @returns What shows when the lease ends that ends last of those before it. */
    basis(epoch: number): FormerLeaseBasis {
        const leases = this.leasesBefore(epoch);
        if (leases === undefined) {
            return "unbound";
        }
        return leases.length === 0 ? "none" : leases.reduce((a, b) => (a.endsBy > b.endsBy ? a : b)).basis;
    }

    /**
     * @param epoch An epoch.
     * @param now Time in ms.
     * @returns Bounds of the leaders before it whose leases may last, as of now.
     */
    bounds(epoch: number, now: number): LeaseBound[] {
        const { clocks } = this.knowledge;
        const restate = ({ endsBy, bound }: FormerLease) =>
            bound === undefined || bound.witnesses.length === 0 || clocks.includesAny(bound.witnesses)
                ? { leaseMs: Math.ceil(endsBy - now), witnesses: clocks.readings(now) }
                : bound;
        return (this.leasesBefore(epoch) ?? []).filter(each => each.endsBy > now).map(restate);
    }

    private leasesBefore(epoch: number): FormerLease[] | undefined {
        const leader = this.leaders.filter(each => each.epoch < epoch).at(-1);
        const known = this.latestBefore(epoch);
        if (leader?.isBoundByRenewals === false) {
            return undefined;
        }
        const leases: FormerLease[] = [];
        if (leader?.statesLeases === false) {
            leases.push(this.endWithProcess(this.unstatedLease(leader.readAt), leader));
        }
        if (this.unreadableAt !== undefined) {
            leases.push(this.unstatedLease(this.unreadableAt));
        }
        if (known !== undefined) {
            const { renewal, readAt } = known;
            const { leaseMs, extendedMs, witnesses } = renewal;
            const ownMs = this.unraised.has(known.epoch) ? leaseMs : extendedMs;
            const own = this.leaseOf({ leaseMs: ownMs, witnesses }, readAt);
            leases.push(leader?.epoch === known.epoch ? this.endWithProcess(own, leader) : own);
            leases.push(...renewal.formers.map(each => this.leaseOf(each, readAt)));
        }
        return leases;
    }

    private latestBefore(epoch: number): KnownRenewal | undefined {
        return this.renewals.filter(each => each.epoch < epoch).at(-1);
    }

    private leaseOf(bound: LeaseBound, readAt: number): FormerLease {
        const madeBy = this.knowledge.clocks.madeBy(bound.witnesses, readAt);
        return { basis: "renewal", endsBy: madeBy + withDrift(bound.leaseMs), bound };
    }

    private unstatedLease(readAt: number): FormerLease {
        return { basis: "unstated", endsBy: readAt + UNSTATED_WINDOW_MS + this.longestMs, bound: undefined };
    }

    private endWithProcess(lease: FormerLease, leader: KnownLeader): FormerLease {
        const endedBy = this.knowledge.hosts.endOf(leader);
        const endsBy = endedBy === undefined ? Number.POSITIVE_INFINITY : endedBy + this.longestMs;
        return endsBy < lease.endsBy ? { basis: "ended", endsBy, bound: undefined } : lease;
    }

    private get longestMs(): number {
        return withDrift(this.knowledge.longestLeaseMs);
    }
}

/** @returns The items of the latest epochs in their order, with one that replaces that of its epoch. */
function replace<T extends { readonly epoch: number }>(items: readonly T[], item: T): readonly T[] {
    const others = items.filter(each => each.epoch !== item.epoch);
    return [...others, item].sort((a, b) => a.epoch - b.epoch).slice(-KEPT_EPOCHS);
}
