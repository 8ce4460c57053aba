import test from "ava";
import { Err } from "ts-results";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { UNSTATED_WINDOW_MS } from "../formerLeaders";
import { encodeHost, hostKey } from "../hostRecord";
import { LeaderRecord } from "../leaderRecord";
import { OfficeChange } from "../officeChange";
import { createInstance, Instance, lead, LONGEST_LEASE_MS } from "./claimant";

test("a claim succeeds although other records were appended since the claimant's last read", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    read(1_000);
    const [effect] = claim(1_000);
    log.store("j/1", "job");
    t.true(log.append(effect.append).ok);
    read(1_100);
    t.true(leadership.isLeading);
});

test("a claim that is read during a load counts, but the records before it are read only when the history is", t => {
    const log = KeyedLog.create();
    log.store("a", "1");
    const { leadership, read, claim, load } = createInstance(log, "a", 10);
    read(1_000);
    const [effect] = claim(1_000);
    log.store("b", "1");
    log.expire();
    read(1_050);
    load(1_060, { ...log.newest(undefined).unwrap(), hasMore: true });
    // Its page has been read, so only the history shows this record, which precedes the claim.
    log.store("aa", "1");
    t.true(log.append(effect.append).ok);
    load(1_070, log.newest("b").unwrap());
    t.true(leadership.isLeading);
    t.false(leadership.hasReadUpToClaim);
    read(1_100);
    t.true(leadership.hasReadUpToClaim);
});

test("of two claims of one epoch only the first succeeds", t => {
    const log = KeyedLog.create();
    const instanceA = createInstance(log, "a", 10);
    const instanceB = createInstance(log, "b", 500);
    instanceA.read(1_000);
    instanceB.read(1_000);
    const [first] = instanceA.claim(1_000);
    const [second] = instanceB.claim(1_000);
    t.true(log.append(first.append).ok);
    t.false(log.append(second.append).ok);
    instanceA.read(1_100);
    instanceB.read(1_100);
    t.true(instanceA.leadership.isLeading);
    t.false(instanceB.leadership.isLeading);
});

test("a leader that resigned extends leases until it sees another leader, and sends no orders", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(1_100);
    leadership.resign(1_200);
    t.false(leadership.canSendOrders());
    t.true(leadership.canExtendLeases());
    log.store("leader", JSON.stringify({ epoch: 2, instance: "b" }));
    read(1_300);
    t.false(leadership.canExtendLeases());
});

test("an instance with many more cores replaces the leader after the observation window, which begins when that one has taken over", t => {
    const log = KeyedLog.create();
    const weak = createInstance(log, "weak", 10, 0.2);
    weak.read(1_000);
    t.true(log.append(weak.claim(1_000)[0].append).ok);
    weak.read(1_100);
    t.true(weak.leadership.isLeading);
    const strong = createInstance(log, "strong", 20, 1.4);
    const alike = createInstance(log, "alike", 20, 0.3);
    let now = 1_500;
    const renewFor = (untilMs: number) => {
        for (; now <= untilMs; now += 500) {
            const [{ writer, append }] = weak.renew(now);
            const result = log.append(append);
            const answer = { kind: "append-answer", writer, sequence: append.sequence, result } as const;
            weak.leadership.handleAppendAnswer(answer, now);
            for (const each of [strong, alike]) {
                each.read(now + 100);
                t.deepEqual(each.claim(now + 100), []);
            }
        }
    };
    // A leader that takes over has not extended all leases yet, and they would end.
    renewFor(4_000);
    weak.leadership.endTakeover(4_000);
    renewFor(6_500);
    strong.read(7_000);
    alike.read(7_000);
    t.deepEqual(alike.claim(7_000), []);
    t.true(log.append(strong.claim(7_000)[0].append).ok);
    strong.read(7_100);
    weak.read(7_100);
    t.true(strong.leadership.isLeading);
    t.false(weak.leadership.isLeading);
});

test("the instance with as many cores as the lost leader claims before weaker ones", t => {
    const log = KeyedLog.create();
    const lost = createInstance(log, "lost", 10, 1.4);
    lead(t, log, lost);
    const weak = createInstance(log, "weak", 20, 0.2);
    const strong = createInstance(log, "strong", 30, 1.4);
    for (const each of [weak, strong]) {
        each.read(800);
        t.deepEqual(each.claim(800), []);
        each.read(1_400);
    }
    t.deepEqual(weak.claim(1_400), []);
    t.is(strong.claim(1_400).length, 1);
    weak.read(2_000);
    t.is(weak.claim(2_000).length, 1);
});

test("after a store outage, an instance gives the leader time to renew", t => {
    const log = KeyedLog.create();
    const leader = createInstance(log, "a", 10);
    lead(t, log, leader);
    const other = createInstance(log, "b", 20);
    other.read(1_100);
    t.deepEqual(other.claim(1_100), []);
    other.read(6_000);
    t.deepEqual(other.claim(6_000), []);
    other.read(6_900);
    t.deepEqual(other.claim(6_900), []);
    other.read(7_500);
    t.is(other.claim(7_500).length, 1);
});

