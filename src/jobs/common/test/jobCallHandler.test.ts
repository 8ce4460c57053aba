import test from "ava";
import { Err, Ok } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordEffect } from "../../../records/common/recordEvents";
import { RecordWriter } from "../../../records/common/recordWriter";
import { ConfigurationView } from "../configurationView";
import { JobAnswer, JobCall, JobDraft, JobRequest, UnavailableReason } from "../jobCall";
import { JobCallHandler } from "../jobCallHandler";
import { encodeSpec, jobKey } from "../jobRecord";
import { JobTable } from "../jobTable";
import { QueueTable } from "../queueTable";

const DRAFT: JobDraft = { payload: "", steps: [], occurrences: 0, firstDueMs: 0, intervalMs: 0 };

const CALLER_TIMEOUT_MS = 3_000;

/** Time within which a configuration must be in force, in ms. */
const CONFIGURATION_MS = 6_000;

function createHandler(maxJobBytes?: number) {
    const outbox = Outbox.create<RecordEffect>();
    const queues = QueueTable.create();
    const base = { service: "svc", priority: 0, maxAttempts: 1, stretch: 2, slackMs: 0, timeoutMs: CALLER_TIMEOUT_MS };
    const queue = { name: "q", host: "host", prefix: "/q/", ...base };
    queues.apply({ version: 1, queues: [queue], services: [], maxBodyBytes: 1_000 });
    const writer = RecordWriter.create("submissions", "jobs", { name: "i", epoch: 1 }, outbox);
    const answers = new Map<number, JobAnswer["kind"]>();
    const retriesAfterMs: number[] = [];
    const reasons: UnavailableReason[] = [];
    const stream: { hasLoaded: boolean; knownUntil: number | undefined } = { hasLoaded: true, knownUntil: 0 };
    const configuration: { knownUntil: number | undefined; isFailing: boolean } = { knownUntil: 0, isFailing: false };
    const views = { jobs: stream, configuration: ConfigurationView.create(configuration, queues, CONFIGURATION_MS) };
    const jobs = JobTable.create();
    const sendAnswer = (call: JobCall, answer: JobAnswer) => {
        answers.set(call.number, answer.kind);
        if (answer.kind === "unavailable") {
            retriesAfterMs.push(answer.retryAfterMs);
            reasons.push(answer.reason);
        }
    };
    const handler = JobCallHandler.create(jobs, queues, writer, views, sendAnswer, maxJobBytes);
    const call = (number: number, path: string, request: JobRequest, now: number) => {
        handler.handle({ number, host: "host", path, callerTimeoutMs: CALLER_TIMEOUT_MS, request }, now, now);
        writer.flush(now);
    };
    const pathOf = (number: number) => `/q/${number.toString(16).padStart(16, "0")}`;
    const submit = (number: number, now: number) => call(number, pathOf(number), { kind: "submit", draft: DRAFT }, now);
    const read = (number: number, now: number) => call(number, pathOf(number), { kind: "read" }, now);
    const count = (number: number, now: number) => call(number, "/q/", { kind: "read" }, now);
    const answerAppend = (isStored: boolean, now: number) => {
        const [append] = outbox.drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
        const { sequence } = append.append;
        const result = isStored ? Ok(0) : Err("unknown" as const);
        writer.handleAnswer({ kind: "append-answer", writer: "submissions", sequence, result }, now);
    };
    const addJob = (id: string) => {
        const spec = encodeSpec({ id, queue, acceptedAtMs: 0, ...DRAFT });
        jobs.apply({ key: jobKey("spec", id), value: spec, offset: 0 });
    };
    return {
        handler,
        addJob,
        stream,
        configuration,
        call,
        submit,
        read,
        count,
        answerAppend,
        answers,
        retriesAfterMs,
        reasons,
    };
}

test("a submission is accepted once it is stored", t => {
    const { submit, answerAppend, answers } = createHandler();
    submit(1, 0);
    t.is(answers.get(1), undefined);
    answerAppend(true, 5);
    t.is(answers.get(1), "accepted");
});

test("a submission that the store would not take is refused, and others are accepted", t => {
    const { call, submit, answerAppend, answers } = createHandler();
    const draft = { ...DRAFT, payload: "\u20ac".repeat(90_000) };
    call(1, "/q/0000000000000001", { kind: "submit", draft }, 0);
    t.is(answers.get(1), "invalid");
    submit(2, 10);
    answerAppend(true, 20);
    t.is(answers.get(2), "accepted");
});

test("during a store outage, unsent submissions are rejected early and one that may be stored is undecided", t => {
    const { handler, submit, answerAppend, answers } = createHandler();
    submit(1, 0);
    submit(2, 10);
    answerAppend(false, 300);
    handler.tick(400);
    t.is(answers.size, 0);
    handler.tick(1_100);
    t.deepEqual([...answers], [[2, "unavailable"]]);
    submit(3, 1_200);
    t.is(answers.get(3), "unavailable");
    handler.tick(CALLER_TIMEOUT_MS);
    t.is(answers.get(1), "undecided");
});

