import test from "ava";
import fc from "fast-check";
import { Grant, GRANT_LEASE_MS, GrantLimit } from "../grant";
import { GrantHoldings } from "../grantHoldings";
import { GrantTable } from "../grantTable";

const TAIL_MS = 1_000;

function ask(holdings: GrantHoldings, instance: string, slots: number, now: number) {
    const demands = [{ service: "s", slots }];
    const position = holdings.latestReply("shard");
    return {
        kind: "grant-ask",
        shard: "shard",
        instance,
        demands,
        latencies: [],
        ...position,
        held: holdings.held("shard", now),
    } as const;
}

test("slots move to the instance with more demand only after their holder has released them", t => {
    const table = GrantTable.create("shard", 1, TAIL_MS);
    table.setShare("w", 4);
    const busy = new Map<string, number>();
    const a = GrantHoldings.create(worker => busy.get(worker) ?? 0);
    const b = GrantHoldings.create(() => 0);
    const exchange = (holdings: GrantHoldings, name: string, demand: number, now: number) =>
        holdings.applyReply(table.reply(ask(holdings, name, demand, now), now), now);
    exchange(a, "a", 4, 0);
    table.applyLimits(table.updateLimits(0));
    exchange(a, "a", 4, 10);
    t.is(a.slots("shard", "w", 11), 4);

    busy.set("w", 4);
    exchange(a, "a", 0, 20);
    exchange(b, "b", 40, 21);
    table.applyLimits(table.updateLimits(22));
    exchange(b, "b", 40, 23);
    t.is(b.slots("shard", "w", 24), 0);
    exchange(a, "a", 0, 30);
    busy.set("w", 0);
    exchange(a, "a", 0, 40);
    exchange(a, "a", 0, 50);
    table.applyLimits(table.updateLimits(51));
    exchange(b, "b", 40, 60);
    t.true(b.slots("shard", "w", 61) >= 3);
    t.true(a.slots("shard", "w", 61) + b.slots("shard", "w", 61) <= 4);
});

test("a grant expires at its holder before the owner reassigns its slots", t => {
    const table = GrantTable.create("shard", 1, TAIL_MS);
    table.setShare("w", 1);
    const a = GrantHoldings.create(() => 0);
    table.reply(ask(a, "a", 1, 0), 0);
    table.applyLimits(table.updateLimits(0));
    a.applyReply(table.reply(ask(a, "a", 1, 5), 8), 5);
    t.is(a.slots("shard", "w", GRANT_LEASE_MS + 4), 1);
    t.is(a.slots("shard", "w", GRANT_LEASE_MS + 5), 0);
    t.is(table.inUse("w", GRANT_LEASE_MS + 8), 1);
});

test("a new owner reserves slots up to the limits in the log for an instance that has not replied", t => {
    const table = GrantTable.create("shard", 2, TAIL_MS);
    const limits: Grant[] & GrantLimit[] = [
        { worker: "w", instance: "dead", slots: 2 },
        { worker: "w", instance: "alive", slots: 1 },
    ];
    table.restoreLimits(limits, () => true, 5_000, 0);
    table.setShare("w", 3);
    table.applyHeldGrants("alive", [{ worker: "w", slots: 1 }], 10);
    t.is(table.inUse("w", 20), 3);
    t.is(table.inUse("w", 5_000 + 2 * GRANT_LEASE_MS), 0);
});

test("grants never exceed the share when replies are lost, late or reordered", t => {
    const event = fc.record({
        instance: fc.constantFrom(0, 1, 2),
        demand: fc.integer({ min: 0, max: 9 }),
        busy: fc.integer({ min: 0, max: 3 }),
        delivery: fc.constantFrom("delivered", "delivered", "delivered", "lost", "late"),
        pauseMs: fc.integer({ min: 1, max: 9_000 }),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 60 }), events => {
            const table = GrantTable.create("shard", 1, TAIL_MS);
            table.setShare("w", 4);
            const busy = [0, 0, 0];
            const holders = busy.map((_, index) => GrantHoldings.create(() => busy[index]));
            const lateReplies: (() => void)[] = [];
            let now = 0;
            for (const { instance, demand, busy: busySlots, delivery, pauseMs } of events) {
                now += pauseMs;
                const holder = holders[instance];
                busy[instance] = Math.min(busySlots, holder.slots("shard", "w", now));
                const askedAt = now;
                const reply = table.reply(ask(holder, String(instance), demand, now), now);
                if (delivery === "delivered") {
                    holder.applyReply(reply, askedAt);
                } else if (delivery === "late") {
                    lateReplies.push(() => holder.applyReply(reply, askedAt));
                } else {
                    lateReplies.splice(0).forEach(deliver => deliver());
                }
                busy.forEach(
                    (_, index) => (busy[index] = Math.min(busy[index], holders[index].slots("shard", "w", now))),
                );
                table.applyLimits(table.updateLimits(now));
                const total = holders.reduce((sum, each) => sum + each.slots("shard", "w", now), 0);
                t.true(total <= 4, `${total} slots are held`);
                t.true(table.totalLimit("w") <= 4);
            }
        }),
        { seed: 3, numRuns: 300 },
    );
});

test("an instance that returns after its grants expired accepts replies of the same owner again", t => {
    const table = GrantTable.create("shard", 1, TAIL_MS);
    table.setShare("w", 2);
    const a = GrantHoldings.create(() => 0);
    const exchange = (now: number) => a.applyReply(table.reply(ask(a, "a", 2, now), now), now);
    for (let now = 0; now < 20_000; now += 1_000) {
        exchange(now);
        table.applyLimits(table.updateLimits(now));
    }
    t.is(a.slots("shard", "w", 20_000), 2);
    const returnedAt = 20_000 + 3 * GRANT_LEASE_MS;
    table.applyLimits(table.updateLimits(returnedAt));
    t.is(a.slots("shard", "w", returnedAt), 0);
    exchange(returnedAt);
    table.applyLimits(table.updateLimits(returnedAt + 1));
    exchange(returnedAt + 2);
    t.is(a.slots("shard", "w", returnedAt + 3), 2);
});
