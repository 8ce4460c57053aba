import test from "ava";
import { WorkerEntry } from "../../../dispatch/common/workerEntry";
import { WorkerEffect } from "../../../dispatch/common/workerMessages";
import { OrderQueue, QueuedOrder } from "../orderQueue";

const WORKER = { id: "w" } as WorkerEntry;

function start(task: string, run = 1): WorkerEffect {
    const order = { task, run, payload: "", validUntil: 0, epoch: 1, checkpoint: "" };
    return { kind: "start", worker: WORKER, order };
}

function stop(task: string, run = 1): WorkerEffect {
    return { kind: "stop", worker: WORKER, order: { task, run, epoch: 1 } };
}

function throttle(task: string, isIncrease: boolean): WorkerEffect {
    return { kind: "throttle", worker: WORKER, order: { task, run: 1, epoch: 1, percent: 50 }, isIncrease };
}

const LIST: WorkerEffect = { kind: "list", worker: WORKER, order: { epoch: 1, recordedUpTo: 0, waitMs: 0 } };

function queueOf(limit: number, effects: readonly WorkerEffect[]): OrderQueue<QueuedOrder> {
    const queue = OrderQueue.create(limit);
    effects.forEach(effect => queue.add({ effect }));
    return queue;
}

/** Takes orders one after the other. @returns The kinds and tasks in the order in which they are sent. */
function sendAll(queue: OrderQueue<QueuedOrder>): string[] {
    const sent: string[] = [];
    for (let next = queue.takeNext("w"); next !== undefined; next = queue.takeNext("w")) {
        const { effect } = next;
        sent.push(effect.kind === "list" ? "list" : `${effect.kind} ${effect.order.task}`);
        queue.finish("w");
    }
    return sent;
}

test("a stop and a list do not wait behind starts and speeds", t => {
    const effects = [throttle("a", true), throttle("b", false), start("c"), throttle("d", true), LIST, stop("e")];
    const expected = ["stop e", "list", "throttle b", "start c", "throttle a", "throttle d"];
    t.deepEqual(sendAll(queueOf(1, effects)), expected);
});

test("orders of one class are sent in order of arrival", t => {
    t.deepEqual(sendAll(queueOf(1, [start("a"), start("b"), start("c")])), ["start a", "start b", "start c"]);
});

test("the limit holds for each worker", t => {
    const queue = queueOf(2, [start("a"), start("b"), start("c")]);
    queue.add({ effect: { ...start("d"), worker: { id: "v" } as WorkerEntry } });
    t.truthy(queue.takeNext("w"));
    t.truthy(queue.takeNext("w"));
    t.is(queue.takeNext("w"), undefined);
    t.truthy(queue.takeNext("v"));
    queue.finish("w");
    t.truthy(queue.takeNext("w"));
});

test("a stop withdraws the waiting start of its run only", t => {
    const queue = queueOf(1, [start("a", 1), start("a", 2), start("b", 2)]);
    const withdrawn = queue.add({ effect: stop("a", 2) });
    t.deepEqual(withdrawn, { effect: start("a", 2) });
    t.deepEqual(sendAll(queue), ["stop a", "start a", "start b"]);
});

test("an order that is removed is not sent, one that was sent cannot be removed", t => {
    const queue = OrderQueue.create(1);
    const [first, second] = [start("a"), start("b")].map(effect => ({ effect }));
    queue.add(first);
    queue.add(second);
    t.is(queue.takeNext("w"), first);
    t.false(queue.remove(first));
    t.true(queue.remove(second));
    queue.finish("w");
    t.is(queue.takeNext("w"), undefined);
});
