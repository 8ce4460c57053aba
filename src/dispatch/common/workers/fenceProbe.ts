import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { probeFenceOf } from "../../../records/common/fence";
import { FENCE_SETTLING_MS } from "../../../records/common/outageRight";
import { RenewalRecord } from "../../../records/common/renewalRecord";
import chartText from "./fenceProbe.chart.yaml";
import { OrderOutcome } from "./workerMessages";

type ProbeState = "unasked" | "asked" | "accepted" | "unraised" | "unknown";
type ProbeEvent = "asked" | "unanswered" | "accepted" | "refused" | "settled";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ProbeState, ProbeEvent, never, never>(chartText, "fenceProbe.chart.yaml", {
        states: ["unasked", "asked", "accepted", "unraised", "unknown"],
        events: ["asked", "unanswered", "accepted", "refused", "settled"],
        guards: [],
        actions: [],
    }),
);

interface ProbedWitness {
    readonly incarnation: number;
    readonly machine: Machine<undefined, ProbeState, ProbeEvent, never, never>;
    /** Time (ms) at which the probe was sent. */
    sentAt: number;
}

/**
 * Finds out whether the former leader has raised its fence: each of its witnesses first gets an order with a fence just above the one that
 * its renewal states, which a worker with a raised one rejects, and then one of this leader. If half of them accept both, the former
 * leader has extended no lease beyond what its latest renewal states, and cannot.
 */
export class FenceProbe {
    private readonly witnesses = new Map<string, ProbedWitness>();

    private constructor(
        private readonly renewal: RenewalRecord | undefined,
        private readonly onUnraised: (epoch: number) => void,
    ) {
        for (const { id, incarnation } of renewal?.witnesses ?? []) {
            const machine = Machine.create(chart, { guards: {}, actions: {} });
            this.witnesses.set(id, { incarnation, machine, sentAt: 0 });
        }
    }

    /**
     * @param renewal Latest renewal of the former leader, if there is one.
     * @param onUnraised Called with its epoch when it is known that it has not raised its fence, and cannot.
     * @returns The probe, which has asked no worker.
     */
    static create(renewal: RenewalRecord | undefined, onUnraised: (epoch: number) => void): FenceProbe {
        return new FenceProbe(renewal, onUnraised);
    }

    /** @param worker A worker. @returns Fence of the order that it should get before any other, or `undefined` if it should get none. */
    fenceFor(worker: string): number | undefined {
        const isUnasked = this.witnesses.get(worker)?.machine.state === "unasked";
        return isUnasked ? probeFenceOf(this.renewal!.fence) : undefined;
    }

    /** Forgets what is in doubt: this process was suspended, so that more time has passed than it has measured. */
    handleSuspension(): void {
        const isInDoubt = ({ machine }: ProbedWitness) => machine.state === "asked" || machine.state === "accepted";
        [...this.witnesses.values()].filter(isInDoubt).forEach(each => each.machine.fire("refused", undefined));
    }

    /** Records that a worker gets the probe. */
    recordAsked(worker: string): void {
        this.witnesses.get(worker)?.machine.fire("asked", undefined);
    }

    /**
     * Records the answer to the probe. A worker that has not answered gets another one first, since it has seen no order of this leader.
     * @param worker The worker.
     * @param outcome Outcome of the probe.
     * @param incarnation Incarnation that accepted it, or `undefined` if none did.
     * @param sentAt Time (ms) at which it was sent.
     */
    recordAnswer(worker: string, outcome: OrderOutcome, incarnation: number | undefined, sentAt: number): void {
        const witness = this.witnesses.get(worker);
        if (witness === undefined) {
            return;
        }
        witness.sentAt = sentAt;
        if (outcome === "no-answer" || outcome === "unreachable") {
            witness.machine.fire("unanswered", undefined);
        } else {
            witness.machine.fire(incarnation === witness.incarnation ? "accepted" : "refused", undefined);
        }
    }

    /**
     * Records that a worker has accepted an order of this leader.
     * @param worker The worker.
     * @param incarnation Its incarnation, if it stated it.
     * @param receivedAt Time (ms) at which the answer arrived.
     */
    recordAccepted(worker: string, incarnation: number | undefined, receivedAt: number): void {
        const witness = this.witnesses.get(worker);
        if (witness?.machine.state !== "accepted") {
            return;
        }
        const isInTime = receivedAt <= witness.sentAt + FENCE_SETTLING_MS;
        witness.machine.fire(isInTime && incarnation === witness.incarnation ? "settled" : "refused", undefined);
        const count = [...this.witnesses.values()].filter(each => each.machine.state === "unraised").length;
        // The former leader needs most of them, so half of them are enough here.
        if (2 * count >= this.witnesses.size) {
            this.onUnraised(this.renewal!.epoch);
        }
    }
}
