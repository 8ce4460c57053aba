import test from "ava";
import { LogEntry } from "../../common/logEntry";
import { decodeReply, encodeReply } from "../peerCodec";
import { decodeBatch, encodeBatch } from "../recordCodec";
import { decodeCall, encodeCall } from "../../../services/node/workerCodec";

const ENTRIES: readonly LogEntry[] = [
    { kind: "snapshot-taken", next: 3, format: "1.0.0", image: "{}" },
    {
        kind: "ticket-filed",
        number: 1,
        basedOn: 0,
        author: "a",
        reason: "r",
        filedAt: 1_800_000_000_123,
        objects: [{ key: "service/s", value: "" }],
    },
    {
        kind: "instance-present",
        instance: "i",
        address: "a:1",
        region: "r",
        failureDomain: "d",
        phase: "draining",
        ticket: 7,
        holdings: [{ shard: "s", epoch: 9, snapshotNext: 4 }],
    },
    { kind: "shard-claimed", shard: "s", instance: "i", seenEpoch: -1, seenRenewal: -1 },
    { kind: "shard-released", shard: "s", instance: "i", epoch: 3, snapshotNext: 0, authorityMs: 12 },
    { kind: "grants-limited", epoch: 3, limits: [{ worker: "w", instance: "i", slots: 0 }] },
    {
        kind: "attempt-ended",
        epoch: 3,
        task: 2 ** 40 + 1,
        attempt: 1,
        end: "never-started",
        result: "",
        checkpoint: "0.35",
    },
    {
        kind: "attempt-ended",
        epoch: 3,
        task: 2 ** 40 + 1,
        attempt: 2,
        end: "lost",
        result: "",
        checkpoint: "",
        workedMs: 0,
    },
];

test("log entries are unchanged after encoding and decoding", t => {
    const batch = { writer: "w", sequence: 5, entries: ENTRIES };
    t.deepEqual(decodeBatch(encodeBatch(batch)), batch);
});

test("replies between instances are unchanged after encoding and decoding", t => {
    const reply = {
        kind: "grant-reply",
        shard: "s",
        epoch: 0,
        serial: 1,
        grants: [{ worker: "w", slots: 2 }],
    } as const;
    t.deepEqual(decodeReply(encodeReply(reply)), reply);
});

test("calls to workers are unchanged after encoding and decoding", t => {
    const call = {
        shard: "north-0",
        epoch: 4,
        boot: "b",
        usage: true,
        starts: [],
        renewals: [
            { task: "north-0/123456789012", attempt: 2, expiresAt: 99, order: "run" as const },
            { task: "north-0/5", attempt: 1, expiresAt: 99, order: "checkpoint-and-stop" as const },
        ],
        acknowledged: [{ task: "north-0/7", attempt: 1 }],
    };
    t.deepEqual(decodeCall(encodeCall(call)), call);
});
