import test from "ava";
import { Err } from "ts-results";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { ReadTiming } from "../recordFollower";
import {
    describe,
    FollowerFixture,
    LARGE_PAUSE_MS,
    LARGE_TIMING,
    LARGE_VALUE,
    numberOf,
    SentRead,
} from "./followerFixture";

/** @returns A follower of a stream in memory. */
function createFixture(timing: ReadTiming | (() => ReadTiming)) {
    return new FollowerFixture(KeyedLog.create(), timing);
}

test("of large records in quick succession, only the first and the newest are read", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0, largePauseMs: LARGE_PAUSE_MS });
    fixture.step();
    fixture.log.store("config", `1${LARGE_VALUE}`);
    fixture.step();
    for (let version = 2; version <= 9; version++) {
        fixture.log.store("config", `${version}${LARGE_VALUE}`);
    }
    const endRead = fixture.step();
    t.is(endRead.kind === "read-newest" && endRead.delayMs, LARGE_PAUSE_MS);
    fixture.step();
    t.deepEqual(
        fixture.collector.values.map(value => value?.slice(0, 1)),
        ["f", "1", "9"],
    );
    t.true(fixture.follower.isLoaded);
    t.is(fixture.follower.nextOffset, fixture.log.end);
});

test("a single record after a large one is read by its offset, and the stream counts as known", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0, largePauseMs: LARGE_PAUSE_MS });
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    const knownBefore = fixture.follower.knownUntil!;
    fixture.step();
    t.true(fixture.follower.knownUntil! > knownBefore);
    fixture.log.store("config", "small");
    t.is(fixture.step().kind, "read");
    t.is(fixture.collector.values[2], "small");
});

test("without a pause for large records, every record is read", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.step();
    for (let version = 1; version <= 3; version++) {
        fixture.log.store("config", LARGE_VALUE);
    }
    fixture.step();
    t.is(fixture.collector.values.length, 4);
});

test("after a restart, a key that was deleted is not among those that a follower retains", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.log.store("gone", "1");
    fixture.log.store("gone", undefined);
    fixture.step();
    t.deepEqual([...fixture.collector.retained], ["config"]);
    t.deepEqual(fixture.collector.values, ["first"]);
});

test("a reload after the history has expired retains only the keys that still exist", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.log.store("left", "1");
    fixture.step();
    fixture.log.store("left", undefined);
    fixture.log.expire();
    for (let steps = 0; steps < 4; steps++) {
        fixture.step();
    }
    t.deepEqual([...fixture.collector.retained], ["config"]);
});

test("a stream whose page is limited counts as known only up to the read whose end is reached", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.step();
    const knownBefore = fixture.follower.knownUntil!;
    fixture.maxPageRecords = 2;
    ["1", "2", "3"].forEach(value => fixture.log.store("config", value));
    fixture.step();
    t.is(fixture.follower.knownUntil, knownBefore);
    // The stream grows as fast as it is read.
    ["4", "5", "6"].forEach(value => fixture.log.store("config", value));
    fixture.step();
    t.is(fixture.follower.knownUntil, knownBefore + 10);
    fixture.step();
    t.is(fixture.follower.knownUntil, knownBefore + 30);
    t.deepEqual(fixture.collector.values.slice(1), ["1", "2", "3", "4", "5", "6"]);
});

test("a record was written after the read before the one that returned it, or at any time if it was loaded", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.step();
    fixture.log.store("config", "1");
    fixture.step();
    fixture.log.store("config", "2");
    fixture.step();
    t.deepEqual(fixture.collector.writtenAfter, [undefined, 10, 20]);
});

test("after a suspension, records are of any age until a read that was sent later is answered", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.step();
    fixture.suspend();
    t.is(fixture.follower.knownUntil, undefined);
    ["1", "2", "3"].forEach((value, index) => {
        fixture.log.store("config", value);
        fixture.step(index === 0 ? 15 : 0);
    });
    t.deepEqual(fixture.collector.writtenAfter, [undefined, undefined, undefined, 30]);
});

test("after a page that does not reach the end, the stream is known only up to the read before", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.step();
    const knownBefore = fixture.follower.knownUntil;
    ["a", "b", "c"].forEach(key => fixture.log.store(key, "1"));
    fixture.stepPartially(2);
    t.is(fixture.collector.values.length, 3);
    t.is(fixture.follower.knownUntil, knownBefore);
    fixture.step();
    t.is(fixture.collector.values.length, 4);
    t.is(fixture.follower.knownUntil, fixture.sentAt);
});

