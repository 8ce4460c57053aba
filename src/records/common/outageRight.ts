import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { withDrift } from "../../coordination/common/duration";
import { MAX_FENCE_LEVEL } from "./fence";
import chartText from "./outageRight.chart.yaml";
import { UNNOTICED_SUSPENSION_MS, WitnessReading } from "./witnessClocks";

/**
 * State of the right. `renewing`: leases are extended on the latest renewal. `raising`: the fence is being raised. `extended`: leases are
 * extended although renewals are not confirmed.
 */
export type OutageState = "renewing" | "raising" | "extended";
type OutageEvent = "renewal-late" | "quorum-reached" | "renewed";
type OutageGuard = "hasLevelLeft";
type OutageAction = "raiseFence";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<OutageState, OutageEvent, OutageGuard, OutageAction>(chartText, "outageRight.chart.yaml", {
        states: ["renewing", "raising", "extended"],
        events: ["renewal-late", "quorum-reached", "renewed"],
        guards: ["hasLevelLeft"],
        actions: ["raiseFence"],
    }),
);

/**
 * Age of the latest renewal from which a leader raises its fence, in ms: late, since the next leader then has to wait for longer leases,
 * but all workers have to be reached with the longer right before leases end on the renewal.
 */
export const RAISE_AFTER_MS = 4_200;

/**
 * Time between two answers of a witness, the first with the raised fence, in ms. The next leader counts a witness only if it raises the
 * witness's fence within this time after it has found it not raised, so one of both sees the other. The leader waits a little longer, since
 * the next one may be suspended without noticing.
 */
export const FENCE_SETTLING_MS = 500;

/** An answer of a worker to an order. */
export interface WitnessAnswer {
    readonly id: string;
    /** Incarnation that answered. */
    readonly incarnation: number;
    /** Fence of the order. */
    readonly fence: number;
    /** Times (ms) at which the order was sent and its answer arrived. */
    readonly sentAt: number;
    readonly receivedAt: number;
}

/** A witness that knows the raised fence. */
interface RaisedWitness {
    readonly incarnation: number;
    readonly raisedBy: number;
    readonly isSettled: boolean;
}

/**
 * Whether a leader whose renewals are not confirmed may extend leases all the same. What it does has to be known before: instead of the
 * store, most of the witnesses that its renewals name keep it, in the highest fence that they have seen.
 */
export class OutageRight {
    private readonly machine: Machine<undefined, OutageState, OutageEvent, OutageGuard, OutageAction>;
    private readonly raised = new Map<string, RaisedWitness>();
    private raisedLevel = 0;

    private constructor() {
        this.machine = Machine.create(chart, {
            guards: { hasLevelLeft: () => this.raisedLevel < MAX_FENCE_LEVEL },
            actions: { raiseFence: () => this.raiseFence() },
        });
    }

    /** @returns The right of a leader that has not raised its fence. */
    static create(): OutageRight {
        return new OutageRight();
    }

    /** State of the right. */
    get state(): OutageState {
        return this.machine.state;
    }

    /** How often the fence was raised. */
    get level(): number {
        return this.raisedLevel;
    }

    /** Raises the fence if the latest renewal is too old. @param renewalAgeMs Its age in ms. */
    review(renewalAgeMs: number): void {
        if (renewalAgeMs >= RAISE_AFTER_MS) {
            this.machine.fire("renewal-late", undefined);
        }
    }

    /** Records that a renewal is stored that states the present fence. */
    recordRenewal(): void {
        this.machine.fire("renewed", undefined);
    }

    /**
     * Records an answer to an order with the raised fence.
     * @param answer The answer.
     * @param electorates The witnesses of the latest confirmed renewal, and of each one that may be stored since.
     */
    recordAnswer(answer: WitnessAnswer, electorates: readonly (readonly WitnessReading[])[]): void {
        if (this.state !== "raising") {
            return;
        }
        const { id, incarnation, sentAt, receivedAt } = answer;
        const known = this.raised.get(id);
        if (known?.incarnation !== incarnation) {
            this.raised.set(id, { incarnation, raisedBy: receivedAt, isSettled: false });
        } else if (sentAt >= known.raisedBy + withDrift(FENCE_SETTLING_MS) + UNNOTICED_SUSPENSION_MS) {
            this.raised.set(id, { ...known, isSettled: true });
            if (electorates.every(each => this.hasMost(each))) {
                this.machine.fire("quorum-reached", undefined);
            }
        }
    }

    private hasMost(witnesses: readonly WitnessReading[]): boolean {
        const isRaised = ({ id, incarnation }: WitnessReading) => {
            const raised = this.raised.get(id);
            return raised?.isSettled === true && raised.incarnation === incarnation;
        };
        return 2 * witnesses.filter(isRaised).length > witnesses.length;
    }

    private raiseFence(): void {
        this.raisedLevel += 1;
        this.raised.clear();
    }
}
