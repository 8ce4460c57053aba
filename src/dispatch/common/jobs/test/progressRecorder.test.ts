import test from "ava";
import { Outbox } from "../../../../base/common/outbox";
import { JobProgress } from "../../../../jobs/common/jobRecord";
import { RecordEffect } from "../../../../records/common/recordEvents";
import { RecordWriter } from "../../../../records/common/recordWriter";
import { ProgressRecorder } from "../progressRecorder";
import { createJob, createStep } from "./runs";

const PRODUCER = { name: "p", epoch: 2 };

// A task ran twice: the next leader did not know the run, whose record the earlier deletion had removed.
test("progress of a wide job that is recorded while its deletion waits is stored after it", t => {
    const outbox = Outbox.create<RecordEffect>();
    const writer = RecordWriter.create("progress", "progress", PRODUCER, outbox);
    const recorder = ProgressRecorder.create(writer);
    const { spec } = createJob("a", createStep("x", true, { tasks: 600 }));
    const progressWith = (task: string): JobProgress => {
        const runs = [{ task, run: 7, worker: "w1", incarnation: 1, checkpoint: "" }];
        return { epoch: 2, state: "running", runs };
    };
    const progress = progressWith("a.0.0.1");
    const stored = new Map<string, string>();
    const store = () => {
        writer.flush(1);
        for (const effect of outbox.drain()) {
            if (effect.kind === "append") {
                for (const { key, value } of effect.append.records) {
                    if (value === undefined) {
                        stored.delete(key);
                    } else {
                        stored.set(key, value);
                    }
                }
                const { sequence } = effect.append;
                const result = { ok: true, val: 0 } as never;
                writer.handleAnswer({ kind: "append-answer", writer: "progress", sequence, result }, 2);
            }
        }
    };
    recorder.record(
        spec,
        () => progress,
        () => undefined,
    );
    store();
    const before = new Map(stored);
    t.true(before.has("q/a/0"));
    recorder.delete("a");
    recorder.record(
        spec,
        () => progress,
        () => undefined,
    );
    store();
    t.deepEqual(stored, before);
    // What the new progress does not have is deleted all the same.
    recorder.delete("a");
    recorder.record(
        spec,
        () => progressWith("a.0.0.300"),
        () => undefined,
    );
    store();
    t.deepEqual([...stored.keys()].sort(), ["p/a", "q/a/1"]);
});
