import test from "ava";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { ReadSlots } from "../readSlots";
import { ReadTiming } from "../recordFollower";
import { describe, FollowerFixture, LARGE_PAUSE_MS, LARGE_TIMING, LARGE_VALUE, SentRead } from "./followerFixture";

/** @returns A follower of a stream in memory. */
function createFixture(timing: ReadTiming | (() => ReadTiming)) {
    return new FollowerFixture(KeyedLog.create(), timing);
}

type Fixture = ReturnType<typeof createFixture>;

const SLOT_PERIOD_MS = 3_000;

/** Timing of a stream whose large records are read in slots, here at 1,500 ms and each 3,000 ms later. */
const SLOT_TIMING: ReadTiming = {
    waitMs: 700,
    pauseMs: 0,
    largePauseMs: LARGE_PAUSE_MS,
    repeatAfterMs: 600,
    slots: ReadSlots.create(SLOT_PERIOD_MS, 0.5),
};

/** @returns The time (ms) at which a read is sent. */
function dueAt({ effect, sentAt }: SentRead): number {
    return sentAt + (effect.kind === "append" ? 0 : effect.delayMs);
}

/** Answers checks of the end until something else is read. @returns That read, and the longest interval without a check, in ms. */
function checkUntilRead(fixture: Fixture) {
    let longestMs = 0;
    for (;;) {
        const [read] = fixture.take();
        const { effect } = read;
        if (effect.kind !== "read-newest" || effect.after === undefined) {
            return { read, longestMs };
        }
        longestMs = Math.max(longestMs, effect.delayMs);
        fixture.tickFor(effect.delayMs);
        fixture.answerEnd({ effect, sentAt: fixture.sentAt });
    }
}

