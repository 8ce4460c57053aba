import { Disposable } from "../../base/common/disposable";
import { OrderAnswer } from "../../dispatch/common/workers/workerClient";
import { OrderOutcome, WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { OrderResult } from "../common/confirmationGate";
import { AdmittedOrder, MAX_ORDERS_IN_FLIGHT, maxWaitMsOf, OrderQueue } from "../common/orderQueue";

/** Sends an order over a free connection. */
export type SendOrder = (effect: WorkerEffect) => Promise<OrderAnswer>;

interface WaitingOrder {
    readonly effect: WorkerEffect;
    readonly addedAt: number;
    readonly settle: (answer: OrderAnswer | Promise<OrderAnswer>) => void;
    timer: NodeJS.Timeout | undefined;
}

/** Sends orders to workers, the most urgent first. */
export class OrderSender implements Disposable {
    private readonly queue = OrderQueue.create<WaitingOrder>(MAX_ORDERS_IN_FLIGHT);
    private readonly timers = new Set<NodeJS.Timeout>();

    private constructor(private readonly sendNow: SendOrder) {}

    /** @param sendNow Sends an order at once. @returns A sender without orders. */
    static create(sendNow: SendOrder): OrderSender {
        return new OrderSender(sendNow);
    }

    /**
     * Sends an order as soon as a connection to its worker is free and no other order is more urgent.
     * @param effect The order.
     * @returns The answer; `unreachable` if it was not sent in time, `superseded` if its run was stopped before.
     * @throws The error of the call.
     */
    send(effect: WorkerEffect): Promise<OrderAnswer> {
        return new Promise(settle => {
            const order: WaitingOrder = { effect, addedAt: performance.now(), settle, timer: undefined };
            this.queue.add(order).forEach(each => this.giveUp(each, "superseded"));
            this.startTimer(order);
            this.sendWaiting(effect.worker.id);
        });
    }

    /** Drops the orders that wait. */
    dispose(): void {
        this.timers.forEach(clearTimeout);
        this.timers.clear();
    }

    private startTimer(order: WaitingOrder): void {
        const maxWaitMs = maxWaitMsOf(order.effect);
        if (maxWaitMs !== undefined) {
            order.timer = setTimeout(() => this.queue.remove(order) && this.giveUp(order, "unreachable"), maxWaitMs);
            this.timers.add(order.timer);
        }
    }

    /** Sends all orders to a worker that may be sent now: an answer can let several go. */
    private sendWaiting(worker: string): void {
        for (let next = this.queue.takeNext(worker); next !== undefined; next = this.queue.takeNext(worker)) {
            this.sendOrder(worker, next);
        }
    }

    private sendOrder(worker: string, { order, effect }: AdmittedOrder<WaitingOrder>): void {
        this.clearTimer(order);
        const waitedMs = performance.now() - order.addedAt;
        const finish = (result: OrderResult) => {
            this.queue.finish(effect, result);
            this.sendWaiting(worker);
        };
        const call = this.sendNow(effect).then(
            answer => {
                finish(answer);
                return { ...answer, unsentMs: waitedMs + (answer.unsentMs ?? 0) };
            },
            (error: unknown) => {
                finish({ outcome: "no-answer", clockMs: undefined });
                throw error;
            },
        );
        order.settle(call);
    }

    private giveUp(order: WaitingOrder, outcome: OrderOutcome): void {
        this.clearTimer(order);
        const unsentMs = performance.now() - order.addedAt;
        order.settle({ outcome, clockMs: undefined, unsentMs });
    }

    private clearTimer(order: WaitingOrder): void {
        clearTimeout(order.timer);
        if (order.timer !== undefined) {
            this.timers.delete(order.timer);
        }
    }
}
