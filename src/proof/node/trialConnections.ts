import { OrderOutcome, WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { OrderResult } from "../../host/common/confirmationGate";
import { AdmittedOrder, maxWaitMsOf, OrderQueue } from "../../host/common/orderQueue";
import { TrialSchedule } from "./trialSchedule";

/** An order and the incarnation of the instance that has sent it. */
export interface SentOrder {
    readonly effect: WorkerEffect;
    readonly sender: string;
}

/** Where orders are sent. */
export interface OrderSink {
    /** Sends an order to its worker and calls back once with the answer. */
    call(effect: WorkerEffect, sentAt: number, onAnswer: (event: JobInstanceEvent) => void): void;
}

interface WaitingOrder {
    readonly effect: WorkerEffect;
    readonly emittedAt: number;
    readonly onAnswer: (event: JobInstanceEvent) => void;
}

/** The connections of one instance to the workers. */
export class TrialConnections {
    private readonly queue: OrderQueue<WaitingOrder>;
    private isClosed = false;

    private constructor(
        limit: number,
        private readonly schedule: TrialSchedule,
        private readonly workers: OrderSink,
    ) {
        this.queue = OrderQueue.create(limit);
    }

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
        const order = { effect, emittedAt, onAnswer };
        this.queue.add(order).forEach(each => this.giveUp(each, "superseded"));
        const maxWaitMs = maxWaitMsOf(order.effect);
        if (maxWaitMs !== undefined) {
            this.schedule.add(maxWaitMs, () => this.queue.remove(order) && this.giveUp(order, "unreachable"));
        }
        this.sendWaiting(effect.worker.id);
    }

    /** Drops what was not sent: the process has ended. */
    close(): void {
        this.isClosed = true;
    }

    /** Sends all orders to a worker that may be sent now: an answer can let several go. */
    private sendWaiting(worker: string): void {
        const takeNext = () => (this.isClosed ? undefined : this.queue.takeNext(worker));
        for (let next = takeNext(); next !== undefined; next = takeNext()) {
            this.sendOrder(worker, next);
        }
    }

    private sendOrder(worker: string, { order, effect }: AdmittedOrder<WaitingOrder>): void {
        this.workers.call(effect, order.emittedAt, event => {
            this.queue.finish(effect, resultOf(event));
            order.onAnswer(event);
            this.sendWaiting(worker);
        });
    }

    private giveUp({ effect, emittedAt: sentAt, onAnswer }: WaitingOrder, outcome: OrderOutcome): void {
        if (this.isClosed) {
            return;
        }
        const answer = { worker: effect.worker.id, sentAt, outcome, clockMs: undefined, order: effect.order };
        onAnswer({ kind: `${effect.kind}-answer`, ...answer } as JobInstanceEvent);
    }
}

function resultOf(event: JobInstanceEvent): OrderResult {
    return "outcome" in event ? event : { outcome: "no-answer", clockMs: undefined };
}
