import test from "ava";
import { ClientConnection } from "../clientConnection";
import { ConnectionHost } from "../connectionHost";
import { IngressGuard, IngressPort } from "../ingressGuard";
import { deriveIngressLimits } from "../ingressLimits";
import { RefusalReason } from "../refusalReason";

const BODY_BYTES = 262_144;
const STALLED_MS = 1_100;

const PORT: IngressPort = { name: "calls", maxConnections: 8, maxRequests: 2 };

/** Edge that records what is decided. */
class FakeHost extends ConnectionHost {
    readonly decisions: string[] = [];
    onClose: () => void = () => undefined;

    private constructor() {
        super();
    }

    static create(): FakeHost {
        return new FakeHost();
    }

    override close(reason: RefusalReason): void {
        this.decisions.push(`closed: ${reason}`);
        this.onClose();
    }

    override refuse(reason: RefusalReason): void {
        this.decisions.push(`refused: ${reason}`);
    }

    override resume(): void {
        this.decisions.push("resumed");
    }
}

/** A guard with room for two large bodies, whose closed connections go away at once. */
function createGuard() {
    const guard = IngressGuard.create(deriveIngressLimits({}, { bodyMb: 0.5 }));
    const refusals: string[] = [];
    guard.onDidRefuse(({ reason }) => refusals.push(reason));
    /** Time of the latest tick, in ms. */
    let latest = 0;
    const tick = (now: number) => {
        latest = now;
        guard.tick(now);
    };
    const open = (now = 0) => {
        const host = FakeHost.create();
        const connection = guard.admit(PORT, host, now)!;
        host.onClose = () => guard.remove(connection, latest);
        return { host, connection };
    };
    return { guard, refusals, open, tick };
}

/** A request that arrives, is handled and is answered. */
function serve(connection: ClientConnection, now: number): void {
    connection.recordReceived(100, now);
    connection.recordRequest();
    connection.recordRequestRead(now);
    connection.recordAnswerSent(now);
    connection.recordAnswered(true, now);
}

test("in calm, connections that make progress stay for hours", t => {
    const { guard, refusals, open, tick } = createGuard();
    const { connection } = open();
    for (let now = 0; now < 7_200_000; now += 30_000) {
        serve(connection, now);
        tick(now);
    }
    t.deepEqual(refusals, []);
    t.is(guard.connectionCount("calls"), 1);
});

test("a connection is refused above the limit", t => {
    const { refusals, open } = createGuard();
    const opened = Array.from({ length: 9 }, () => open());
    t.falsy(opened[8].connection);
    t.deepEqual(refusals, ["connection-limit"]);
});

test("a crowded port closes what makes no progress, the cheapest first, and nothing else", t => {
    const { refusals, open, tick } = createGuard();
    const [working, receiving, ...idle] = Array.from({ length: 8 }, () => open());
    working.connection.recordReceived(100, 0);
    working.connection.recordRequest();
    working.connection.recordRequestRead(0);
    receiving.connection.recordReceived(100, 0);
    tick(900);
    t.deepEqual(refusals, []);
    tick(STALLED_MS);
    t.deepEqual(refusals, ["made-room"]);
    t.is(idle.filter(({ host }) => host.decisions.length > 0).length, 1);
    t.deepEqual([...working.host.decisions, ...receiving.host.decisions], []);
});

test("a crowd that stops in the middle gives way, and one that sends on does not", t => {
    const { guard, refusals, open, tick } = createGuard();
    const all = Array.from({ length: 8 }, () => open());
    all.forEach(({ connection }) => connection.recordReceived(100, 0));
    const [steady] = all;
    steady.connection.recordReceived(40_000, 500);
    for (let now = 100; now <= 5_000; now += 100) {
        steady.connection.recordReceived(2_000, now);
        tick(now);
        while (guard.connectionCount("calls") < PORT.maxConnections) {
            open(now).connection.recordReceived(100, now);
        }
    }
    t.deepEqual(steady.host.decisions, []);
    t.true(refusals.length >= 7);
});

