import test from "ava";
import { Ok } from "ts-results";
import { Outbox } from "../../../../base/common/outbox";
import { UNSTATED_WINDOW_MS } from "../../../../records/common/formerLeaders";
import { WitnessClocks } from "../../../../records/common/witnessClocks";
import { DispatchEffect } from "../../scheduler/dispatchEffects";
import { encodeLease, leaseKey } from "../leaseRecord";
import { LeaseTable } from "../leaseTable";
import { PoolHost, WorkerPool } from "../workerPool";
import {
    assign,
    AUTHORITY,
    createJob,
    createLeases,
    createStep,
    createWorker,
    LIMITS,
    readingOf,
} from "../../jobs/test/runs";

class NoopPoolHost extends PoolHost {
    override onEndReported(): void {}
    override onRunList(): void {}
    override onWorkerLost(): void {}
    override onFenced(): void {}
}

/** Time by which all leases of former leaders have ended, in ms. */
const FORMER_END_MS = 7_000;

/** The same for leases of 6 s after a leader that states no bound, if the epoch began at 0. */
const UNSTATED_END_MS = UNSTATED_WINDOW_MS + 6_000 * 1.02;

/** @returns A table with one record of worker w1, read at 0. */
function createTable(remainingMs: number, epoch = 1): LeaseTable {
    const table = LeaseTable.create();
    table.apply({ key: leaseKey("w1"), value: encodeLease({ epoch, remainingMs }), offset: 1 }, 0);
    return table;
}

/** @returns A pool with worker w1 and one run on it that lasts. */
function createPool(table?: LeaseTable) {
    const fixture = createLeases(table, FORMER_END_MS);
    const orders = Outbox.create<DispatchEffect>();
    const pool = WorkerPool.create(AUTHORITY, fixture.book, LIMITS, new NoopPoolHost(), orders);
    pool.register(readingOf(createWorker("w1").entry), 0);
    const worker = pool.find("w1")!;
    const run = assign(worker, [...createJob("k", createStep("web", true)).tasks()][0]);
    run.fire("accepted", { now: 0 });
    const tick = (now: number) => {
        fixture.authority.renewedAt = now;
        pool.tick(now);
    };
    /** Sends what is pending. @returns The records of the append. */
    const send = (now: number) => {
        fixture.writer.flush(now);
        return fixture.outbox.drain().flatMap(each => (each.kind === "append" ? [each.append] : []));
    };
    const confirm = (sequence: number, now: number) =>
        fixture.writer.handleAnswer({ kind: "append-answer", writer: "leader-1", sequence, result: Ok(0) }, now);
    const list = (now: number) => {
        worker.isListInFlight = false;
        pool.requestListSoon(worker, now);
        tick(now);
        return orders
            .drain()
            .flatMap(each => (each.kind === "list" ? [each.order] : []))
            .at(-1)!;
    };
    return { ...fixture, pool, worker, run, tick, send, confirm, list };
}

test("without a record, a lease ends by the latest renewal of the former leader, not by the beginning of the epoch", t => {
    const { book } = createLeases(undefined, FORMER_END_MS);
    t.is(book.find("w1").formerEndsBy, FORMER_END_MS);
    t.is(createLeases().book.find("w1").formerEndsBy, UNSTATED_END_MS);
});

// Each restart of all instances began the remaining time anew.
test("the remaining time of a recorded lease counts from when witnesses show that the record was made", t => {
    const clocks = WitnessClocks.create();
    const table = LeaseTable.create(0, clocks);
    const witnesses = [{ id: "w2", incarnation: 5, clockMs: 1_000 }];
    table.apply({ key: leaseKey("w1"), value: encodeLease({ epoch: 1, remainingMs: 5_000, witnesses }), offset: 1 }, 0);
    const lease = createLeases(table, FORMER_END_MS).book.find("w1");
    t.is(lease.formerEndsBy, 5_100);
    clocks.record({ id: "w2", incarnation: 5, failureDomain: "z" }, 4_000, 90, 100);
    t.is(lease.formerEndsBy, 100 - 3_000 * 0.98 + 200 + 5_100);
});

// A worker that had answered once counted as leased for as long as workers accept.
test("the lease of a worker that answered a new leader once ends when those of former leaders do", t => {
    const { worker, tick, run } = createPool();
    worker.updateClock(6_500, 6_500, 6_500);
    worker.onNoAnswer(6_600);
    t.is(worker.leaseEndsBy, FORMER_END_MS);
    tick(7_200);
    t.is(run.state, "over");
});

test("the remaining time of a recorded lease counts from the time at which the record was read", t => {
    const table = createTable(3_000);
    table.apply({ key: leaseKey("w1"), value: encodeLease({ epoch: 1, remainingMs: 3_000 }), offset: 1 }, 2_000);
    t.is(createLeases(table, FORMER_END_MS).book.find("w1").formerEndsBy, 3_060);
});

