import test from "ava";
import { ShardFold } from "../shardFold";
import { AttemptEnd, Idempotency, ShardEntry } from "../taskEntry";

const SIZE = { cpus: 1, memoryGb: 1, accelerators: 0 };

function create() {
    const fold = ShardFold.create();
    let offset = -1;
    const apply = (...entries: ShardEntry[]) => {
        offset += 1;
        fold.applyBatch({ offset, batch: { writer: `w${offset}`, sequence: 1, entries } });
    };
    const submit = (key: string, idempotency: Idempotency = "idempotent") => {
        const request = { team: "t", family: "f", urgency: "normal", durationMs: 1, dueAt: 0, payload: "" } as const;
        apply({ kind: "task-submitted", key, idempotency, ...request, ...SIZE, submittedAt: 0 });
        return fold.find(key)!;
    };
    const assign = (task: number, epoch: number, attempt: number, worker = "w") =>
        apply({ kind: "task-assigned", epoch, task, attempt, worker, boot: "b", ...SIZE });
    const end = (
        task: number,
        epoch: number,
        attempt: number,
        outcome: AttemptEnd,
        { checkpoint = "", workedMs }: { readonly checkpoint?: string; readonly workedMs?: number } = {},
    ) => apply({ kind: "attempt-ended", epoch, task, attempt, end: outcome, result: "", checkpoint, workedMs });
    const fence = (epoch: number) => apply({ kind: "shard-fenced", epoch, instance: "i" });
    return { fold, apply, submit, assign, end, fence };
}

test("records of an owner from an earlier epoch have no effect", t => {
    const { submit, assign, fence } = create();
    fence(1);
    const task = submit("k");
    fence(2);
    assign(task.number, 1, 1);
    t.is(task.state, "queued");
    assign(task.number, 2, 1);
    t.is(task.state, "assigned");
});

test("a late fence of an earlier owner has no effect", t => {
    const { fold, fence } = create();
    fence(5);
    fence(3);
    t.is(fold.epoch, 5);
});

test("repeated submissions of a key create one task", t => {
    const { fold, submit } = create();
    const first = submit("k");
    t.is(submit("k"), first);
    t.is(fold.openTasks.size, 1);
});

test("an evicted task keeps its checkpoint, and a late end of an earlier attempt is ignored", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    assign(task.number, 1, 1);
    end(task.number, 1, 1, "evicted", { checkpoint: "0.4" });
    t.is(task.checkpoint, "0.4");
    assign(task.number, 1, 1);
    t.is(task.state, "queued");
    assign(task.number, 1, 2);
    end(task.number, 1, 1, "done");
    t.is(task.state, "assigned");
    end(task.number, 1, 2, "done");
    t.is(task.state, "done");
});

test("a non-idempotent task ends as unknown when its attempt is lost", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const [nonIdempotent, idempotent] = [submit("once", "non-idempotent"), submit("again")];
    for (const task of [nonIdempotent, idempotent]) {
        assign(task.number, 1, 1);
        end(task.number, 1, 1, "lost");
    }
    t.is(nonIdempotent.state, "unknown");
    t.is(idempotent.state, "queued");
});

test("a task that fails on three workers ends as failed", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    ["a", "b", "c"].forEach((worker, index) => {
        assign(task.number, 1, index + 1, worker);
        end(task.number, 1, index + 1, "failed");
    });
    t.is(task.state, "failed");
});

test("a task whose workers are lost under five attempts in a row ends as failed", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const [task, evicted] = [submit("k"), submit("e")];
    for (let attempt = 1; attempt <= 5; attempt++) {
        t.is(task.state, "queued");
        for (const each of [task, evicted]) {
            assign(each.number, 1, attempt, `w${attempt}`);
            end(each.number, 1, attempt, each === evicted && attempt === 3 ? "evicted" : "lost");
        }
    }
    t.is(task.state, "failed");
    t.is(task.result, "lost with 5 workers in a row");
    t.is(evicted.state, "queued");
});

// The workers were restarted while the task was at work for hours.
test("a long batch task does not end as failed for five workers that are lost in its life", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    for (let attempt = 1; attempt <= 12; attempt++) {
        t.is(task.state, "queued");
        assign(task.number, 1, attempt);
        end(task.number, 1, attempt, "lost", { workedMs: 3_600_000 });
    }
    t.is(task.state, "queued");
});

test("a task that works for long once is given up after five further losses in a row", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k");
    const workedMs = [0, undefined, 10_000, 2_000, 10_001, 0, undefined, 10_000, 2_000];
    workedMs.forEach((worked, index) => {
        assign(task.number, 1, index + 1);
        end(task.number, 1, index + 1, "lost", { workedMs: worked });
        t.is(task.state, "queued");
    });
    assign(task.number, 1, 10);
    end(task.number, 1, 10, "lost", { workedMs: 0 });
    t.is(task.state, "failed");
});

test("a non-idempotent task ends as unknown also when its attempt is lost after long work", t => {
    const { submit, assign, end, fence } = create();
    fence(1);
    const task = submit("k", "non-idempotent");
    assign(task.number, 1, 1);
    end(task.number, 1, 1, "lost", { workedMs: 3_600_000 });
    t.is(task.state, "unknown");
});

test("a fold restored from an image has the state of the original", t => {
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
    t.is(copy.tasksOn("w").size, 1);
    t.deepEqual(copy.grantLimits(), fold.grantLimits());
});