// TWICE: all instances of a region read each large configuration at once.
test("a reader with slots reads large records in these only, and knows meanwhile whether there are new ones", t => {
    const fixture = createFixture(SLOT_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    const [first] = fixture.take();
    t.true(dueAt(first) <= fixture.sentAt + SLOT_TIMING.waitMs);
    fixture.answerEnd(first);
    t.is(fixture.follower.knownUntil, first.sentAt);
    ["1", "2", "3"].forEach(value => fixture.log.store("config", value));
    const { read, longestMs } = checkUntilRead(fixture);
    t.true(longestMs <= SLOT_TIMING.waitMs);
    t.is(read.effect.kind, "read-newest");
    t.true(read.sentAt >= 1_500 && read.sentAt < 1_600, `${read.sentAt} ms`);
    t.is(fixture.collector.values.length, 2);
});

test("a large record that is loaded in a slot leads to the next slot, whatever time it takes", t => {
    const fixture = createFixture(SLOT_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    ["1", "2", "3"].forEach(value => fixture.log.store("config", `${value}${LARGE_VALUE}`));
    const { read } = checkUntilRead(fixture);
    fixture.tickFor(900);
    ["4", "5"].forEach(value => fixture.log.store("config", `${value}${LARGE_VALUE}`));
    fixture.answerEnd(read);
    t.is(fixture.collector.values.length, 3);
    fixture.log.store("config", "6");
    const { read: next } = checkUntilRead(fixture);
    t.true(next.sentAt >= 4_500 && next.sentAt < 4_600, `${next.sentAt} ms`);
});

test("a slot is not missed that begins while a check of the end is in flight", t => {
    const fixture = createFixture({ ...SLOT_TIMING, repeatAfterMs: undefined });
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    fixture.log.store("config", "1");
    const [check] = fixture.take();
    fixture.tickFor(1_480 - fixture.sentAt);
    const sentAt = fixture.sentAt;
    fixture.tickFor(50);
    fixture.answerEnd({ ...check, sentAt });
    t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
});

test("a load of many small pages is large as a whole", t => {
    const fixture = createFixture(SLOT_TIMING);
    for (let key = 0; key < 50; key++) {
        fixture.log.store(`k${key}`, "x".repeat(2_000));
    }
    while (!fixture.follower.isLoaded) {
        fixture.step();
    }
    const [read] = fixture.take();
    t.is(read.effect.kind, "read-newest");
    t.true(dueAt(read) > fixture.sentAt);
});

test("after a suspension, a reader does not wait for its slot", t => {
    const fixture = createFixture(SLOT_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    fixture.take();
    fixture.log.store("config", "1");
    fixture.suspend();
    fixture.follower.hasten();
    const [check] = fixture.take();
    fixture.answerEnd(check);
    t.deepEqual(describe(fixture.take()), ["read 0"]);
});

test("after a small record, a reader with slots reads at once again", t => {
    const fixture = createFixture(SLOT_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    fixture.log.store("config", "small");
    const { read } = checkUntilRead(fixture);
    fixture.answer(read);
    t.is(fixture.collector.values.length, 3);
    t.deepEqual(describe(fixture.take()), ["read 0"]);
});

test("of records that replace all earlier ones, only the last is read", t => {
    const fixture = createFixture({ waitMs: 1_000, pauseMs: 0, largePauseMs: LARGE_PAUSE_MS });
    fixture.collector.replacingKey = "config";
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    ["1", "2", "3"].forEach(value => fixture.log.store("config", value));
    fixture.step();
    // Records of other keys may be among those that are skipped.
    const others = fixture.step();
    t.deepEqual(others.kind === "read-newest" && others.after, "config");
    const read = fixture.step();
    t.deepEqual(read.kind === "read" && read.from, fixture.log.end - 1);
    t.deepEqual(fixture.collector.values.slice(2), ["3"]);
    t.is(fixture.follower.knownUntil, fixture.sentAt);
});

// Evacuations between two large configurations were not read.
for (const trouble of ["none", "late", "failed", "several pages"]) {
    test(`records of other keys are not skipped with those that are replaced, trouble: ${trouble}`, t => {
        const fixture = createFixture({ ...LARGE_TIMING });
        fixture.collector.replacingKey = "config";
        fixture.log.store("gone", "x");
        fixture.step();
        fixture.log.store("config", LARGE_VALUE);
        fixture.step();
        const knownBefore = fixture.follower.knownUntil;
        const before = fixture.collector.values.length;
        fixture.log.store("config", "1");
        const count = trouble === "several pages" ? 50 : 1;
        Array.from({ length: count }, (_, index) => fixture.log.store(`other-${index}`, "y"));
        fixture.log.store("gone", undefined);
        fixture.log.store("config", "2");
        fixture.step();
        if (trouble === "late") {
            const [first] = fixture.take();
            fixture.tickFor(LARGE_TIMING.repeatAfterMs! + 100);
            const [second] = fixture.take();
            fixture.answerEnd(first);
            t.is(fixture.collector.values.length, before);
            fixture.answerEnd(second);
        } else if (trouble === "failed") {
            fixture.fail(fixture.take()[0]);
        }
        t.is(fixture.follower.knownUntil, knownBefore);
        while (fixture.follower.nextOffset < fixture.log.end) {
            fixture.step();
        }
        t.deepEqual(fixture.collector.values.slice(before), [...Array.from({ length: count }, () => "y"), "2"]);
        t.false(fixture.collector.retained.has("gone"));
        t.true(fixture.collector.retained.has("config") && fixture.collector.retained.has("other-0"));
        t.is(fixture.follower.knownUntil, fixture.sentAt);
    });
}

test("if the last record does not replace those that were skipped, the newest of each key are loaded", t => {
    for (const isLate of [false, true]) {
        const fixture = createFixture({ ...LARGE_TIMING });
        fixture.collector.replacingKey = "config";
        fixture.step();
        fixture.log.store("config", LARGE_VALUE);
        fixture.step();
        ["1", "2"].forEach(value => fixture.log.store("config", value));
        fixture.log.store("other", "x");
        fixture.step();
        const [others] = fixture.take();
        fixture.answerEnd(others);
        t.deepEqual(fixture.collector.values.slice(2), ["x"]);
        const reads = fixture.take();
        t.deepEqual(describe(reads), ["read 0"]);
        if (isLate) {
            fixture.tickFor(700);
            t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
        }
        fixture.answer(reads[0]);
        t.deepEqual(fixture.collector.values.slice(2), ["x"]);
        t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
        t.false(fixture.follower.isLoaded);
    }
});

test("a reader that waits for its slot is hastened by a check of the end, and loads at once if its slots have ended", t => {
    let timing = SLOT_TIMING;
    const fixture = createFixture(() => timing);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    fixture.take();
    ["1", "2"].forEach(value => fixture.log.store("config", value));
    timing = LARGE_TIMING;
    fixture.follower.hasten();
    const [check] = fixture.take();
    t.deepEqual(describe([check]), ["read-newest 0"]);
    fixture.answerEnd(check);
    t.false(fixture.follower.isLoaded);
    t.deepEqual(describe(fixture.take()), ["read-newest 0"]);
});

test("records that are loaded after checks of the end were written after the latest one that they do not precede", t => {
    const fixture = createFixture(SLOT_TIMING);
    fixture.step();
    fixture.log.store("config", LARGE_VALUE);
    fixture.step();
    const [check] = fixture.take();
    fixture.log.store("old", "1");
    fixture.answerEnd(check);
    fixture.log.store("new", "2");
    const { read } = checkUntilRead(fixture);
    const before = fixture.collector.values.length;
    fixture.answerEnd(read);
    t.deepEqual(fixture.collector.values.slice(before + 1), ["2", "1"]);
    const [writtenAfter, oldWrittenAfter] = fixture.collector.writtenAfter.slice(before + 1);
    t.true(writtenAfter! >= check.sentAt && writtenAfter! < read.sentAt);
    t.is(oldWrittenAfter, undefined);
});
