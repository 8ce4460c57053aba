import test from "ava";
import { PassPacer } from "../passPacer";

const WORKERS = 45;

test("a pass may follow another after the minimum interval, longer with many workers", t => {
    const pacer = PassPacer.create();
    t.true(pacer.mayBegin(WORKERS, 100));
    pacer.begin(100);
    t.false(pacer.mayBegin(WORKERS, 119));
    t.true(pacer.mayBegin(WORKERS, 120));
    pacer.begin(120);
    t.false(pacer.mayBegin(500, 140));
    t.false(pacer.mayBegin(500, 219));
    t.true(pacer.mayBegin(500, 220));
});

// A pass after each worker's answer kept a leader busy for over a second.
test("after a long pass, twice as much time is left for other work", t => {
    const pacer = PassPacer.create();
    pacer.begin(100);
    t.false(pacer.mayBegin(WORKERS, 180));
    t.false(pacer.mayBegin(WORKERS, 339));
    t.true(pacer.mayBegin(WORKERS, 340));
});

test("the pause after a very long pass is bounded", t => {
    const pacer = PassPacer.create();
    pacer.begin(100);
    t.false(pacer.mayBegin(WORKERS, 5_100));
    t.true(pacer.mayBegin(WORKERS, 5_600));
});

test("a tick without other work after a short pass does not count as its duration", t => {
    const pacer = PassPacer.create();
    pacer.begin(100);
    t.true(pacer.mayBegin(WORKERS, 125));
});

test("a pass is overdue when the latest is 150 ms old", t => {
    const pacer = PassPacer.create();
    pacer.begin(100);
    t.false(pacer.isOverdue(250));
    t.true(pacer.isOverdue(251));
});
