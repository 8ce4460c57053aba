import { withDrift } from "../../../coordination/common/duration";
import { UNSTATED_WINDOW_MS } from "../../../records/common/formerLeaders";
import { Leadership } from "../../../records/common/leadership";
import { WitnessClocks } from "../../../records/common/witnessClocks";
import { DispatchLimits } from "../scheduler/dispatchLimits";
import { LeaseTable } from "./leaseTable";
import type { WorkerContact } from "./workerContact";
import { LeaseWriter, WorkerLease } from "./workerLease";

/**
 * Age of the latest renewal up to which leases are recorded, in ms: three renewals. A record that could only be deleted
 * after an outage of the store would let the lease of a worker that is back expire.
 */
const MAX_RENEWAL_AGE_MS = 900;

/** The right to lead, as far as leases depend on it. */
export type LeaseAuthority = Pick<Leadership, "renewedAt" | "formerLeasesEndBy" | "leasesSince">;

/** Dependencies of the leases; the scheduler has the same. */
export interface LeaseContext {
    /** Leases that former leaders recorded. */
    readonly leases: LeaseTable;
    readonly leadership: LeaseAuthority;
    /** Date the records of leases. */
    readonly clocks: WitnessClocks;
    readonly limits: Pick<DispatchLimits, "longestLeaseMs">;
}

/** The leases of all workers during one epoch, and their records for the next leader. */
export class LeaseBook {
    private readonly leases = new Map<string, WorkerLease>();
    /** Tell the times (ms) by which the leases have expired of which a former leader left a record. */
    private readonly recordedEnds: Map<string, () => number>;
    private readonly authority: LeaseAuthority;
    /** Clocks of workers, by which the records of leases are dated. */
    readonly clocks: WitnessClocks;
    private readonly longestLeaseMs: number;

    private constructor(
        { leases, limits, leadership, clocks }: LeaseContext,
        private readonly writer: LeaseWriter,
        /** Time (ms) at which the epoch began. */
        readonly epochStartedAt: number,
    ) {
        this.authority = leadership;
        this.clocks = clocks;
        this.longestLeaseMs = limits.longestLeaseMs;
        const unknownEnd = () => Number.POSITIVE_INFINITY;
        const end = (id: string) => leases.endOf(id, leadership.leasesSince) ?? unknownEnd;
        this.recordedEnds = new Map([...leases.workers].map(id => [id, end(id)]));
        this.recordedEnds.forEach((_, id) => this.find(id));
    }

    /**
     * @param context Dependencies of the leases.
     * @param writer Writes the records.
     * @param epochStartedAt Time (ms) at which the epoch began.
     * @returns The leases.
     */
    static create(context: LeaseContext, writer: LeaseWriter, epochStartedAt: number): LeaseBook {
        return new LeaseBook(context, writer, epochStartedAt);
    }

    /** @param worker Identifier of a worker. @returns Its lease. */
    find(worker: string): WorkerLease {
        let lease = this.leases.get(worker);
        if (lease === undefined) {
            const recordedEnd = this.recordedEnds.get(worker);
            const endsBy = () => Math.min(this.formerEndsBy, recordedEnd?.() ?? Number.POSITIVE_INFINITY);
            lease = WorkerLease.create(worker, endsBy, this.writer, recordedEnd !== undefined);
            this.leases.set(worker, lease);
        }
        return lease;
    }

    /**
     * Records the leases of workers that cannot be reached, and deletes the records of the others.
     * @param workers The workers, by identifier.
     * @param now Time in ms.
     */
    tick(workers: ReadonlyMap<string, WorkerContact>, now: number): void {
        const isStoreWorking = this.renewalAgeMs(now) <= MAX_RENEWAL_AGE_MS;
        for (const [id, lease] of this.leases) {
            const worker = workers.get(id);
            if (worker === undefined || worker.state === "reachable" || worker.runs.size === 0) {
                if (!lease.mayExtend) {
                    lease.release();
                } else if (worker === undefined) {
                    this.leases.delete(id);
                    this.recordedEnds.delete(id);
                }
            } else if (isStoreWorking && (worker.isUnreachable || !lease.mayExtend)) {
                // The append may be built later, when less time remains.
                const witnesses = this.clocks.readings(now);
                lease.record(() => ({ remainingMs: worker.leaseEndsBy - now, witnesses }), now);
            }
        }
    }

    /** Time (ms) by which all leases that former leaders extended have expired, unless a record shows that one ends earlier. */
    get formerEndsBy(): number {
        const { formerLeasesEndBy } = this.authority;
        return formerLeasesEndBy ?? this.epochStartedAt + UNSTATED_WINDOW_MS + withDrift(this.longestLeaseMs);
    }

    private renewalAgeMs(now: number): number {
        return now - (this.authority.renewedAt ?? Number.NEGATIVE_INFINITY);
    }
}