test("a record by a leader before one of an earlier version, and a malformed one, do not shorten the wait", t => {
    t.is(createLeases(createTable(3_000, 0), FORMER_END_MS).book.find("w1").formerEndsBy, FORMER_END_MS);
    const malformed = LeaseTable.create();
    malformed.apply({ key: leaseKey("w1"), value: '{"epoch":1}', offset: 1 }, 0);
    const lease = createLeases(malformed, FORMER_END_MS).book.find("w1");
    t.is(lease.formerEndsBy, FORMER_END_MS);
    t.false(lease.mayExtend);
});

test("a record that was deleted while its stream was not followed does not count", t => {
    const table = createTable(3_000);
    table.retain(new Set([leaseKey("w2")]));
    t.deepEqual([...table.workers], []);
    const deleted = createTable(3_000);
    deleted.apply({ key: leaseKey("w1"), value: undefined, offset: 2 }, 1_000);
    t.deepEqual([...deleted.workers], []);
});

test("the runs of a worker that the former leader could not reach are given up when its lease ends", t => {
    const { run, tick } = createPool(createTable(3_000));
    tick(3_000);
    t.not(run.state, "over");
    tick(6_500);
    t.is(run.state, "over");
});

test("the lease of a worker that does not answer is recorded, and is extended only after the deletion is stored", t => {
    const { worker, tick, send, confirm, list } = createPool();
    worker.updateClock(1_000, 1_000, 1_000);
    t.true(list(1_000).leaseUntil !== undefined);
    worker.onNoAnswer(2_000);
    tick(2_000);
    const [record] = send(2_100);
    const { epoch, remainingMs } = JSON.parse(record.records[0].value!) as { epoch: number; remainingMs: number };
    t.is(record.records[0].key, "lease/w1");
    t.is(epoch, 1);
    t.true(2_000 + remainingMs >= worker.leaseEndsBy);
    confirm(record.sequence, 2_150);

    worker.updateClock(2_500, 2_500, 2_500);
    t.is(list(2_500).leaseUntil, undefined);
    const [deletion] = send(2_500);
    t.deepEqual(deletion.records, [{ key: "lease/w1", value: undefined }]);
    t.is(list(2_600).leaseUntil, undefined);
    t.is(worker.extendLeaseTo(5_000), undefined);
    t.false(worker.isUsable(2_600));
    confirm(deletion.sequence, 2_700);
    t.true(list(2_800).leaseUntil !== undefined);
    t.true(worker.isUsable(2_800));
});

test("a lease whose record is being stored is not extended either, and the record is deleted", t => {
    const { worker, tick, send, confirm, list } = createPool();
    worker.updateClock(1_000, 1_000, 1_000);
    worker.onNoAnswer(2_000);
    tick(2_000);
    const [record] = send(2_000);
    worker.updateClock(2_300, 2_300, 2_300);
    t.is(list(2_300).leaseUntil, undefined);
    confirm(record.sequence, 2_400);
    const [deletion] = send(2_400);
    t.is(list(2_400).leaseUntil, undefined);
    confirm(deletion.sequence, 2_500);
    t.true(list(2_500).leaseUntil !== undefined);
});

test("a record that was certainly not stored is withdrawn, and the lease is extended at once", t => {
    const { worker, tick, send, list } = createPool();
    worker.updateClock(1_000, 1_000, 1_000);
    worker.onNoAnswer(2_000);
    tick(2_000);
    worker.updateClock(2_300, 2_300, 2_300);
    tick(2_300);
    t.true(list(2_300).leaseUntil !== undefined);
    t.deepEqual(send(2_300), []);
});

test("an inherited record is kept and renewed until the worker answers", t => {
    const { worker, tick, send, confirm, list } = createPool(createTable(5_000));
    tick(100);
    const [renewal] = send(100);
    t.is(renewal.records[0].key, "lease/w1");
    confirm(renewal.sequence, 150);
    tick(200);
    t.deepEqual(send(200), []);
    worker.updateClock(300, 300, 300);
    t.is(list(300).leaseUntil, undefined);
    const [deletion] = send(300);
    confirm(deletion.sequence, 350);
    t.true(list(400).leaseUntil !== undefined);
});

test("no lease is recorded while the store does not confirm renewals, since the record could not be deleted", t => {
    const { pool, worker, send } = createPool();
    worker.updateClock(100, 100, 100);
    worker.onNoAnswer(2_000);
    pool.tick(2_000);
    t.deepEqual(send(2_000), []);
    t.true(worker.mayExtendLease);
});

test("the record is deleted when the runs of the worker are given up", t => {
    const { run, tick, send, confirm, pool } = createPool(createTable(3_000));
    tick(100);
    confirm(send(100)[0].sequence, 150);
    pool.deregister("w1");
    tick(3_500);
    t.is(run.state, "over");
    pool.find("w1")?.runs.clear();
    tick(3_600);
    t.deepEqual(send(3_600)[0].records, [{ key: "lease/w1", value: undefined }]);
});
