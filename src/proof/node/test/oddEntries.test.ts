import test from "ava";
import * as fc from "fast-check";
import { CONFIGURATION, InstanceFixture } from "./instanceFixture";

const SEED = 27;

/** Time in which an instance without a leader before it begins to lead and contacts the workers, in ms. */
const START_MS = 6_000;

/** Time in which the next heartbeat of each worker is read and a task is started, in ms. */
const HEARTBEAT_MS = 3_500;

const DEEP = '{"a":'.repeat(50_000) + "0" + "}".repeat(50_000);

/** Values that another writer may store under any id. */
const UNREADABLE: readonly string[] = ["", "{", "null", "7", "[]", "{}", "\ufffd\ufffd", DEEP, "[".repeat(100_000)];

/** Fields that make an entry odd. */
const ODD_FIELDS: readonly object[] = [
    { addr: "10.0.0.1:99999" },
    { addr: "10.0.0.1:0" },
    { addr: "10.0.0.1:-1" },
    { addr: "10.0.0.1" },
    { addr: "" },
    { addr: "10.0.0.1:80/x" },
    { addr: 8080 },
    { born: 1e308 },
    { born: 2 ** 53 },
    { born: 1.5 },
    { capacity: { cpu: 1e308, memMb: 1e308, gpu: 1e308 } },
    { capacity: { cpu: -1 } },
    { capacity: "big" },
    { capacity: undefined },
    { state: "gone" },
    { state: "draining", drainRemainingMs: 1e308 },
    { warmupLeftMs: 1e308 },
    { service: "unknown" },
    { service: undefined },
    { labels: [1] },
];

function createLeader(workers: readonly string[] = ["w1", "w2"]): InstanceFixture {
    const fixture = new InstanceFixture(workers);
    fixture.advance(START_MS);
    return fixture;
}

test("an instance starts the tasks of a job", t => {
    const fixture = createLeader();
    t.true(fixture.isLeading);
    fixture.submit(4);
    fixture.advance(HEARTBEAT_MS);
    t.deepEqual(fixture.answers, ["accepted"]);
    t.is(fixture.takeStarted().length, 4);
});

/** Writes odd entries under new ids and checks that they get no task and that the workers get all. */
function checkStrangers(t: { is(a: unknown, b: unknown, m?: string): void }, fixture: InstanceFixture): void {
    fixture.submit(6);
    fixture.advance(HEARTBEAT_MS);
    const started = fixture.takeStarted();
    t.is(started.filter(each => each.startsWith("odd")).length, 0);
    t.is(started.length, 6);
}

function storeStrangers(fixture: InstanceFixture): void {
    UNREADABLE.forEach((value, index) => fixture.store(`odd-text-${index}`, value));
    const entry = fixture.workers.get("w1")!.entry;
    ODD_FIELDS.forEach((fields, index) => fixture.store(`odd-${index}`, JSON.stringify({ ...entry, ...fields })));
    fixture.store("odd \r\n", JSON.stringify(entry));
    fixture.store("", JSON.stringify(entry));
}

test("odd entries under ids of their own get no task, and the workers get all", t => {
    const fixture = createLeader();
    storeStrangers(fixture);
    checkStrangers(t, fixture);
});

test("odd entries that a leader loads get no task, and the workers get all", t => {
    const fixture = new InstanceFixture(["w1", "w2"]);
    storeStrangers(fixture);
    fixture.advance(START_MS);
    checkStrangers(t, fixture);
});

test("an instance that restarts over odd entries leads again, and the workers get all tasks", t => {
    const fixture = createLeader();
    storeStrangers(fixture);
    fixture.advance(500);
    fixture.restart();
    storeStrangers(fixture);
    fixture.advance(START_MS);
    t.true(fixture.isLeading);
    checkStrangers(t, fixture);
});

test("odd entries that arrive while the newest ones are loaded get no task", t => {
    const ids = Array.from({ length: 50 }, (_, index) => `w${index + 1}`);
    const fixture = new InstanceFixture(ids);
    for (let step = 0; step < 20; step++) {
        storeStrangers(fixture);
        fixture.advance(25);
    }
    fixture.advance(START_MS);
    checkStrangers(t, fixture);
});

