import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { LinkBudget } from "../linkBudget";
import { RequestClass } from "../request";
import { RoundRobin } from "../roundRobin";
import { Router } from "../router";
import { RouteEffect } from "../routeTraffic";
import { SlotSource } from "../slotSource";

class FixedSlots extends SlotSource {
    slotsEach = 1;
    override upstreams() {
        return ["a", "b"].map(worker => ({ worker, address: `${worker}:1`, region: "north" }));
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
        const description = { id, service: "s", requestClass, deadline: now + 3_000, bytes: 10, streaming: false };
        router.handle({ kind: "request-received", description }, now);
    };
    const kinds = () => outbox.drain().filter(effect => effect.kind !== "request-measured");
    return { router, slots, receive, kinds };
}

test("an attempt that was not sent is repeated whatever its class", t => {
    const { router, receive, kinds } = create();
    receive(1, "non-idempotent", 0);
    t.like(kinds()[0], { kind: "upstream-send", attempt: 1 });
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "not-sent" }, 1);
    t.true(kinds().some(effect => effect.kind === "upstream-send" && effect.attempt === 2));
});

test("an attempt that may have run is repeated only when that is harmless", t => {
    const { router, receive, kinds } = create();
    receive(1, "non-idempotent", 0);
    receive(2, "idempotent", 0);
    kinds();
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    router.handle({ kind: "upstream-failed", request: 2, attempt: 1, certainty: "broken" }, 1);
    const effects = kinds();
    t.true(
        effects.some(effect => effect.kind === "caller-refuse" && effect.request === 1 && effect.outcome === "unknown"),
    );
    t.false(effects.some(effect => effect.kind === "caller-refuse" && effect.request === 2));
});

test("a request whose earlier attempt is in doubt is never answered not-run", t => {
    const { router, slots, receive, kinds } = create();
    receive(1, "idempotent", 0);
    slots.slotsEach = 0;
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    kinds();
    router.tick(4_000);
    t.like(
        kinds().find(effect => effect.kind === "caller-refuse"),
        { outcome: "unknown" },
    );
});

test("without a slot a request waits until its deadline and certainly did not run", t => {
    const { router, slots, receive, kinds } = create();
    slots.slotsEach = 0;
    receive(1, "non-idempotent", 0);
    t.deepEqual(kinds(), []);
    router.tick(3_001);
    t.like(kinds()[0], { kind: "caller-refuse", outcome: "not-run", reason: "deadline" });
});

test("an answer to an attempt that was given up is nobody's", t => {
    const { router, receive, kinds } = create();
    receive(1, "idempotent", 0);
    router.handle({ kind: "upstream-failed", request: 1, attempt: 1, certainty: "broken" }, 1);
    kinds();
    router.handle({ kind: "upstream-head", request: 1, attempt: 1 }, 2);
    t.false(kinds().some(effect => effect.kind === "upstream-relay"));
    router.handle({ kind: "upstream-head", request: 1, attempt: 2 }, 3);
    t.true(kinds().some(effect => effect.kind === "upstream-relay" && effect.attempt === 2));
});

test("a quiet upstream is probed, and its connections are replaced when a new one works", t => {
    const { router, receive, kinds } = create();
    receive(1, "non-idempotent", 0);
    kinds();
    router.tick(1_500);
    t.true(kinds().some(effect => effect.kind === "upstream-probe"));
    const [worker] = ["a", "b"].filter(name => router.usedSlots(name, 1_500) > 0);
    router.handle({ kind: "probe-answered", worker }, 1_510);
    const effects = kinds();
    t.true(effects.some(effect => effect.kind === "upstream-replace" && effect.worker === worker));
    // The request may be running: it is neither given up nor repeated.
    t.false(effects.some(effect => effect.kind === "upstream-send" || effect.kind === "upstream-abort"));
});

test("a given up request keeps its slot until the upstream has stopped", t => {
    const { router, receive } = create();
    receive(1, "non-idempotent", 0);
    router.tick(3_001);
    const used = (now: number) => router.usedSlots("a", now) + router.usedSlots("b", now);
    t.is(used(3_500), 1);
    t.is(used(4_100), 0);
});
