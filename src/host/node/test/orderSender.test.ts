import FakeTimers from "@sinonjs/fake-timers";
import test, { ExecutionContext } from "ava";
import { OrderAnswer } from "../../../dispatch/common/workers/workerClient";
import { WorkerEntry } from "../../../dispatch/common/workers/workerEntry";
import { WorkerEffect } from "../../../dispatch/common/workers/workerMessages";
import { OrderSender } from "../orderSender";

const WORKER = { id: "w" } as WorkerEntry;
const DONE: OrderAnswer = { outcome: "done", clockMs: 1 };

function speedUp(task: string): WorkerEffect {
    const order = { task, run: 1, fence: 1, percent: 100 };
    return { kind: "throttle", worker: WORKER, order, isIncrease: true };
}

const START: WorkerEffect = {
    kind: "start",
    worker: WORKER,
    order: { task: "s", run: 1, payload: "", validUntil: 0, fence: 1, checkpoint: "" },
};

const STOP: WorkerEffect = { kind: "stop", worker: WORKER, order: { task: "s", run: 1, fence: 1 } };

/** A sender whose worker answers each order after a time, on a clock that the test advances. */
function createSender(t: ExecutionContext, answerMs: number) {
    const clock = FakeTimers.install();
    const sent: string[] = [];
    const sender = OrderSender.create(effect => {
        sent.push(effect.kind);
        return new Promise(resolve => setTimeout(() => resolve(DONE), answerMs));
    });
    t.teardown(() => {
        sender.dispose();
        clock.uninstall();
    });
    return { clock, sent, sender };
}

test.serial("a stop does not wait until the speeds of other runs are set", async t => {
    const { clock, sent, sender } = createSender(t, 200);
    for (let index = 0; index < 20; index++) {
        void sender.send(speedUp(`t${index}`));
    }
    const stopped = sender.send({ ...STOP, order: { ...STOP.order, task: "x" } });
    await clock.tickAsync(200);
    t.deepEqual(sent.slice(0, 5), ["throttle", "throttle", "throttle", "throttle", "stop"]);
    await clock.tickAsync(200);
    const { outcome, unsentMs } = await stopped;
    t.is(outcome, "done");
    t.is(unsentMs, 200);
});

test.serial("an order that is not sent in time is given up and never sent", async t => {
    const { clock, sent, sender } = createSender(t, 5_000);
    for (let index = 0; index < 4; index++) {
        void sender.send(speedUp(`t${index}`));
    }
    const answer = sender.send(START);
    await clock.tickAsync(800);
    t.is((await answer).outcome, "unreachable");
    await clock.tickAsync(20_000);
    t.deepEqual(sent, Array(4).fill("throttle"));
});

test.serial("a start that waits when its run is stopped is never sent", async t => {
    const { clock, sent, sender } = createSender(t, 100);
    for (let index = 0; index < 4; index++) {
        void sender.send(speedUp(`t${index}`));
    }
    const started = sender.send(START);
    const stopped = sender.send(STOP);
    t.is((await started).outcome, "superseded");
    await clock.tickAsync(1_000);
    t.is((await stopped).outcome, "done");
    t.false(sent.includes("start"));
});

test.serial("after an error of a call, the next order is sent", async t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const sent: string[] = [];
    const sender = OrderSender.create(effect => {
        sent.push(effect.kind);
        return sent.length <= 4 ? Promise.reject(new Error("closed")) : Promise.resolve(DONE);
    });
    const calls = Array.from({ length: 4 }, (_, index) => sender.send(speedUp(`t${index}`)));
    const stopped = sender.send(STOP);
    const results = await Promise.allSettled(calls);
    t.true(results.every(each => each.status === "rejected"));
    t.is((await stopped).outcome, "done");
    sender.dispose();
});

test.serial("a list waits until it is sent, so that its worker does not count as silent", async t => {
    const { clock, sent, sender } = createSender(t, 500);
    for (let index = 0; index < 12; index++) {
        void sender.send({ ...STOP, order: { ...STOP.order, task: `t${index}` } });
    }
    const order = { fence: 1, leaseUntil: 0, recordedUpTo: 0, waitMs: 0 };
    const listed = sender.send({ kind: "list", worker: WORKER, order });
    await clock.tickAsync(2_000);
    t.is((await listed).outcome, "done");
    t.true(sent.includes("list"));
});

test.serial("a higher speed that is not sent soon is given up, so that a lower one can be ordered", async t => {
    const { clock, sender } = createSender(t, 5_000);
    for (let index = 0; index < 4; index++) {
        void sender.send({ ...STOP, order: { ...STOP.order, task: `t${index}` } });
    }
    const answer = sender.send(speedUp("x"));
    await clock.tickAsync(200);
    t.is((await answer).outcome, "unreachable");
});

// One start went with each answer.
test.serial("starts that waited for a confirmation are all sent once it is answered", async t => {
    const { clock, sent, sender } = createSender(t, 300);
    const list: WorkerEffect = { kind: "list", worker: WORKER, order: { fence: 1, recordedUpTo: 7, waitMs: 0 } };
    void sender.send(list);
    const answers = ["a", "b", "c", "d"].map(task => sender.send({ ...START, order: { ...START.order, task } }));
    await clock.tickAsync(300);
    t.deepEqual(sent, ["list", "start", "start", "start", "start"]);
    await clock.tickAsync(5000);
    t.deepEqual(
        (await Promise.all(answers)).map(a => a.outcome),
        ["done", "done", "done", "done"],
    );
});
