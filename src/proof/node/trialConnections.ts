import { OrderOutcome, WorkerEffect } from "../../dispatch/common/workerMessages";
import { JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { CALL_TIMEOUTS_MS } from "./jobTrialPlan";
import { TrialSchedule } from "./trialSchedule";

/** Where orders are sent. */
export interface OrderSink {
    /** Sends an order to its worker and calls back once with the answer. */
    call(effect: WorkerEffect, sentAt: number, onAnswer: (event: JobInstanceEvent) => void): void;
}

interface WaitingOrder {
    readonly effect: WorkerEffect;
    readonly emittedAt: number;
    readonly onAnswer: (event: JobInstanceEvent) => void;
    isOver: boolean;
}

interface Link {
    inFlight: number;
    readonly waiting: WaitingOrder[];
}

/** The connections of one instance to the workers, as the HTTP client uses them: first come, first served. */
export class TrialConnections {
    private readonly links = new Map<string, Link>();
    private isClosed = false;

    private constructor(
        private readonly limit: number,
        private readonly schedule: TrialSchedule,
        private readonly workers: OrderSink,
    ) {}

    /**
     * @param limit Number of connections to each worker.
     * @param schedule Clock of the trial.
     * @param workers Receive the orders.
     * @returns Connections without orders.
     */
    static create(limit: number, schedule: TrialSchedule, workers: OrderSink): TrialConnections {
        return new TrialConnections(limit, schedule, workers);
    }

    /**
     * Sends an order as soon as a connection is free; it is given up if that takes too long.
     * @param effect The order.
     * @param emittedAt Time (ms) of the sender's clock.
     * @param onAnswer Called once with the answer.
     */
    call(effect: WorkerEffect, emittedAt: number, onAnswer: (event: JobInstanceEvent) => void): void {
        const { id } = effect.worker;
        const link = this.links.get(id) ?? { inFlight: 0, waiting: [] };
        this.links.set(id, link);
        const order = { effect, emittedAt, onAnswer, isOver: false };
        link.waiting.push(order);
        const waitMs = effect.kind === "list" ? effect.order.waitMs : 0;
        this.schedule.add(waitMs + CALL_TIMEOUTS_MS.worker, () => this.giveUp(link, order));
        this.sendNext(link);
    }

    /** Drops what was not sent: the process has ended. */
    close(): void {
        this.isClosed = true;
    }

    private sendNext(link: Link): void {
        if (link.inFlight >= this.limit || this.isClosed) {
            return;
        }
        const order = link.waiting.shift();
        if (order === undefined) {
            return;
        }
        link.inFlight += 1;
        order.isOver = true;
        this.workers.call(order.effect, order.emittedAt, event => {
            link.inFlight -= 1;
            order.onAnswer(event);
            this.sendNext(link);
        });
    }

    private giveUp(link: Link, order: WaitingOrder): void {
        if (order.isOver || this.isClosed) {
            return;
        }
        order.isOver = true;
        link.waiting.splice(link.waiting.indexOf(order), 1);
        const { effect, emittedAt: sentAt } = order;
        const outcome: OrderOutcome = "unreachable";
        const answer = { worker: effect.worker.id, sentAt, outcome, clockMs: undefined, order: effect.order };
        order.onAnswer({ kind: `${effect.kind}-answer`, ...answer } as JobInstanceEvent);
    }
}