test("callers get a longer retry delay when the store outage has lasted longer", t => {
    const { submit, answerAppend, retriesAfterMs } = createHandler();
    submit(1, 0);
    answerAppend(false, 300);
    submit(2, 1_100);
    submit(3, 2_500);
    t.true(retriesAfterMs[1] > retriesAfterMs[0]);
});

// Callers used up their retries while the store was away: it has been for longer than the short delay when a view gets old.
test("callers get a longer retry delay while the configuration is old, and a short one from an instance that starts", t => {
    const { read, stream, retriesAfterMs } = createHandler();
    read(1, CONFIGURATION_MS + 1);
    stream.hasLoaded = false;
    read(2, CONFIGURATION_MS + 1);
    t.deepEqual(retriesAfterMs, [2_000, 1_000]);
});

test("while the age of the stream is unknown, counts are refused, and a read of an unknown job waits for the stream", t => {
    const { handler, stream, count, read, answers } = createHandler();
    stream.knownUntil = undefined;
    count(1, 5_000);
    read(2, 5_000);
    handler.tick(5_100);
    t.deepEqual([...answers], [[1, "unavailable"]]);
    stream.knownUntil = 5_050;
    handler.tick(5_200);
    t.is(answers.get(2), "no-job");
});

test("no call is answered before the stream has been loaded", t => {
    const { stream, submit, answers } = createHandler();
    stream.hasLoaded = false;
    stream.knownUntil = undefined;
    submit(1, 0);
    t.is(answers.get(1), "unavailable");
});

test("a read of an unknown job is refused while the stream is read late", t => {
    const { read, answers } = createHandler();
    read(1, 2_000);
    t.is(answers.get(1), "unavailable");
});

test("a call is refused by a configuration that may not be in force any more, also one for an unknown queue", t => {
    const { call, configuration, answers } = createHandler();
    const request: JobRequest = { kind: "read" };
    call(1, "/none/", request, CONFIGURATION_MS);
    call(2, "/none/", request, CONFIGURATION_MS + 1);
    call(3, "/q/", request, CONFIGURATION_MS + 1);
    configuration.knownUntil = 1;
    call(4, "/none/", request, CONFIGURATION_MS + 1);
    configuration.knownUntil = undefined;
    call(5, "/none/", request, CONFIGURATION_MS + 1);
    t.deepEqual([...answers.values()], ["no-queue", "unavailable", "unavailable", "no-queue", "unavailable"]);
});

test("a refusal states its reason: the instance starts, or its configuration is old", t => {
    const { submit, read, stream, reasons } = createHandler();
    submit(1, CONFIGURATION_MS + 1);
    stream.hasLoaded = false;
    read(2, 0);
    t.deepEqual(reasons, ["configuration-old", "starting"]);
});

test("a refusal states its reason: the store fails, on arrival and while a submission waits to be sent", t => {
    const { handler, submit, answerAppend, reasons } = createHandler();
    submit(1, 0);
    submit(2, 10);
    answerAppend(false, 300);
    handler.tick(1_100);
    submit(3, 1_200);
    t.deepEqual(reasons, ["store-failing", "store-failing"]);
});

test("a refusal states its reason: the store is late, for a submission that was not sent and for a cancellation", t => {
    const { handler, addJob, call, submit, answers, reasons } = createHandler();
    addJob("0000000000000004");
    submit(1, 0);
    submit(2, 10);
    call(3, "/q/0000000000000004", { kind: "cancel" }, 20);
    handler.tick(CALLER_TIMEOUT_MS);
    t.deepEqual([...answers.values()], ["undecided", "unavailable", "unavailable"]);
    t.deepEqual(reasons, ["store-late", "store-late"]);
});

test("a refusal states its reason: the jobs are read late, on arrival and until the caller times out", t => {
    const { handler, count, read, stream, reasons } = createHandler();
    count(1, 2_000);
    read(2, 2_000);
    stream.knownUntil = 2_000;
    read(3, 2_100);
    handler.tick(2_100 + CALLER_TIMEOUT_MS);
    t.deepEqual(reasons, ["jobs-late", "jobs-late", "jobs-late"]);
});

// CONFIG: calls were answered by a configuration of any age from the first failed read on.
test("a call is refused by an old configuration also while reads fail, since the store may serve others", t => {
    const { call, configuration, answers } = createHandler();
    configuration.isFailing = true;
    call(1, "/none/", { kind: "read" }, CONFIGURATION_MS);
    call(2, "/none/", { kind: "read" }, CONFIGURATION_MS + 1);
    call(3, "/q/", { kind: "read" }, 100 * CONFIGURATION_MS);
    t.deepEqual([...answers.values()], ["no-queue", "unavailable", "unavailable"]);
});

test("a submission without memory for its job is refused and not stored; one that can never have it is invalid", t => {
    const { submit, answerAppend, answers, retriesAfterMs } = createHandler(3_000);
    submit(1, 0);
    submit(2, 1);
    t.deepEqual([answers.get(1), answers.get(2)], [undefined, "unavailable"]);
    t.deepEqual(retriesAfterMs, [2_000]);
    answerAppend(true, 5);
    t.is(answers.get(1), "accepted");
    submit(3, 6);
    t.is(answers.get(3), undefined);
    const small = createHandler(1_000);
    small.submit(1, 0);
    t.is(small.answers.get(1), "invalid");
});
