import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { LogEffect } from "../../../services/common/logEvents";
import { Appender } from "../appender";

function create() {
    const outbox = Outbox.create<LogEffect<string>>();
    const appender = Appender.create("stream", "me", outbox);
    const sent = () => outbox.drain().flatMap(effect => (effect.kind === "log-append" ? [effect.batch] : []));
    const reply = (kind: "appended" | "refused" | "unknown", sequence: number, now: number) =>
        appender.handle(
            kind === "appended"
                ? { kind: "log-appended", stream: "stream", writer: "me", sequence, offset: 0 }
                : { kind: "log-append-failed", stream: "stream", writer: "me", sequence, certainty: kind },
            now,
        );
    return { appender, sent, reply };
}

test("entries are appended in one batch and reported durable once", t => {
    const { appender, sent, reply } = create();
    let durable = 0;
    appender.append("a", () => durable++);
    appender.append("b", () => durable++);
    appender.flush(0);
    t.deepEqual(sent(), [{ writer: "me", sequence: 1, entries: ["a", "b"] }]);
    reply("appended", 1, 5);
    reply("appended", 1, 6);
    t.is(durable, 2);
    t.is(appender.backlog, 0);
});

test("a batch whose reply was lost is sent again under the same sequence number, and cannot be withdrawn", t => {
    const { appender, sent, reply } = create();
    appender.append("a");
    appender.flush(0);
    sent();
    reply("unknown", 1, 10);
    t.is(appender.withdraw("a"), "may-be-durable");
    appender.append("later");
    appender.flush(11);
    t.deepEqual(sent(), []);
    appender.flush(5_000);
    t.deepEqual(sent(), [{ writer: "me", sequence: 1, entries: ["a"] }]);
    // A refusal of the second copy does not tell whether the first one was stored.
    reply("refused", 1, 5_001);
    t.is(appender.withdraw("a"), "may-be-durable");
    appender.handleReadBack({ writer: "me", sequence: 1, entries: ["a"] }, 5_002);
    t.is(appender.state, "idle");
});

test("a refused batch can be withdrawn", t => {
    const { appender, sent, reply } = create();
    appender.append("a");
    appender.flush(0);
    sent();
    reply("refused", 1, 10);
    t.is(appender.withdraw("a"), "withdrawn");
    appender.flush(5_000);
    t.deepEqual(sent(), []);
});

test("replies to other writers are ignored", t => {
    const { appender } = create();
    appender.append("a");
    appender.flush(0);
    appender.handle({ kind: "log-appended", stream: "stream", writer: "you", sequence: 1, offset: 0 }, 1);
    t.is(appender.state, "sending");
});
