import { WorkerEffect } from "../../dispatch/common/workerMessages";

/**
 * Importance of an order, the most urgent first: what a cancelled job still runs; leases; speeds that protect latency-critical
 * tasks; starts; speeds that only use what is free.
 */
const ORDER_CLASSES = ["stop", "list", "slow-down", "start", "speed-up"] as const;

type OrderClass = (typeof ORDER_CLASSES)[number];

/**
 * Limit of the orders to each worker that are in flight, so that none waits in the HTTP client, which knows no priorities: it has as
 * many connections to each worker.
 */
export const MAX_ORDERS_IN_FLIGHT = 4;

/**
 * Time after which an order that was not sent is given up, in ms: what it is based on has changed meanwhile. A higher speed waits
 * less, since no lower one is ordered for its run until then. A list is sent in any case: one that was not sent says nothing
 * about its worker.
 */
const MAX_WAIT_MS: Readonly<Record<OrderClass, number | undefined>> = {
    stop: 800,
    list: undefined,
    "slow-down": 800,
    start: 800,
    "speed-up": 200,
};

/** @returns Time after which an order that was not sent is given up, in ms, or `undefined` if it waits until it is sent. */
export function maxWaitMsOf(effect: WorkerEffect): number | undefined {
    return MAX_WAIT_MS[classOf(effect)];
}

/** An order that has not been answered. */
export interface QueuedOrder {
    readonly effect: WorkerEffect;
}

interface WorkerOrders<Order> {
    inFlight: number;
    readonly waiting: Map<OrderClass, Order[]>;
}

/**
 * Orders that wait for a connection to their worker. Few can be in flight at a time, since a worker that is slow, or an instance that
 * is late, answers few; so those that are due go first, and the others wait.
 */
export class OrderQueue<Order extends QueuedOrder> {
    private readonly workers = new Map<string, WorkerOrders<Order>>();

    private constructor(private readonly limit: number) {}

    /** @param limit Limit of the orders to each worker that are in flight. @returns A queue without orders. */
    static create<O extends QueuedOrder>(limit: number): OrderQueue<O> {
        return new OrderQueue(limit);
    }

    /**
     * Adds an order.
     * @returns A waiting start that is withdrawn, because the order stops its run.
     */
    add(order: Order): Order | undefined {
        const { effect } = order;
        const orders = this.ordersOf(effect);
        const withdrawn =
            effect.kind === "stop" ? this.findStart(orders, effect.order.task, effect.order.run) : undefined;
        if (withdrawn !== undefined) {
            this.remove(withdrawn);
        }
        const orderClass = classOf(effect);
        const waiting = orders.waiting.get(orderClass) ?? [];
        waiting.push(order);
        orders.waiting.set(orderClass, waiting);
        return withdrawn;
    }

    /** @param worker Identifier of a worker. @returns The order to send to it now, if any; it is in flight until `finish`. */
    takeNext(worker: string): Order | undefined {
        const orders = this.workers.get(worker);
        if (orders === undefined || orders.inFlight >= this.limit) {
            return undefined;
        }
        for (const orderClass of ORDER_CLASSES) {
            const next = orders.waiting.get(orderClass)?.shift();
            if (next !== undefined) {
                orders.inFlight += 1;
                return next;
            }
        }
        return undefined;
    }

    /** Records that an order to a worker is answered or given up. @param worker Identifier of the worker. */
    finish(worker: string): void {
        const orders = this.workers.get(worker)!;
        orders.inFlight -= 1;
        if (orders.inFlight === 0 && [...orders.waiting.values()].every(waiting => waiting.length === 0)) {
            this.workers.delete(worker);
        }
    }

    /** Removes an order that waits. @returns Whether it was waiting. */
    remove(order: Order): boolean {
        const waiting = this.workers.get(order.effect.worker.id)?.waiting.get(classOf(order.effect)) ?? [];
        const index = waiting.indexOf(order);
        if (index >= 0) {
            waiting.splice(index, 1);
        }
        return index >= 0;
    }

    private ordersOf(effect: WorkerEffect): WorkerOrders<Order> {
        const orders = this.workers.get(effect.worker.id) ?? { inFlight: 0, waiting: new Map() };
        this.workers.set(effect.worker.id, orders);
        return orders;
    }

    private findStart(orders: WorkerOrders<Order>, task: string, run: number): Order | undefined {
        return orders.waiting
            .get("start")
            ?.find(({ effect }) => effect.kind === "start" && effect.order.task === task && effect.order.run === run);
    }
}

function classOf(effect: WorkerEffect): OrderClass {
    if (effect.kind !== "throttle") {
        return effect.kind;
    }
    return effect.isIncrease ? "speed-up" : "slow-down";
}
