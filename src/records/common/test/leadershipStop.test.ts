import test from "ava";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { createInstance } from "./claimant";

test("an instance that was told to stop claims nothing", t => {
    const log = KeyedLog.create();
    const { leadership, read, claim } = createInstance(log, "a", 10);
    read(1_000);
    leadership.resign(1_000);
    t.deepEqual(claim(1_000), []);
});

test("an instance that was told to stop while its claim was in flight resigns if the claim is stored", t => {
    const log = KeyedLog.create();
    const stopping = createInstance(log, "a", 10);
    const other = createInstance(log, "b", 20);
    [stopping, other].forEach(({ read }) => read(1_000));
    const [first] = stopping.claim(1_000);
    stopping.leadership.resign(1_050);
    t.deepEqual(stopping.claim(1_400), []);
    t.true(log.append(first.append).ok);
    stopping.read(1_500);
    t.false(stopping.leadership.canSendOrders());
    t.false(stopping.leadership.isResignationStored);
    const [{ writer, append }] = stopping.flush(1_500);
    const { sequence } = append;
    stopping.leadership.handleAppendAnswer(
        { kind: "append-answer", writer, sequence, result: log.append(append) },
        1_510,
    );
    t.true(stopping.leadership.isResignationStored);
    const claims = [1_600, 1_700].map(now => {
        other.read(now);
        return other.claim(now).length;
    });
    t.deepEqual(claims, [0, 1]);
});
