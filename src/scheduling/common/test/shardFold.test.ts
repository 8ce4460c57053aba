import test from "ava";
import { ShardFold } from "../shardFold";
import { AttemptEnd, Idempotency, ShardEntry } from "../taskEntry";

const SIZE = { cpus: 1, memoryGb: 1, accelerators: 0 };

function create() {
    const fold = ShardFold.create();
    let offset = -1;
    const apply = (...entries: ShardEntry[]) => {
        offset += 1;
        fold.accept({ offset, batch: { writer: `w${offset}`, sequence: 1, entries } });
    };
    const submit = (key: string, idempotency: Idempotency = "idempotent") => {
        const request = { team: "t", family: "f", urgency: "normal", durationMs: 1, dueAt: 0, payload: "" } as const;
        apply({ kind: "task-submitted", key, idempotency, ...request, ...SIZE, submittedAt: 0 });
        return fold.find(key)!;
    };
    const assign = (task: number, epoch: number, attempt: number, worker = "w") =>
        apply({ kind: "task-assigned", epoch, task, attempt, worker, boot: "b", ...SIZE });
    const end = (task: number, epoch: number, attempt: number, how: AttemptEnd, checkpoint = "") =>
        apply({ kind: "attempt-ended", epoch, task, attempt, end: how, result: "", checkpoint });
    const fence = (epoch: number) => apply({ kind: "shard-fenced", epoch, instance: "i" });
    return { fold, apply, submit, assign, end, fence };
}

test("records of an owner whose epoch is over are void", t => {
    const { submit, assign, fence } = create();
    fence(1);
    const task = submit("k");
    fence(2);
    assign(task.number, 1, 1);
    t.is(task.state, "queued");
    assign(task.number, 2, 1);
    t.is(task.state, "assigned");
});

test("a fence of an older owner that arrives late changes nothing", t => {
    const { fold, fence } = create();
    fence(5);
    fence(3);
    t.is(fold.epoch, 5);
});

test("a key names one task, however often it is submitted", t => {
    const { fold, submit } = create();
    const first = submit("k");
    t.is(submit("k"), first);
    t.is(fold.openTasks.size, 1);
});

test("evicted work resumes from its checkpoint, and a late end of the old attempt is ignored", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    assign(task.number, 1, 1);
    end(task.number, 1, 1, "evicted", "0.4");
    t.is(task.checkpoint, "0.4");
    assign(task.number, 1, 1);
    t.is(task.state, "queued");
    assign(task.number, 1, 2);
    end(task.number, 1, 1, "done");
    t.is(task.state, "assigned");
    end(task.number, 1, 2, "done");
    t.is(task.state, "done");
});

test("a lost task that must not run twice ends as unknown", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const [once, again] = [submit("once", "non-idempotent"), submit("again")];
    for (const task of [once, again]) {
        assign(task.number, 1, 1);
        end(task.number, 1, 1, "lost");
    }
    t.is(once.state, "unknown");
    t.is(again.state, "queued");
});

test("a task that fails on three workers is given up", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    ["a", "b", "c"].forEach((worker, index) => {
        assign(task.number, 1, index + 1, worker);
        end(task.number, 1, index + 1, "failed");
    });
    t.is(task.state, "failed");
});

test("an image gives the same state, and goes on as the original does", t => {
    const { fold, apply, submit, assign, end, fence } = create();
    fence(1);
    const tasks = ["a", "b", "c"].map(key => submit(key));
    assign(tasks[0].number, 1, 1);
    end(tasks[1].number, 1, 1, "done");
    apply({ kind: "shares-set", epoch: 1, shares: [{ worker: "w", slots: 2 }] });
    apply({ kind: "grants-limited", epoch: 1, limits: [{ worker: "w", instance: "i", slots: 1 }] });
    const copy = ShardFold.create();
    copy.restore(JSON.parse(JSON.stringify(fold.image())) as ReturnType<typeof fold.image>);
    t.is(JSON.stringify(copy.image()), JSON.stringify(fold.image()));
    t.is(copy.serviceSlots("w"), 2);
    t.is(copy.onWorker("w").size, 1);
    t.deepEqual(copy.grantLimits(), fold.grantLimits());
});
