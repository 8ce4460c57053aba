import test from "ava";
import { CONFIGURATION, InstanceFixture } from "./instanceFixture";

/** Time in which an instance without a leader before it begins to lead and contacts the workers, in ms. */
const START_MS = 6_000;

/** Interval between two submissions, in ms. */
const SUBMIT_INTERVAL_MS = 125;

/** Time after a request for which jobs are submitted, in ms. */
const OBSERVED_MS = 8_000;

/** Time after the store has accepted an evacuation from which no task starts in the domain, in ms. */
const EVACUATION_MS = 5_000;

/** A longer bound of configurations, which are read from the same stream, so that the one of evacuations binds. */
const CONFIGURATION_MS = 20_000;

const EVACUATION_KEY = "evacuate/east";

/** @returns A leader with workers in two domains; nothing has run yet. */
function createLeader(configurationMs = CONFIGURATION_MS): InstanceFixture {
    const fixture = new InstanceFixture([], { evacuationMs: EVACUATION_MS, configurationMs });
    for (let index = 0; index < 40; index++) {
        const zone = index < 20 ? "east" : "west";
        fixture.addWorker(`${zone}-${index}`, index, "svc", zone);
    }
    fixture.advance(START_MS);
    return fixture;
}

/** @returns Time (ms) at which the evacuation was stored. */
function evacuate(fixture: InstanceFixture): number {
    fixture.streams.operator.store(EVACUATION_KEY, "{}");
    return fixture.time;
}

/** A step whose tasks need the workers of both domains, if they are to run at the same time. */
const WIDE_STEP = { cpu: 10, maxPerServer: 1 };
const WIDE_TASKS = 24;

/** Submits jobs for some time. */
function submitFor(fixture: InstanceFixture, ms: number): void {
    for (const until = fixture.time + ms; fixture.time < until;) {
        fixture.submit(WIDE_TASKS, WIDE_STEP);
        fixture.advance(SUBMIT_INTERVAL_MS);
    }
}

/**
 * Checks that no task is started in the domain after the evacuation counts, however late a worker carries out the order.
 * @param evacuatedAt Time (ms) at which it was stored.
 */
function checkStarts(
    t: { is(a: unknown, b: unknown, m?: string): void },
    fixture: InstanceFixture,
    evacuatedAt: number,
) {
    const late = fixture.starts.filter(
        ({ worker, order }) => worker.startsWith("east") && order.validUntil - evacuatedAt > EVACUATION_MS,
    );
    t.is(
        late.length,
        0,
        `${Math.max(...late.map(({ order }) => order.validUntil - evacuatedAt))} ms after the request`,
    );
}

/** @returns Domains of the workers that got starts since the last call. */
function startedDomains(fixture: InstanceFixture): string[] {
    return [...new Set(fixture.takeStarted().map(each => each.split("-")[0]))].sort();
}

test("nothing is sent to an evacuated domain until the evacuation is taken back, and runs there go on", t => {
    const fixture = createLeader();
    submitFor(fixture, 1_000);
    t.deepEqual(startedDomains(fixture), ["east", "west"]);
    const running = fixture.runsOf("east");
    evacuate(fixture);
    fixture.advance(500);
    t.deepEqual(fixture.decisionsOf("domain-evacuated"), [{ failureDomain: "east" }]);
    fixture.takeStarted();
    submitFor(fixture, OBSERVED_MS);
    t.deepEqual(startedDomains(fixture), ["west"]);
    const left = new Set(fixture.runsOf("east"));
    t.true(running.length > 0 && running.every(each => left.has(each)));
    fixture.streams.operator.store(EVACUATION_KEY, undefined);
    fixture.advance(500);
    t.deepEqual(fixture.decisionsOf("domain-restored"), [{ failureDomain: "east" }]);
    submitFor(fixture, 1_000);
    t.deepEqual(startedDomains(fixture), ["east", "west"]);
});