test("a client below the minimal pace is closed after the time to stall, whatever the load", t => {
    const { refusals, open, tick } = createGuard();
    const { connection } = open();
    connection.recordReceived(1, 0);
    for (let now = 0; now < 20_000; now += 1_000) {
        connection.recordReceived(1, now);
        tick(now);
    }
    t.deepEqual(refusals, []);
    tick(20_100);
    t.deepEqual(refusals, ["slow-request"]);
});

test("a client that does not read its answer is closed, one that waits for its answer is not", t => {
    const { refusals, open, tick } = createGuard();
    const [reader, waiter] = [open(), open()];
    for (const { connection } of [reader, waiter]) {
        connection.recordReceived(100, 0);
        connection.recordRequest();
        connection.recordRequestRead(0);
    }
    reader.connection.recordAnswerSent(0);
    tick(20_000);
    t.deepEqual(refusals, ["slow-answer"]);
    t.deepEqual(waiter.host.decisions, []);
    tick(600_000);
    t.deepEqual(refusals, ["slow-answer"]);
});

test("a request behind an answered one is not taken for work", t => {
    const { refusals, open, tick } = createGuard();
    const { connection } = open();
    connection.recordReceived(100, 0);
    connection.recordRequest();
    connection.recordRequestRead(0);
    connection.recordReceived(100, 0);
    connection.recordRequest();
    connection.recordAnswerSent(10);
    connection.recordAnswered(true, 10);
    t.is(connection.state, "receiving");
    tick(30_000);
    t.deepEqual(refusals, ["slow-request"]);
});

test("requests that are sent ahead wait until others are answered, and a body is read to its end", t => {
    const { open } = createGuard();
    const { connection } = open();
    for (let request = 0; request < PORT.maxRequests; request++) {
        t.false(connection.isHeld);
        connection.recordReceived(100, 0);
        connection.recordRequest();
        t.false(connection.isHeld);
        connection.recordRequestRead(0);
    }
    t.true(connection.isHeld);
    connection.recordAnswerSent(0);
    connection.recordAnswered(true, 0);
    t.false(connection.isHeld);
});

test("large bodies wait for room in turn", t => {
    const { guard, refusals, open, tick } = createGuard();
    const [first, second, third, fourth] = Array.from({ length: 4 }, () => open());
    for (const { connection } of [first, second, third, fourth]) {
        connection.recordReceived(20_000, 0);
        guard.requestRoom(connection, BODY_BYTES, 0);
    }
    t.deepEqual([second.connection.bodyRoom, third.connection.bodyRoom], ["granted", "waiting"]);
    t.true(third.connection.isHeld);
    guard.releaseRoom(first.connection, 500);
    t.deepEqual([third.host.decisions, fourth.host.decisions], [["resumed"], []]);
    tick(900);
    t.deepEqual(refusals, []);
});

test("a body that stops gives its room to one that waits; the time of the wait counts for nobody", t => {
    const { guard, refusals, open, tick } = createGuard();
    const [first, second, third] = Array.from({ length: 3 }, () => open());
    for (const { connection } of [first, second, third]) {
        connection.recordReceived(17_000, 0);
        guard.requestRoom(connection, BODY_BYTES, 0);
    }
    tick(2_200);
    t.deepEqual(refusals, ["made-room"]);
    t.deepEqual(third.host.decisions, ["resumed"]);
    t.true(third.connection.lagMs(2_200, 16_384) <= 0);
});

test("a body that finds no room in time is refused", t => {
    const { guard, refusals, open, tick } = createGuard();
    const all = Array.from({ length: 3 }, () => open());
    for (const { connection } of all) {
        connection.recordReceived(20_000, 0);
        guard.requestRoom(connection, BODY_BYTES, 0);
    }
    for (let now = 100; now <= 2_500; now += 100) {
        all[0].connection.recordReceived(2_000, now);
        all[1].connection.recordReceived(2_000, now);
        tick(now);
    }
    t.deepEqual(refusals, ["no-room"]);
    t.deepEqual(all[2].host.decisions, ["refused: no-room"]);
});

test("one body has room whatever the limits are", t => {
    const guard = IngressGuard.create(deriveIngressLimits({}, { bodyMb: 0.001 }));
    const connection = guard.admit(PORT, FakeHost.create(), 0)!;
    guard.requestRoom(connection, BODY_BYTES, 0);
    t.is(connection.bodyRoom, "granted");
});
