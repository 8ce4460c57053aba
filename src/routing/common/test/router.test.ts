import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { LinkBudget } from "../linkBudget";
import { RequestClass } from "../request";
import { RoundRobin } from "../roundRobin";
import { Router } from "../router";
import { RouteEffect } from "../routeEvents";
import { SlotSource } from "../slotSource";

class FixedSlots extends SlotSource {
    slotsEach = 1;
    workers = ["a", "b"];
    override upstreams() {
        return this.workers.map(worker => ({ worker, address: `${worker}:1`, region: "north" }));
    }
    override slots() {
        return this.slotsEach;
    }
    override address(worker: string) {
        return `${worker}:1`;
    }
}

function create() {
    const outbox = Outbox.create<RouteEffect>();
    const slots = new FixedSlots();
    const router = Router.create("north", slots, RoundRobin.create(), LinkBudget.create(1), outbox);
    const receive = (id: number, requestClass: RequestClass, now: number) => {
        const description = { id, service: "s", requestClass, deadline: now + 3_000, bytes: 10, isStreaming: false };
        router.handle({ kind: "request-received", description }, now);
    };
    const drainEffects = () => outbox.drain().filter(effect => effect.kind !== "request-measured");
    return { router, slots, receive, drainEffects };
}

test("a request that was not sent is retried whatever its class", t => {
    const { router, receive, drainEffects } = create();
    receive(1, "non-idempotent", 0);
    t.like(drainEffects()[0], { kind: "upstream-send", attempt: 1 });
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "not-sent" }, 1);
    t.true(drainEffects().some(effect => effect.kind === "upstream-send" && effect.attempt === 2));
});

test("a request that may have run is retried only if it is idempotent", t => {
    const { router, receive, drainEffects } = create();
    receive(1, "non-idempotent", 0);
    receive(2, "idempotent", 0);
    drainEffects();
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    router.handle({ kind: "upstream-failed", request: 2, attempt: 1, certainty: "broken" }, 1);
    const effects = drainEffects();
    t.true(
        effects.some(effect => effect.kind === "caller-refuse" && effect.request === 1 && effect.outcome === "unknown"),
    );
    t.false(effects.some(effect => effect.kind === "caller-refuse" && effect.request === 2));
});

test("a request that three upstreams have broken off is not sent to a fourth", t => {
    const { router, slots, receive, drainEffects } = create();
    slots.workers = ["a", "b", "c", "d", "e", "f"];
    receive(1, "idempotent", 0);
    for (let attempt = 1; attempt <= 3; attempt++) {
        t.true(drainEffects().some(effect => effect.kind === "upstream-send" && effect.attempt === attempt));
        router.handle({ kind: "upstream-failed", request: 1, attempt, certainty: "broken" }, attempt);
    }
    const effects = drainEffects();
    t.false(effects.some(effect => effect.kind === "upstream-send"));
    t.true(effects.some(effect => effect.kind === "caller-refuse" && effect.outcome === "unknown"));
});

test("a request whose earlier attempt may have run never gets the outcome not-run", t => {
    const { router, slots, receive, drainEffects } = create();
    receive(1, "idempotent", 0);
    slots.slotsEach = 0;
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    drainEffects();
    router.tick(4_000);
    t.like(
        drainEffects().find(effect => effect.kind === "caller-refuse"),
        { outcome: "unknown" },
    );
});

test("a request that got no slot by its deadline gets the outcome not-run", t => {
    const { router, slots, receive, drainEffects } = create();
    slots.slotsEach = 0;
    receive(1, "non-idempotent", 0);
    t.deepEqual(drainEffects(), []);
    router.tick(3_001);
    t.like(drainEffects()[0], { kind: "caller-refuse", outcome: "not-run", reason: "deadline" });
});

test("a response to an abandoned attempt is ignored", t => {
    const { router, receive, drainEffects } = create();
    receive(1, "idempotent", 0);
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    drainEffects();
    router.handle({ kind: "upstream-response-started", request: 1, attempt: 1 }, 2);
    t.false(drainEffects().some(effect => effect.kind === "upstream-relay"));
    router.handle({ kind: "upstream-response-started", request: 1, attempt: 2 }, 3);
    t.true(drainEffects().some(effect => effect.kind === "upstream-relay" && effect.attempt === 2));
});

test("an unresponsive upstream is probed, and its connections are replaced when a new one works", t => {
    const { router, receive, drainEffects } = create();
    receive(1, "non-idempotent", 0);
    drainEffects();
    router.tick(1_500);
    t.true(drainEffects().some(effect => effect.kind === "upstream-probe"));
    const [worker] = ["a", "b"].filter(name => router.usedSlots(name, 1_500) > 0);
    router.handle({ kind: "probe-answered", worker }, 1_510);
    const effects = drainEffects();
    t.true(effects.some(effect => effect.kind === "upstream-replace" && effect.worker === worker));
    // The request may be running: it is neither aborted nor retried.
    t.false(effects.some(effect => effect.kind === "upstream-send" || effect.kind === "upstream-abort"));
});

test("an abandoned request keeps its slot until the upstream has stopped", t => {
    const { router, receive } = create();
    receive(1, "non-idempotent", 0);
    router.tick(3_001);
    const used = (now: number) => router.usedSlots("a", now) + router.usedSlots("b", now);
    t.is(used(3_500), 1);
    t.is(used(4_100), 0);
});