test("a start whose assignment waits for the store is withheld if its domain is evacuated meanwhile", t => {
    const fixture = createLeader();
    fixture.holdAppends("progress");
    fixture.submit(WIDE_TASKS, WIDE_STEP);
    fixture.advance(500);
    evacuate(fixture);
    fixture.advance(500);
    t.deepEqual(fixture.takeStarted(), []);
    fixture.releaseAppends();
    fixture.advance(500);
    const reasons = fixture.decisionsOf("start-withheld").map(each => (each as { reason: string }).reason);
    t.true(reasons.includes("evacuated"), reasons.join());
    t.deepEqual(startedDomains(fixture), ["west"]);
});

test("waits for workers do not rest on those of an evacuated domain, whose jobs start elsewhere or as soon as it is back", t => {
    const fixture = createLeader();
    evacuate(fixture);
    fixture.advance(500);
    for (let index = 20; index < 40; index++) {
        fixture.storeOdd(`west-${index}`, { state: "draining", drainRemainingMs: 60_000 });
        fixture.workers.get(`west-${index}`)!.hasHeartbeats = false;
    }
    fixture.advance(500);
    fixture.takeStarted();
    fixture.submit(4, { cpu: 100 });
    fixture.advance(4_000);
    t.deepEqual(fixture.takeStarted(), []);
    fixture.streams.operator.store(EVACUATION_KEY, undefined);
    fixture.advance(600);
    t.is(fixture.takeStarted().length, 4);
});

// Jobs waited for a worker on which they ran fast, as if the service had room.
test("workers of an evacuated domain are no room of the service by which waits are bounded", t => {
    const fixture = createLeader();
    evacuate(fixture);
    fixture.advance(500);
    fixture.submit(20, { cpu: 3_800, maxPerServer: 1 });
    fixture.advance(1_000);
    t.deepEqual(startedDomains(fixture), ["west"]);
    fixture.submit(1, { cpu: 1_000 });
    fixture.advance(2_500);
    const [report] = fixture.decisionsOf("job-waits") as { cpuUsedPercent: number; boundMs: number | undefined }[];
    t.is(report.cpuUsedPercent, 95);
    t.is(report.boundMs, undefined);
});

test("an evacuation without a record after a reload of the newest keys is over, and one that has a record holds", t => {
    const fixture = createLeader();
    const { operator } = fixture.streams;
    evacuate(fixture);
    operator.store("evacuate/north", "{}");
    fixture.advance(500);
    fixture.heldStreams.add("operator");
    operator.store("evacuate/north", undefined);
    operator.store("evacuate/west", "{}");
    operator.expire();
    fixture.heldStreams.clear();
    fixture.advance(2_000);
    t.deepEqual(fixture.decisionsOf("domain-restored"), [{ failureDomain: "north" }]);
    fixture.takeStarted();
    fixture.submit(4, { cpu: 100 });
    fixture.advance(1_000);
    t.deepEqual(fixture.takeStarted(), []);
    operator.store(EVACUATION_KEY, undefined);
    operator.expire();
    fixture.advance(1_000);
    t.deepEqual(startedDomains(fixture), ["east"]);
});

test("odd records of evacuations evacuate nothing and are logged", t => {
    const fixture = createLeader();
    const { operator } = fixture.streams;
    ["evacuate/", "evacuate/ea\ufffdst", "evacuate/a b", "evacuate/\u0000", "evacuation", "wave/1"].forEach(key =>
        operator.store(key, "{}"),
    );
    submitFor(fixture, 1_000);
    t.deepEqual(startedDomains(fixture), ["east", "west"]);
    t.deepEqual(fixture.decisionsOf("domain-evacuated"), []);
    const keys = fixture.decisionsOf("record-malformed").map(each => (each as { key: string }).key);
    t.deepEqual(keys, ["evacuate/", "evacuate/ea\ufffdst", "evacuate/a b", "evacuate/\u0000"]);
});

/** Times (ms) between the beginning of a fault and the request. */
const OFFSETS_MS = [0, 100, 300, 500, 900, 1_400];

