import test from "ava";
import { Err, Ok } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordEffect, RecordWriterEffect } from "../recordEvents";
import { MAX_RECORD_BYTES } from "../recordSize";
import { RecordWriter } from "../recordWriter";

test("an append that may be stored is retried with the same sequence number before anything else is sent", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    let stored = 0;
    writer.write(
        "k",
        () => "1",
        () => (stored += 1),
    );
    writer.flush(0);
    const [first] = outbox.drain();
    writer.write("l", () => "2");
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Err("unknown") }, 10);
    writer.flush(1_000);
    t.deepEqual(outbox.drain(), [first]);
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Ok(5) }, 1_010);
    t.is(stored, 1);
    t.is(outbox.drain().length, 1);
});

test("records of an append that was certainly not stored can be withdrawn", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    writer.write("k", () => "1");
    writer.flush(0);
    t.false(writer.withdraw("k"));
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Err("not-done") }, 10);
    t.true(writer.withdraw("k"));
    outbox.drain();
    writer.flush(1_000);
    t.deepEqual(outbox.drain(), []);
});

test("a failure after which nothing is left to be stored ends with the answer to a call that was sent after it", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    writer.write("k", () => "1");
    writer.flush(0);
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Err("not-done") }, 10);
    writer.handleStoreAnswer(20);
    t.is(writer.firstFailedAt, 10);
    t.true(writer.withdraw("k"));
    writer.flush(1_000);
    writer.handleStoreAnswer(10);
    t.is(writer.firstFailedAt, 10);
    writer.handleStoreAnswer(11);
    t.is(writer.firstFailedAt, undefined);
});

test("a writer whose epoch was superseded makes no further appends", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    writer.write("k", () => "1");
    writer.flush(0);
    outbox.drain();
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Err("fenced") }, 10);
    writer.write("l", () => "2");
    writer.flush(2_000);
    t.true(writer.isRejected);
    t.deepEqual(outbox.drain(), []);
});

/** @returns A writer, the keys of each append that it makes, and the sizes of the records that it does not write. */
function createWriter() {
    const outbox = Outbox.create<RecordWriterEffect>();
    const writer = RecordWriter.create("w", "jobs", { name: "p", epoch: 1 }, outbox);
    const drain = () => {
        const effects = outbox.drain();
        const appends = effects.flatMap(each =>
            each.kind === "append" ? [each.append.records.map(({ key }) => key)] : [],
        );
        const dropped = effects.flatMap(each => (each.kind === "record-dropped" ? [[each.key, each.bytes]] : []));
        return { appends, dropped };
    };
    return { writer, drain };
}

// The store rejected each append with such a record, and nothing else was written.
test("a record that is too large for the store does not hold up the others", t => {
    const { writer, drain } = createWriter();
    const value = "x".repeat(MAX_RECORD_BYTES);
    writer.write("large", () => value);
    writer.write("small", () => "1");
    writer.flush(0);
    t.deepEqual(drain(), { appends: [["small"]], dropped: [["large", MAX_RECORD_BYTES + 6]] });
});

test("a writer goes on after all its records were too large", t => {
    const { writer, drain } = createWriter();
    writer.write("large", () => "\u20ac".repeat(MAX_RECORD_BYTES / 2));
    writer.flush(0);
    t.deepEqual(drain().appends, []);
    t.true(writer.isFlushed);
    writer.write("small", () => "1");
    writer.flush(1);
    t.deepEqual(drain().appends, [["small"]]);
});

test("a record of the largest size is written", t => {
    const { writer, drain } = createWriter();
    writer.write("k", () => "x".repeat(MAX_RECORD_BYTES - 2));
    writer.flush(0);
    t.deepEqual(drain(), { appends: [["k"]], dropped: [] });
});

test("records that are written together are in one append, and their listener is called once", t => {
    const { writer, drain } = createWriter();
    let stored = 0;
    const onStored = () => (stored += 1);
    const build = () => ["a", "b"].map(key => ({ key, value: "x".repeat(200_000) }));
    writer.write("other", () => "x".repeat(200_000));
    writer.writeTogether("a", build, onStored);
    writer.writeTogether("a", build, onStored);
    writer.flush(0);
    t.deepEqual(drain().appends, [["other"]]);
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 1, result: Ok(0) }, 1);
    t.deepEqual(drain().appends, [["a", "b"]]);
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 2, result: Err("not-done") }, 2);
    writer.writeTogether("a", build, onStored);
    writer.flush(1_000);
    t.deepEqual(drain().appends, [["a", "b"]]);
    writer.handleAnswer({ kind: "append-answer", writer: "w", sequence: 2, result: Ok(0) }, 1_001);
    t.is(stored, 1);
});