test("an answer to an append of an earlier epoch says nothing about the appends of the present one", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim, renew } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(1_100);
    const [early] = renew(1_400);
    log.store("leader", JSON.stringify({ epoch: 2, instance: "b" }));
    read(1_500);
    read(4_000);
    log.append(claim(4_000)[0].append);
    read(4_100);
    const [late] = renew(4_400);
    t.is(early.append.sequence, late.append.sequence);
    const { writer, append } = early;
    const result = log.append(append);
    t.false(result.ok);
    leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence: append.sequence, result }, 4_500);
    t.true(leadership.isLeading);
});

test("an instance that was fenced does not lead in the same epoch again when it reads its earlier renewals", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim, renew } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(1_100);
    log.append(renew(1_400)[0].append);
    leadership.handleRejection(1_500);
    read(1_600);
    t.false(leadership.isLeading);
});

/** @returns Record of a leader b. */
function renewal(epoch: number, leasesSince?: number): string {
    return JSON.stringify({ epoch, instance: "b", cores: 1, leasesSince });
}

test("a new leader knows by when its predecessor's latest renewal was stored", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    log.store("leader", renewal(3, 2));
    read(1_000);
    claim(1_000);
    log.store("leader", renewal(3, 2));
    read(1_300);
    claim(1_300);
    read(2_200);
    claim(2_200);
    read(2_800);
    const [effect] = claim(2_800);
    log.append(effect.append);
    read(3_200);
    t.true(leadership.isLeading);
    t.is(leadership.formerLeasesEndBy, 1_300 + UNSTATED_WINDOW_MS + LONGEST_LEASE_MS * 1.02);
    t.is(leadership.leasesSince, 2);
});

test("a leader is replaced at once when the next incarnation on its host has started, and not for an earlier one", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    const renew = () =>
        log.store("leader", JSON.stringify({ epoch: 3, instance: "h-b", host: "h", cores: 1, leasesSince: 2 }));
    renew();
    read(1_000);
    log.store(hostKey("h"), encodeHost({ instance: "h-a", readTo: 0, ageMs: 10 }));
    read(1_200);
    t.deepEqual(claim(1_200), []);
    log.store(hostKey("h"), encodeHost({ instance: "h-c", readTo: 2, ageMs: 100 }));
    read(1_300);
    const [effect] = claim(1_300);
    log.append(effect.append);
    read(1_400);
    t.true(leadership.isLeading);
    t.is(leadership.formerLeasesEndBy, 1_300 - 100 * 0.98 + LONGEST_LEASE_MS * 1.02);
});

test("a claim that is read during a load shows only that earlier renewals were stored before it was read", t => {
    const log = KeyedLog.create();
    log.store("leader", renewal(3, 2));
    const { leadership, read, claim, load } = createInstance(log, "a", 10);
    read(1_000);
    claim(1_000);
    read(1_900);
    const [effect] = claim(1_900);
    log.store("leader", renewal(3, 2));
    log.append(effect.append);
    log.expire();
    read(2_000);
    load(2_100, log.newest(undefined).unwrap());
    t.true(leadership.isLeading);
    t.is(leadership.formerLeasesEndBy, 2_100 + UNSTATED_WINDOW_MS + LONGEST_LEASE_MS * 1.02);
});

test("records of leases do not count from before a leader of an earlier version", t => {
    const log = KeyedLog.create();
    log.store("leader", renewal(3));
    const { leadership, read, claim } = createInstance(log, "a", 10);
    read(1_000);
    claim(1_000);
    read(1_900);
    const [effect] = claim(1_900);
    log.append(effect.append);
    read(2_000);
    t.true(leadership.isLeading);
    t.is(leadership.formerLeasesEndBy, undefined);
    t.is(leadership.leasesSince, 4);
});

// The leader counted from the time at which it read its claim, but a successor may count from when it was stored.
test("a leader that reads its claim late extends leases by the age of the claim", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(6_000);
    t.true(leadership.isLeading);
    t.is(leadership.renewedAt, 1_000);
});

// A suspension between claim and reading was forgotten when the claim was read.
test("after a suspension a claim gives no right to extend leases until a renewal is stored", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim, renew } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    leadership.handleSuspension(1_050);
    read(1_100);
    t.true(leadership.isLeading);
    t.false(leadership.canExtendLeases());
    const [{ writer, append }] = renew(1_500);
    const result = log.append(append);
    leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence: append.sequence, result }, 1_510);
    t.true(leadership.canExtendLeases());
    t.is(leadership.renewedAt, 1_500);
});

// Renewals were written by ticks only, which wait while a turn of the loop has many answers to handle.
test("a leader renews its record before any event that it handles", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim, flush } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(1_100);
    leadership.renew(1_399);
    t.deepEqual(flush(1_399), []);
    leadership.renew(1_400);
    t.is(flush(1_400).length, 1);
});

