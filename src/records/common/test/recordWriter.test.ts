import test from "ava";
import { Err, Ok } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordEffect } from "../recordEvents";
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
