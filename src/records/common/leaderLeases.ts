import { fenceOf } from "./fence";
import {
    FormerLeaders,
    FormerLeaseBasis,
    KnownLeader,
    LEASE_HORIZON_MS,
    LeaseKnowledge,
    OUTAGE_HORIZON_MS,
} from "./formerLeaders";
import { OutageRight, OutageState, WitnessAnswer } from "./outageRight";
import { StoredRecord } from "./record";
import { RecordWriter } from "./recordWriter";
import { decodeRenewal, encodeRenewal, RenewalRecord, renewalKey } from "./renewalRecord";
import { WitnessReading } from "./witnessClocks";

/** Time for which a leader waits for a first witness before it extends leases by renewals without one, in ms. */
const WITNESS_WAIT_MS = 1_000;

/** Until when leases last: those that former leaders have extended, and those that this one may extend. */
export class LeaderLeases {
    private readonly formers: FormerLeaders;
    /** Epoch in which this instance leads. */
    private epoch = 0;
    /** Time (ms) since which the leader waits for a first witness: its beginning, or the end of a suspension. */
    private awaitsWitnessSince = 0;
    /** Time (ms) at which the latest confirmed renewal was sent by which leases are extended. */
    private leasesRenewedAt: number | undefined;
    private hasRenewed = false;
    private isStated = false;
    private suspendedAt = Number.NEGATIVE_INFINITY;
    private outage = OutageRight.create();
    /** Witnesses of the latest confirmed renewal, and of those that may be stored since. */
    private confirmedWitnesses: readonly WitnessReading[] = [];
    private unconfirmedWitnesses: (readonly WitnessReading[])[] = [];

    private constructor(
        private readonly knowledge: LeaseKnowledge,
        private readonly shard: number,
    ) {
        this.formers = FormerLeaders.create(knowledge);
    }

    /** @param knowledge What is known of leases. @param shard Number of the shard. @returns No leases. */
    static create(knowledge: LeaseKnowledge, shard: number): LeaderLeases {
        return new LeaderLeases(knowledge, shard);
    }

    /** Time (ms) up to which this leader may extend leases, or `undefined` if it may extend none. */
    get mayLastUntil(): number | undefined {
        const horizonMs = this.outage.state === "extended" ? OUTAGE_HORIZON_MS : LEASE_HORIZON_MS;
        return this.leasesRenewedAt === undefined ? undefined : this.leasesRenewedAt + horizonMs;
    }

    /** State of the right to extend leases while the store confirms no renewals. */
    get outageState(): OutageState {
        return this.outage.state;
    }

    /** Fence of the orders of this leader. */
    get fence(): number {
        return fenceOf(this.epoch, this.outage.level);
    }

    /** @param worker A worker. @returns Whether its answer is awaited before leases are extended through an outage of the store. */
    isAwaited(worker: string): boolean {
        return this.outage.state === "raising" && this.confirmedWitnesses.some(each => each.id === worker);
    }

    /** Whether a renewal of this epoch is stored, which states all leases that matter. */
    get hasStated(): boolean {
        return this.isStated;
    }

    /** Raises the fence if the store has not confirmed a renewal for long. @param now Time in ms. */
    review(now: number): void {
        if (this.leasesRenewedAt !== undefined) {
            this.outage.review(now - this.leasesRenewedAt);
        }
    }

    /** Records that a worker has accepted an order. */
    recordAnswer(answer: WitnessAnswer): void {
        if (answer.fence === this.fence) {
            this.outage.recordAnswer(answer, [this.confirmedWitnesses, ...this.unconfirmedWitnesses]);
        }
    }

    /** Latest renewal of a leader before this one, if there is one. */
    get formerRenewal(): RenewalRecord | undefined {
        return this.formers.renewalBefore(this.epoch);
    }

    /** Records that a former leader has not raised its fence since its latest renewal, and cannot. @param epoch Its epoch. */
    recordUnraised(epoch: number): void {
        this.formers.recordUnraised(epoch);
    }

