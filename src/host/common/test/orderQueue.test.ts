import test from "ava";
import { WorkerEntry } from "../../../dispatch/common/workers/workerEntry";
import { WorkerEffect } from "../../../dispatch/common/workers/workerMessages";
import { OrderQueue, QueuedOrder } from "../orderQueue";

const WORKER = { id: "w" } as WorkerEntry;

function start(task: string, run = 1): WorkerEffect {
    const order = { task, run, payload: "", validUntil: 0, fence: 1, checkpoint: "" };
    return { kind: "start", worker: WORKER, order };
}

function stop(task: string, run = 1): WorkerEffect {
    return { kind: "stop", worker: WORKER, order: { task, run, fence: 1 } };
}

function throttle(task: string, isIncrease: boolean): WorkerEffect {
    return { kind: "throttle", worker: WORKER, order: { task, run: 1, fence: 1, percent: 50 }, isIncrease };
}

const LIST: WorkerEffect = { kind: "list", worker: WORKER, order: { fence: 1, recordedUpTo: 0, waitMs: 0 } };

const DONE = { outcome: "done", clockMs: 20_000 } as const;

const NO_ANSWER = { outcome: "no-answer", clockMs: undefined } as const;

/** @returns A list that confirms ends, ordered before the answers to some starts were handled. */
function confirmation(...unansweredStarts: string[]): WorkerEffect {
    return { kind: "list", worker: WORKER, order: { fence: 1, recordedUpTo: 7, waitMs: 0, unansweredStarts } };
}

/** @returns A start that was ordered when the worker's clock had passed a reading in ms. */
function startAt(task: string, provingClockMs: number): WorkerEffect {
    const order = { task, run: 1, payload: "", validUntil: 0, fence: 1, checkpoint: "", provingClockMs };
    return { kind: "start", worker: WORKER, order };
}

/** Sends a confirmation. @returns The number up to which it confirms ends. */
function sendConfirmation(queue: OrderQueue<QueuedOrder>, ...unansweredStarts: string[]): number {
    queue.add({ effect: confirmation(...unansweredStarts) });
    const { effect } = queue.takeNext("w")!;
    queue.finish(effect, DONE);
    return effect.kind === "list" ? effect.order.recordedUpTo : Number.NaN;
}

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
        queue.finish(effect, DONE);
    }
    return sent;
}

test("a stop and a list do not wait behind starts and speeds", t => {
    const effects = [throttle("a", true), throttle("b", false), start("c"), throttle("d", true), LIST, stop("e")];
    const expected = ["stop e", "list", "throttle b", "start c", "throttle a", "throttle d"];
    t.deepEqual(sendAll(queueOf(1, effects)), expected);
});

// Stops of a worker that had left were ordered again before their list was sent, so the worker was never found to be silent (review/13).
test("a list waits for one stop at most, however many are ordered again", t => {
    const queue = queueOf(1, [stop("a"), stop("b"), LIST]);
    const sent: string[] = [];
    for (let round = 0; round < 6; round++) {
        const { effect } = queue.takeNext("w")!;
        sent.push(effect.kind);
        queue.finish(effect, NO_ANSWER);
        queue.add({ effect: stop(`c${round}`) });
        if (effect.kind === "list") {
            queue.add({ effect: LIST });
        }
    }
    t.deepEqual(sent, ["stop", "list", "stop", "list", "stop", "list"]);
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
    queue.finish(start("a"), DONE);
    t.truthy(queue.takeNext("w"));
});

test("a stop withdraws the waiting start of its run only", t => {
    const queue = queueOf(1, [start("a", 1), start("a", 2), start("b", 2)]);
    const withdrawn = queue.add({ effect: stop("a", 2) });
    t.deepEqual(withdrawn, [{ effect: start("a", 2) }]);
    t.deepEqual(sendAll(queue), ["stop a", "start a", "start b"]);
});

test("an order that is removed is not sent, one that was sent cannot be removed", t => {
    const queue = OrderQueue.create(1);
    const [first, second] = [start("a"), start("b")].map(effect => ({ effect }));
    queue.add(first);
    queue.add(second);
    t.is(queue.takeNext("w")?.order, first);
    t.false(queue.remove(first));
    t.true(queue.remove(second));
    queue.finish(first.effect, DONE);
    t.is(queue.takeNext("w"), undefined);
});

test("a start waits until a confirmation is answered, other orders do not", t => {
    const queue = queueOf(4, [confirmation(), start("a"), throttle("b", false)]);
    const sent = queue.takeNext("w")!;
    t.is(sent.effect.kind, "list");
    t.is(queue.takeNext("w")?.effect.kind, "throttle");
    t.is(queue.takeNext("w"), undefined);
    queue.finish(sent.effect, DONE);
    t.is(queue.takeNext("w")?.effect.kind, "start");
});

test("a list confirms nothing while a start is in flight, and all that was ordered once it is answered", t => {
    const queue = queueOf(4, [startAt("a", 10_000)]);
    const { effect } = queue.takeNext("w")!;
    t.is(sendConfirmation(queue, "a/1"), 0);
    queue.finish(effect, DONE);
    t.is(sendConfirmation(queue, "a/1"), 7);
});

test("a start that waits does not keep a list from confirming ends", t => {
    const queue = queueOf(4, [start("a")]);
    t.is(sendConfirmation(queue, "a/1"), 7);
});

test("a list confirms nothing after a start that a new incarnation may have executed, until the scheduler knows", t => {
    for (const result of [NO_ANSWER, { outcome: "done", clockMs: 9_000 } as const]) {
        const queue = queueOf(4, [startAt("a", 10_000)]);
        queue.finish(queue.takeNext("w")!.effect, result);
        t.is(sendConfirmation(queue, "a/1"), 0);
        t.is(sendConfirmation(queue), 7);
    }
});

test("a start that was rejected does not keep a list from confirming ends", t => {
    const queue = queueOf(4, [start("a")]);
    queue.finish(queue.takeNext("w")!.effect, { outcome: "no-room", clockMs: 1 });
    t.is(sendConfirmation(queue, "a/1"), 7);
});

test("after a confirmation without an answer, starts are withdrawn until the scheduler knows", t => {
    const queue = queueOf(4, [confirmation(), start("a")]);
    const { effect } = queue.takeNext("w")!;
    queue.finish(effect, NO_ANSWER);
    queue.add({ effect: start("b") });
    t.is(queue.takeNext("w"), undefined);
    t.deepEqual(queue.add({ effect: LIST }), [{ effect: start("a") }, { effect: start("b") }]);
    queue.add({ effect: start("c") });
    t.deepEqual(sendAll(queue), ["list", "start c"]);
});

test("a list confirms nothing beside another confirmation, whose answer alone lets starts pass", t => {
    const queue = queueOf(4, [confirmation(), start("a")]);
    const first = queue.takeNext("w")!;
    t.is(sendConfirmation(queue), 0);
    t.is(queue.takeNext("w"), undefined);
    queue.finish(first.effect, DONE);
    t.is(queue.takeNext("w")?.effect.kind, "start");
});
