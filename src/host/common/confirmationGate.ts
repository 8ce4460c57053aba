import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import {
    isStartAccountedFor,
    ListOrder,
    OrderOutcome,
    startKeyOf,
    StartOrder,
    WorkerEffect,
} from "../../dispatch/common/workers/workerMessages";
import chartText from "./confirmationGate.chart.yaml";

type GateState = "open" | "confirming" | "closed";
type GateEvent = "confirmation-sent" | "confirmed" | "unanswered" | "list-added";
type GateAction = "withdrawStarts";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<GateState, GateEvent, never, GateAction>(chartText, "confirmationGate.chart.yaml", {
        states: ["open", "confirming", "closed"],
        events: ["confirmation-sent", "confirmed", "unanswered", "list-added"],
        guards: [],
        actions: ["withdrawStarts"],
    }),
);

/** What the answer to an order shows. */
export interface OrderResult {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock in ms, if the answer contains one. */
    readonly clockMs: number | undefined;
}

/**
 * Keeps starts and confirmations of ends apart on the way to one worker. The numbers of ends are those of one incarnation, and
 * no order names it. So a confirmation is sent only while each start before it is known to be on that incarnation, or not to
 * have been executed, and no start is sent until it is answered.
 */
export class ConfirmationGate {
    private readonly machine: Machine<() => void, GateState, GateEvent, never, GateAction>;
    private readonly startsInFlight = new Set<string>();
    /** Starts of which it is not known whether and where they were executed, until the scheduler knows as much. */
    private readonly startsInDoubt = new Set<string>();

    private constructor() {
        this.machine = Machine.create(chart, { guards: {}, actions: { withdrawStarts: withdraw => withdraw() } });
    }

    /** @returns A gate of a worker to which nothing was sent. */
    static create(): ConfirmationGate {
        return new ConfirmationGate();
    }

    /** Whether starts may be sent. */
    get isOpen(): boolean {
        return this.machine.state === "open";
    }

    /** Whether it has nothing to remember. */
    get isIdle(): boolean {
        return this.isOpen && this.startsInFlight.size === 0 && this.startsInDoubt.size === 0;
    }

    /**
     * Records that the scheduler has ordered a list.
     * @param order The order.
     * @param withdrawStarts Withdraws the starts that wait; called if they were ordered before the scheduler knew that a
     * confirmation was not answered.
     */
    recordList(order: ListOrder, withdrawStarts: () => void): void {
        const unknown = new Set(order.unansweredStarts ?? []);
        [...this.startsInDoubt].filter(key => !unknown.has(key)).forEach(key => this.startsInDoubt.delete(key));
        this.machine.fire("list-added", withdrawStarts);
    }

    /**
     * Records that an order is sent.
     * @param effect The order.
     * @returns The order to send: a list confirms nothing while starts before it may be on another incarnation, or beside another
     * confirmation.
     */
    admit(effect: WorkerEffect): WorkerEffect {
        if (effect.kind === "start") {
            this.startsInFlight.add(startKeyOf(effect.order));
        }
        if (effect.kind !== "list" || effect.order.recordedUpTo === 0) {
            return effect;
        }
        if (!this.isOpen || this.startsInFlight.size > 0 || this.startsInDoubt.size > 0) {
            return { ...effect, order: { ...effect.order, recordedUpTo: 0 } };
        }
        this.machine.fire("confirmation-sent", () => undefined);
        return effect;
    }

    /** Records that an order is answered or given up. @param effect The order that was sent. @param result Its answer. */
    recordAnswer(effect: WorkerEffect, result: OrderResult): void {
        if (effect.kind === "start") {
            this.recordStartAnswer(effect.order, result);
        } else if (effect.kind === "list" && effect.order.recordedUpTo > 0) {
            this.machine.fire(result.outcome === "no-answer" ? "unanswered" : "confirmed", () => undefined);
        }
    }

    private recordStartAnswer(order: StartOrder, result: OrderResult): void {
        const key = startKeyOf(order);
        this.startsInFlight.delete(key);
        if (!isStartAccountedFor(order, result.outcome, result.clockMs)) {
            this.startsInDoubt.add(key);
        }
    }
}