    /** Records a leader as its latest record shows it. */
    recordLeader(leader: KnownLeader): void {
        this.formers.recordLeader(leader);
    }

    /** Applies a record of a renewal. After a malformed one the longest leases count. @param now Time in ms. */
    applyRenewal({ value }: StoredRecord, now: number): void {
        const renewal = value === undefined ? undefined : decodeRenewal(value);
        if (renewal !== undefined) {
            this.formers.recordRenewal(renewal, now);
        } else {
            this.formers.recordUnreadable(now);
        }
    }

    /**
     * @param epoch An epoch.
     * @returns Time (ms) by which all leases have ended that leaders before it extended, in the past if there are none, or `undefined` if
     * that is not known.
     */
    formersEndBy(epoch: number): number | undefined {
        return this.formers.leasesEndBy(epoch);
    }

    /** @param epoch An epoch. @returns What shows when the leases end that leaders before it extended. */
    formerBasis(epoch: number): FormerLeaseBasis {
        return this.formers.basis(epoch);
    }

    /** Begins an epoch of this instance, in which it has extended no lease. @param now Time in ms. */
    begin(epoch: number, now: number): void {
        this.epoch = epoch;
        this.awaitsWitnessSince = now;
        this.hasRenewed = false;
        this.isStated = false;
        this.leasesRenewedAt = undefined;
        this.outage = OutageRight.create();
        this.confirmedWitnesses = [];
        this.unconfirmedWitnesses = [];
    }

    /** Handles a suspension of the process, whose clock stood still: what is measured by it counts no more. @param now Time in ms. */
    handleSuspension(now: number): void {
        this.suspendedAt = now;
        this.awaitsWitnessSince = now;
        this.leasesRenewedAt = undefined;
        this.knowledge.clocks.clear(now);
    }

    /** @param now Time in ms. @returns Whether the leader has reached a first witness, so that it may extend leases once it renews. */
    isFirstRenewalDue(now: number): boolean {
        return !this.hasRenewed && this.canRenew(now);
    }

    /**
     * Writes a renewal by which leases may be extended once it is stored.
     * @param writer Writer of the leader's records.
     * @param now Time in ms.
     */
    writeRenewal(writer: RecordWriter, now: () => number): void {
        if (!this.canRenew(now())) {
            return;
        }
        this.hasRenewed = true;
        const { epoch } = this;
        let renewal: RenewalRecord | undefined;
        const encode = () => {
            renewal = this.createRenewal(now());
            this.unconfirmedWitnesses.push(renewal.witnesses);
            return encodeRenewal(renewal);
        };
        writer.write(renewalKey(this.shard), encode, sentAt => {
            if (renewal !== undefined && epoch === this.epoch) {
                this.recordRenewal(renewal, sentAt);
            }
        });
    }

    /** Renewals are stored in order, so none before it is unconfirmed any more. */
    private recordRenewal({ witnesses, fence }: RenewalRecord, sentAt: number): void {
        this.isStated = true;
        // The age of one that was sent before a suspension is not known.
        this.leasesRenewedAt = sentAt > this.suspendedAt ? sentAt : this.leasesRenewedAt;
        this.confirmedWitnesses = witnesses;
        this.unconfirmedWitnesses = [];
        if (fence === this.fence) {
            this.outage.recordRenewal();
        }
    }

    private canRenew(now: number): boolean {
        return this.knowledge.clocks.readings(now).length > 0 || now - this.awaitsWitnessSince >= WITNESS_WAIT_MS;
    }

    private createRenewal(now: number): RenewalRecord {
        const { epoch, fence } = this;
        const witnesses = this.knowledge.clocks.readings(now);
        const formers = this.formers.bounds(epoch, now);
        return { epoch, leaseMs: LEASE_HORIZON_MS, witnesses, fence, extendedMs: OUTAGE_HORIZON_MS, formers };
    }
}
