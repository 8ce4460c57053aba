import test from "ava";
import { RegionFixture, RegionPlan } from "./regionFixture";

/** Shortest time for which a call to a worker is awaited, in ms: an order that takes as long to cross the link is lost. */
const MAX_ORDER_DELAY_MS = 800;

const SMALL_ROUTES = 100;

/** Interval between two checks of the instances, in ms. */
const CHECK_INTERVAL_MS = 100;

interface Storm {
    readonly routes: number;
    readonly changes: number;
    readonly intervalMs: number;
}

/** A region of the large site: 51 of 97 instances, and what else was seen to cross its link: jobs and orders. */
const LARGE_SITE: RegionPlan = {
    instances: 51,
    workers: 378,
    linkMbps: 105,
    otherMbps: 25,
    delayMs: 20,
    configurationMs: 5_000,
};

const SMALL_SITE: RegionPlan = {
    instances: 4,
    workers: 60,
    linkMbps: 21,
    otherMbps: 4,
    delayMs: 20,
    configurationMs: 2_500,
};

/**
 * Lets a configuration grow, and then change in quick succession.
 * @returns The longest time that an order took to cross the link during the storm, in ms, and what the instances did wrong.
 */
function playStorm(plan: RegionPlan, { routes, changes, intervalMs }: Storm) {
    const region = new RegionFixture(plan);
    region.configure(SMALL_ROUTES);
    region.advance(5_000);
    let outdated = 0;
    const advance = (ms: number) => {
        for (const until = region.now + ms; region.now < until;) {
            region.advance(Math.min(CHECK_INTERVAL_MS, until - region.now));
            outdated = Math.max(outdated, region.countOutdated());
            region.callAll();
        }
    };
    region.configure(routes);
    advance(2_600);
    const beganAt = region.now;
    for (let change = 0; change < changes; change++) {
        region.configure(routes);
        advance(intervalMs);
    }
    advance(2 * plan.configurationMs);
    const delays = region.probes.filter(({ sentAt }) => sentAt >= beganAt).map(({ tookMs }) => tookMs);
    const refused = region.answers.filter(({ at, kind }) => at >= beganAt && kind === "unavailable").length;
    return { longestMs: Math.max(...delays), outdated, refused, length: region.configurationLength };
}

const STORMS: Readonly<Record<string, { readonly plan: RegionPlan; readonly storm: Storm }>> = {
    "of the large site": { plan: LARGE_SITE, storm: { routes: 1_732, changes: 20, intervalMs: 230 } },
    "of the large site that lasts": { plan: LARGE_SITE, storm: { routes: 1_400, changes: 60, intervalMs: 330 } },
    "of the large site, one at a time": { plan: LARGE_SITE, storm: { routes: 1_400, changes: 3, intervalMs: 7_000 } },
    "of a small site": { plan: SMALL_SITE, storm: { routes: 1_400, changes: 16, intervalMs: 250 } },
};

// TWICE: all instances of a region read large configurations together, orders were lost on its link, and leases ended.
for (const [title, { plan, storm }] of Object.entries(STORMS)) {
    test(`orders cross the link to a region in a storm of large configurations ${title}, which are in force in time`, t => {
        const { longestMs, outdated, refused, length } = playStorm(plan, storm);
        t.log(`${length} characters, orders ${Math.round(longestMs)} ms, outdated ${outdated}, refused ${refused}`);
        t.true(longestMs < MAX_ORDER_DELAY_MS, `an order took ${Math.round(longestMs)} ms`);
        t.is(outdated, 0, "instances with a configuration that must not be in force any more");
        t.is(refused, 0, "calls refused since the configuration was not known in time");
    });
}

/** What a node may spend on control, in bytes a second. */
const CONTROL_BYTES_PER_S = 29_000;

// TWICE: heartbeats that were replaced within seconds took a third of the link to a region.
test("what an instance on standby reads of a large fleet is within what a node may spend on control", t => {
    const region = new RegionFixture({ ...LARGE_SITE, instances: 8 });
    region.configure(SMALL_ROUTES);
    region.advance(10_000);
    const before = sum(region.readBytes.values());
    const seconds = 36;
    region.advance(seconds * 1_000);
    const bytesPerS = (sum(region.readBytes.values()) - before) / seconds / 8;
    t.true(bytesPerS <= CONTROL_BYTES_PER_S, `${Math.round(bytesPerS)} bytes a second`);
});

function sum(values: Iterable<number>): number {
    return [...values].reduce((total, value) => total + value, 0);
}