/**
 * @param from Time (ms) of its first read; it has loaded the stream at 0.
 * @returns The time (ms), in steps of 100 ms, at which an instance that reads nothing new claims.
 */
function claimTime({ read, claim }: Instance, from = 100): number {
    for (let now = from; ; now += 100) {
        read(now);
        if (claim(now).length > 0) {
            return now;
        }
    }
}

// New leaders that were late with their first renewals were deposed one after the other.
test("a leader that takes over is given more time, but not for ever", t => {
    const log = KeyedLog.create();
    const leader = createInstance(log, "a", 10);
    leader.read(1_000);
    log.append(leader.claim(1_000)[0].append);
    t.is(claimTime(createInstance(log, "b", 20)), 2_100);
});

test("a leader that has taken over is replaced as soon as any other", t => {
    const log = KeyedLog.create();
    lead(t, log, createInstance(log, "a", 10));
    t.is(claimTime(createInstance(log, "b", 20)), 1_300);
});

test("a leader states how late a renewal is, and others wait longer for the next one", t => {
    const log = KeyedLog.create();
    const leader = createInstance(log, "a", 10);
    lead(t, log, leader);
    // It was due at 2,900 ms.
    log.append(leader.renew(3_300)[0].append);
    t.is(claimTime(createInstance(log, "b", 20)), 2_100);
});

test("a renewal that waits for the answer to an earlier append is late, too", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim, renew, flush } = createInstance(log, "a", 10);
    read(1_000);
    log.append(claim(1_000)[0].append);
    read(1_100);
    const [{ writer, append }] = renew(1_400);
    t.deepEqual(renew(1_700), []);
    t.deepEqual(renew(2_000), []);
    const result = log.append(append);
    leadership.renew(2_200);
    leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence: append.sequence, result }, 2_200);
    const [{ append: late }] = flush(2_200);
    t.is((JSON.parse(late.records[0].value!) as LeaderRecord).lateMs, 500);
});

test("others wait a bounded time for a leader that is very late", t => {
    const log = KeyedLog.create();
    log.store("leader", JSON.stringify({ epoch: 1, instance: "a", cores: 1, lateMs: 60_000 }));
    t.is(claimTime(createInstance(log, "b", 20)), 2_100);
});

test("records of earlier versions and odd delays leave the timeout as it is", t => {
    for (const odd of ["", `,"lateMs":"500"`, `,"lateMs":-500`, `,"lateMs":null`, `,"takingOver":"yes"`]) {
        const log = KeyedLog.create();
        log.store("leader", `{"epoch":1,"instance":"a","cores":1${odd}}`);
        t.is(claimTime(createInstance(log, "b", 20)), 1_300);
    }
});

test("an instance that lost a claim waits for the new leader as if it had not claimed", t => {
    const log = KeyedLog.create();
    const first = createInstance(log, "a", 10);
    const second = createInstance(log, "b", 20);
    first.read(1_000);
    second.read(1_000);
    t.true(log.append(first.claim(1_000)[0].append).ok);
    const [{ writer, append }] = second.claim(1_000);
    const result = log.append(append);
    t.false(result.ok);
    second.leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence: append.sequence, result }, 1_010);
    second.read(1_300);
    t.is(claimTime(second, 1_400), 3_400);
});

test("renewals that an instance reads late count from when it reads them", t => {
    const log = KeyedLog.create();
    const leader = createInstance(log, "a", 10);
    lead(t, log, leader);
    const other = createInstance(log, "b", 20);
    log.append(leader.renew(2_900)[0].append);
    t.is(claimTime(other, 1_100), 2_400);
});

test("claims, lost claims and the loss of the office are reported once for each epoch", t => {
    const log = KeyedLog.create();
    const first = createInstance(log, "a", 10);
    const second = createInstance(log, "b", 20);
    const changes: OfficeChange[][] = [first, second].map(({ leadership }) => {
        const seen: OfficeChange[] = [];
        leadership.onDidChangeOffice(change => seen.push(change));
        return seen;
    });
    first.read(1_000);
    second.read(1_000);
    const [{ append }] = first.claim(1_000);
    const [lost] = second.claim(1_000);
    log.append(append);
    const { writer } = lost;
    for (let now = 1_010; now < 1_500; now += 200) {
        const result = Err("unknown" as const);
        const { sequence } = lost.append;
        second.leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence, result }, now);
        second.claim(now + 200);
    }
    first.read(1_600);
    second.read(1_600);
    log.store("leader", JSON.stringify({ epoch: 2, instance: "c" }));
    first.read(1_700);
    const none = { former: undefined, silentMs: undefined, timeoutMs: 0 };
    t.deepEqual(changes, [
        [
            { kind: "leader-claimed", epoch: 1, ...none },
            { kind: "leader-deposed", epoch: 1, leader: "c", renewalAgeMs: 700 },
        ],
        [
            { kind: "leader-claimed", epoch: 1, ...none },
            { kind: "claim-lost", epoch: 1, leader: undefined },
        ],
    ]);
});