for (const offsetMs of OFFSETS_MS) {
    test(`a leader whose reads of the operator's stream are not answered starts nothing in an evacuated domain, requested after ${offsetMs} ms`, t => {
        const fixture = createLeader();
        fixture.heldStreams.add("operator");
        submitFor(fixture, offsetMs);
        const evacuatedAt = evacuate(fixture);
        submitFor(fixture, OBSERVED_MS);
        checkStarts(t, fixture, evacuatedAt);
        fixture.heldStreams.clear();
        fixture.advance(1_000);
        fixture.takeStarted();
        submitFor(fixture, 1_000);
        t.deepEqual(startedDomains(fixture), ["west"]);
    });

    test(`a leader knows an evacuation in time although a read stalls, requested after ${offsetMs} ms`, t => {
        const fixture = createLeader();
        fixture.stallReads("operator");
        submitFor(fixture, offsetMs);
        const evacuatedAt = evacuate(fixture);
        submitFor(fixture, OBSERVED_MS);
        checkStarts(t, fixture, evacuatedAt);
        t.deepEqual(fixture.decisionsOf("view-old"), []);
    });

    test(`a leader whose reads of the operator's stream are slow starts nothing in an evacuated domain, requested after ${offsetMs} ms`, t => {
        const fixture = createLeader();
        fixture.lateMs.set("operator", 2_500);
        submitFor(fixture, 5_000 + offsetMs);
        const evacuatedAt = evacuate(fixture);
        submitFor(fixture, OBSERVED_MS);
        checkStarts(t, fixture, evacuatedAt);
        t.true(fixture.starts.some(each => each.worker.startsWith("west")));
    });
}

test("a leader whose reads of the operator's stream fail starts nothing in an evacuated domain", t => {
    const fixture = createLeader();
    fixture.failingStreams.add("operator");
    const evacuatedAt = evacuate(fixture);
    submitFor(fixture, OBSERVED_MS);
    checkStarts(t, fixture, evacuatedAt);
    fixture.failingStreams.clear();
    submitFor(fixture, 1_000);
    fixture.takeStarted();
    submitFor(fixture, 1_000);
    t.deepEqual(startedDomains(fixture), ["west"]);
});

test("a new leader asks for evacuations at once, so its first starts avoid an evacuated domain", t => {
    const fixture = createLeader();
    fixture.heldStreams.add("operator");
    evacuate(fixture);
    fixture.restart();
    fixture.advance(START_MS);
    t.true(fixture.isLeading);
    fixture.heldStreams.clear();
    fixture.advance(100);
    fixture.submit(WIDE_TASKS, WIDE_STEP);
    fixture.advance(1_000);
    t.deepEqual(startedDomains(fixture), ["west"]);
});

/** @returns A configuration that takes the link some time. */
function largeConfiguration(version: number): string {
    return JSON.stringify({ ...CONFIGURATION, version, padding: "x".repeat(200_000) });
}

// Of several records after a large configuration, only the last was read.
for (const isRemoved of [false, true]) {
    const change = isRemoved ? "the end of an evacuation" : "an evacuation";
    test(`${change} between large configurations in quick succession is known in time`, t => {
        const fixture = createLeader();
        const { operator } = fixture.streams;
        if (isRemoved) {
            evacuate(fixture);
            fixture.advance(500);
        }
        operator.store("config", largeConfiguration(2));
        fixture.advance(500);
        operator.store("config", largeConfiguration(3));
        operator.store(EVACUATION_KEY, isRemoved ? undefined : "{}");
        operator.store("config", largeConfiguration(4));
        fixture.advance(CONFIGURATION_MS);
        t.deepEqual(fixture.decisionsOf("domain-evacuated"), [{ failureDomain: "east" }]);
        t.is(fixture.decisionsOf("domain-restored").length, isRemoved ? 1 : 0);
        const applied = fixture.decisionsOf("config-applied").map(each => (each as { version: number }).version);
        t.deepEqual(applied, [1, 2, 4]);
    });
}
