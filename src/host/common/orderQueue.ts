import { WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { ConfirmationGate, OrderResult } from "./confirmationGate";

/**
 * Importance of an order, the most urgent first: what a cancelled job still runs; leases; speeds that protect latency-critical
 * tasks; starts; speeds that only use what is free.
 */
const ORDER_CLASSES = ["stop", "list", "slow-down", "start", "speed-up"] as const;

type OrderClass = (typeof ORDER_CLASSES)[number];

/**
 * The same once a stop was sent while a list waited. Unconfirmed stops are ordered again and again, and only a list shows that they are
 * not confirmed since the worker is gone.
 */
const ORDER_CLASSES_AFTER_STOP: readonly OrderClass[] = ["list", "stop", "slow-down", "start", "speed-up"];

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

/** An order that is to be sent. */
export interface AdmittedOrder<Order> {
    readonly order: Order;
    /** What to send for it: a list may confirm less than was ordered. */
    readonly effect: WorkerEffect;
}

/**
 * Limit of the workers of which something is remembered. Above it, the one to which nothing was ordered for the longest is forgotten;
 * it is lost, since a worker is listed every second or so.
 */
const MAX_REMEMBERED_WORKERS = 5_000;

interface WorkerOrders<Order> {
    inFlight: number;
    /** Whether a stop was sent while the list that is next waited. */
    hasListYielded: boolean;
    readonly waiting: Map<OrderClass, Order[]>;
    readonly gate: ConfirmationGate;
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
     * @returns Waiting starts that are withdrawn: the order stops the run, or a confirmation before them was not answered.
     */
    add(order: Order): Order[] {
        const { effect } = order;
        const orders = this.ordersOf(effect);
        const withdrawn: Order[] = [];
        if (effect.kind === "stop") {
            withdrawn.push(...this.findStart(orders, effect.order.task, effect.order.run));
        } else if (effect.kind === "list") {
            orders.gate.recordList(effect.order, () => withdrawn.push(...(orders.waiting.get("start") ?? [])));
        }
        withdrawn.forEach(each => this.remove(each));
        const orderClass = classOf(effect);
        const waiting = orders.waiting.get(orderClass) ?? [];
        waiting.push(order);
        orders.waiting.set(orderClass, waiting);
        return withdrawn;
    }

    /**
     * @param worker Identifier of a worker.
     * @returns The order to send to it now, if any; it is in flight until `finish`.
     */
    takeNext(worker: string): AdmittedOrder<Order> | undefined {
        const orders = this.workers.get(worker);
        if (orders === undefined || orders.inFlight >= this.limit) {
            return undefined;
        }
        const isListWaiting = (orders.waiting.get("list") ?? []).length > 0;
        for (const orderClass of orders.hasListYielded ? ORDER_CLASSES_AFTER_STOP : ORDER_CLASSES) {
            const mayTake = orderClass !== "start" || orders.gate.isOpen;
            const order = mayTake ? orders.waiting.get(orderClass)?.shift() : undefined;
            if (order !== undefined) {
                orders.inFlight += 1;
                orders.hasListYielded = orderClass === "stop" && isListWaiting;
                return { order, effect: orders.gate.admit(order.effect) };
            }
        }
        return undefined;
    }

    /** Records that an order is answered or given up. @param effect The order that was sent. @param result Its answer. */
    finish(effect: WorkerEffect, result: OrderResult): void {
        const orders = this.workers.get(effect.worker.id)!;
        orders.inFlight -= 1;
        orders.gate.recordAnswer(effect, result);
        if (isUnused(orders) && orders.gate.isIdle) {
            this.workers.delete(effect.worker.id);
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

    private ordersOf({ worker }: WorkerEffect): WorkerOrders<Order> {
        const known = this.workers.get(worker.id);
        const orders = known ?? {
            inFlight: 0,
            hasListYielded: false,
            waiting: new Map(),
            gate: ConfirmationGate.create(),
        };
        // The map is in the order of the latest orders.
        this.workers.delete(worker.id);
        this.workers.set(worker.id, orders);
        const [oldest] = this.workers;
        if (this.workers.size > MAX_REMEMBERED_WORKERS && isUnused(oldest[1])) {
            this.workers.delete(oldest[0]);
        }
        return orders;
    }

    private findStart(orders: WorkerOrders<Order>, task: string, run: number): Order[] {
        const isStart = ({ effect }: Order) =>
            effect.kind === "start" && effect.order.task === task && effect.order.run === run;
        return (orders.waiting.get("start") ?? []).filter(isStart);
    }
}

function isUnused({ inFlight, waiting }: WorkerOrders<unknown>): boolean {
    return inFlight === 0 && [...waiting.values()].every(each => each.length === 0);
}

function classOf(effect: WorkerEffect): OrderClass {
    if (effect.kind !== "throttle") {
        return effect.kind;
    }
    return effect.isIncrease ? "speed-up" : "slow-down";
}