for (const [index, fields] of ODD_FIELDS.entries()) {
    test(`a worker is used again after an odd entry under its id, ${JSON.stringify(fields)} (${index})`, t => {
        const fixture = createLeader(["w1"]);
        fixture.storeOdd("w1", fields);
        fixture.advance(HEARTBEAT_MS);
        fixture.submit(2);
        fixture.advance(500);
        t.deepEqual(fixture.takeStarted(), ["w1", "w1"]);
        // The entry is followed: a worker that drains gets nothing.
        fixture.workers.get("w1")!.entry.state = "draining";
        fixture.advance(HEARTBEAT_MS);
        fixture.submit(1);
        fixture.advance(HEARTBEAT_MS);
        t.deepEqual(fixture.takeStarted(), []);
    });

    test(`the runs of a worker go on after an odd entry under its id, ${JSON.stringify(fields)} (${index})`, t => {
        const fixture = createLeader(["w1", "w2"]);
        fixture.submit(8);
        fixture.advance(1_000);
        t.is(fixture.takeStarted().length, 8);
        fixture.storeOdd("w1", fields);
        fixture.advance(10_000);
        t.deepEqual(fixture.takeStarted(), []);
        t.deepEqual(fixture.decisionsOf("worker-silent"), []);
        t.deepEqual(fixture.decisionsOf("run-ended"), []);
    });
}

test("a task never goes to an entry of a service that is not configured", t => {
    const fixture = createLeader(["w1"]);
    fixture.workers.get("w1")!.entry.service = "unknown";
    fixture.advance(HEARTBEAT_MS);
    fixture.submit(2);
    fixture.advance(5_000);
    t.deepEqual(fixture.takeStarted(), []);
});

test("an odd configuration changes nothing, and a later valid one is in force", t => {
    const fixture = createLeader(["w1"]);
    const odd = ["{", "null", "[]", DEEP, '{"version":1e308,"routes":[],"services":[]}'];
    odd.push(JSON.stringify({ ...CONFIGURATION, version: 2 ** 60, routes: [] }));
    odd.forEach(value => fixture.streams.operator.store("config", value));
    fixture.advance(3_000);
    fixture.submit(1);
    fixture.advance(1_000);
    t.deepEqual(fixture.answers, ["accepted"]);
    const routes = [{ host: "host", prefix: "/other/", service: "svc" }];
    fixture.streams.operator.store("config", JSON.stringify({ ...CONFIGURATION, version: 5, routes }));
    fixture.advance(3_000);
    fixture.submit(1);
    fixture.advance(1_000);
    t.deepEqual(fixture.answers, ["accepted", "no-queue"]);
});

const oddValue = fc.oneof(
    fc.constantFrom(...UNREADABLE),
    fc.json(),
    fc
        .tuple(fc.constantFrom("service", "addr", "zone", "state", "capacity", "labels", "born"), fc.jsonValue())
        .map(([field, value]) => JSON.stringify({ service: "svc", [field]: value })),
);

test("whatever another writer stores at whatever time, the workers get all tasks", t => {
    const odd = fc.record({ key: fc.constantFrom("w1", "w2", "odd", ""), value: oddValue, waitMs: fc.nat(400) });
    fc.assert(
        fc.property(fc.array(odd, { maxLength: 12 }), fc.boolean(), (writes, isRestarted) => {
            const fixture = new InstanceFixture(["w1", "w2"]);
            writes.forEach(({ key, value, waitMs }) => {
                fixture.store(key, value);
                fixture.advance(waitMs);
            });
            if (isRestarted) {
                fixture.restart();
            }
            fixture.advance(START_MS);
            checkStrangers(t, fixture);
        }),
        { seed: SEED, numRuns: 60 },
    );
});

test("a worker that restarts after an odd entry with a later start is used with its new entry", t => {
    const fixture = createLeader(["w1"]);
    const worker = fixture.workers.get("w1")!;
    fixture.storeOdd("w1", { born: 9e13 });
    fixture.advance(HEARTBEAT_MS);
    worker.runs.clear();
    worker.entry = { ...worker.entry, addr: "10.0.0.77:8080", born: 1_700_000_010_000, state: "ready" };
    fixture.advance(8_000);
    fixture.submit(1);
    fixture.advance(HEARTBEAT_MS);
    t.is(fixture.starts[fixture.starts.length - 1]?.address, "10.0.0.77:8080");
});

test("an entry with a later start and the address of another machine does not shut out the worker", t => {
    const fixture = createLeader(["w1"]);
    fixture.storeOdd("w1", { born: 9e13, addr: "10.9.9.9:80" });
    fixture.advance(8_000);
    fixture.submit(1);
    fixture.advance(HEARTBEAT_MS);
    t.is(fixture.starts[fixture.starts.length - 1]?.address, "10.0.0.1:8080");
});

test("an odd entry that is written again and again costs one log line", t => {
    const fixture = createLeader(["w1"]);
    for (let round = 0; round < 100; round++) {
        fixture.store("odd", `{${round}`);
        fixture.advance(100);
    }
    t.is(fixture.decisionsOf("record-malformed").length, 1);
    fixture.storeOdd("w1", {});
    fixture.store("odd", JSON.stringify(fixture.workers.get("w1")!.entry));
    fixture.advance(1_000);
    fixture.store("odd", "{");
    fixture.advance(1_000);
    t.is(fixture.decisionsOf("record-malformed").length, 2);
});