test("after a load of several pages, the stream is known up to the request of the first one", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    for (let key = 0; key < 50; key++) {
        fixture.log.store(`k${key}`, "1");
    }
    fixture.step();
    const firstSentAt = fixture.sentAt;
    // Its page has been read, so only the history shows it.
    fixture.log.store("a", "late");
    while (!fixture.follower.isLoaded) {
        fixture.step();
    }
    t.false(fixture.collector.values.includes("late"));
    t.is(fixture.follower.knownUntil, firstSentAt);
    fixture.step();
    t.true(fixture.collector.values.includes("late"));
    t.is(fixture.follower.knownUntil, fixture.sentAt);
});

test("a read that is not answered in time is repeated, and its own late answer starts no further reads", t => {
    const fixture = createFixture({ waitMs: 400, pauseMs: 0, repeatAfterMs: 900 });
    fixture.step();
    const late = fixture.take();
    fixture.log.store("cancelled", "1");
    fixture.tickFor(800);
    t.deepEqual(fixture.take(), []);
    fixture.tickFor(200);
    const repeated = fixture.take();
    t.deepEqual(
        repeated.map(each => each.effect.kind === "read" && each.effect.waitMs),
        [0],
    );
    fixture.answer(repeated[0]);
    t.deepEqual(fixture.collector.values, ["first", "1"]);
    t.is(fixture.follower.knownUntil, repeated[0].sentAt);
    const next = fixture.take();
    t.is(next.length, 1);
    fixture.log.store("later", "2");
    fixture.answer(late[0]);
    t.deepEqual(fixture.take(), []);
    t.deepEqual(fixture.collector.values, ["first", "1", "2"]);
    fixture.answer(next[0]);
    t.deepEqual(fixture.collector.values, ["first", "1", "2"]);
    t.is(fixture.follower.nextOffset, fixture.log.end);
});

test("a hastened read is sent at once, and the one that was paused starts no further reads", t => {
    const fixture = createFixture({ waitMs: 2_000, pauseMs: 3_000 });
    fixture.step();
    const [paused] = fixture.take();
    t.is(paused.effect.kind === "read" && paused.effect.delayMs, 3_000);
    fixture.follower.hasten();
    const [hastened, ...others] = fixture.take();
    t.deepEqual(others, []);
    t.deepEqual(hastened.effect.kind === "read" && [hastened.effect.delayMs, hastened.effect.waitMs], [0, 0]);
    fixture.log.store("w1", "1");
    fixture.answer(hastened);
    t.is(fixture.follower.knownUntil, hastened.sentAt);
    const next = fixture.take();
    t.is(next.length, 1);
    // The paused read is sent at the end of its pause, after the hastened one.
    fixture.log.store("w2", "2");
    fixture.answer({ ...paused, sentAt: fixture.sentAt });
    t.deepEqual(fixture.take(), []);
    t.deepEqual(fixture.collector.values, ["first", "1", "2"]);
    fixture.answer(next[0]);
    t.is(fixture.take().length, 1);
    t.deepEqual(fixture.collector.values, ["first", "1", "2"]);
});

test("a hastened read that fails is retried, and a load is not hastened", t => {
    const fixture = createFixture({ waitMs: 2_000, pauseMs: 3_000 });
    fixture.follower.hasten();
    t.deepEqual(
        fixture.take().map(each => each.effect.kind),
        ["read-newest"],
    );
    const loaded = createFixture({ waitMs: 2_000, pauseMs: 3_000 });
    loaded.step();
    loaded.take();
    loaded.follower.hasten();
    const [hastened] = loaded.take();
    const result = Err("unavailable" as const);
    const base = { stream: "operator" as const, number: numberOf(hastened.effect), sentAt: hastened.sentAt };
    loaded.follower.handleAnswer({ kind: "read-answer", ...base, result }, loaded.sentAt);
    const [retried] = loaded.take();
    t.true(retried.effect.kind === "read" && retried.effect.delayMs < 1_000);
});

test("however often a read is hastened, at most three earlier ones are awaited", t => {
    const fixture = createFixture({ waitMs: 2_000, pauseMs: 3_000 });
    fixture.step();
    fixture.take();
    for (let count = 0; count < 10; count++) {
        fixture.follower.hasten();
    }
    t.is(fixture.take().length, 3);
});

test("at most three late reads are awaited beside the latest one", t => {
    const fixture = createFixture({ waitMs: 400, pauseMs: 0, repeatAfterMs: 900 });
    fixture.step();
    fixture.take();
    fixture.tickFor(10_000);
    t.is(fixture.take().length, 3);
});

test("a record that cannot be applied keeps neither the others from being applied nor the next read from being sent", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0 });
    fixture.collector.rejected = "odd";
    fixture.log.store("w1", "odd");
    fixture.log.store("w2", "2");
    t.throws(() => fixture.step(), { message: "odd" });
    t.true(fixture.follower.isLoaded);
    fixture.log.store("w1", "odd");
    fixture.log.store("w3", "3");
    t.throws(() => fixture.step(), { message: "odd" });
    fixture.log.store("w1", "4");
    fixture.step();
    t.deepEqual(fixture.collector.values, ["first", "2", "3", "4"]);
    t.is(fixture.follower.nextOffset, fixture.log.end);
});

test("of a stream with large records, a read that is late is followed by a check of the end, and its records count when they come", t => {
    const fixture = createFixture(LARGE_TIMING);
    fixture.step();
    const late = fixture.take();
    fixture.tickFor(500);
    t.deepEqual(fixture.take(), []);
    fixture.tickFor(200);
    const checks = fixture.take();
    t.deepEqual(describe(checks), ["read-newest 0"]);
    fixture.log.store("config", LARGE_VALUE);
    fixture.answer(late[0]);
    t.is(fixture.collector.values.length, 2);
    t.deepEqual(fixture.take(), []);
    // A check that is not answered is sent again, and its own answer counts all the same when it comes.
    fixture.tickFor(700);
    const repeated = fixture.take();
    t.deepEqual(describe(repeated), ["read-newest 0"]);
    fixture.answerEnd(checks[0]);
    t.is(fixture.follower.knownUntil, checks[0].sentAt);
    t.deepEqual(describe(fixture.take()), ["read 0"]);
    fixture.answerEnd(repeated[0]);
    t.deepEqual(fixture.take(), []);
});

// CONFIG: a check that was sent just before a silent store came back was awaited for 6 s, and nothing else asked meanwhile.
test("of a stream with large records, the end is asked for again while checks are not answered, at most four at a time", t => {
    const fixture = createFixture(LARGE_TIMING);
    fixture.step();
    fixture.take();
    const checks: SentRead[] = [];
    for (let index = 0; index < 6; index++) {
        fixture.tickFor(700);
        checks.push(...fixture.take());
    }
    // The read that was late is one of the four.
    t.is(checks.length, 3);
    fixture.fail(checks[0]);
    fixture.tickFor(700);
    const [latest] = fixture.take();
    ["1", "2"].forEach(value => fixture.log.store("config", value));
    fixture.answerEnd(checks[1]);
    t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
    fixture.answerEnd(latest);
    t.deepEqual(fixture.take(), []);
});

test("of a stream with large records, a check that finds a record leads to its read, and one that finds several to a load", t => {
    for (const [count, kind] of [
        [1, "read 0"],
        [2, "read-newest 0"],
    ] as const) {
        const fixture = createFixture(LARGE_TIMING);
        fixture.step();
        fixture.take();
        fixture.tickFor(700);
        const [check] = fixture.take();
        const knownBefore = fixture.follower.knownUntil;
        for (let index = 0; index < count; index++) {
            fixture.log.store("config", String(index));
        }
        fixture.answerEnd(check);
        t.is(fixture.follower.knownUntil, knownBefore);
        t.deepEqual(describe(fixture.take()), [kind]);
    }
});

test("of a stream with large records, the end is asked for while reads fail, so that it is known as soon as one succeeds", t => {
    const fixture = createFixture(LARGE_TIMING);
    fixture.step();
    for (let index = 0; index < 3; index++) {
        const [read] = fixture.take();
        t.is(read.effect.kind, index === 0 ? "read" : "read-newest");
        fixture.fail(read);
        t.true(fixture.follower.isFailing);
    }
    const [check] = fixture.take();
    fixture.answerEnd(check);
    t.false(fixture.follower.isFailing);
    t.is(fixture.follower.knownUntil, check.sentAt);
    t.deepEqual(describe(fixture.take()), ["read 0"]);
});

test("the pause after a large record does not count as a late read", t => {
    const fixture = createFixture(LARGE_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    t.deepEqual(describe(fixture.take()), [`read-newest ${LARGE_PAUSE_MS}`]);
    fixture.tickFor(LARGE_PAUSE_MS + 500);
    t.deepEqual(fixture.take(), []);
    fixture.tickFor(200);
    t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
});

test("a hastened read of a stream with large records asks for the end only", t => {
    const fixture = createFixture(LARGE_TIMING);
    fixture.step();
    fixture.take();
    fixture.follower.hasten();
    t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
});
