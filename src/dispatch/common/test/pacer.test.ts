import test from "ava";
import { JobSpec, StepSpec } from "../../../jobs/common/jobSpec";
import { ActiveJob } from "../activeJob";
import { LatencyModel } from "../latencyModel";
import { Pacer } from "../pacer";
import { Run, RunHost } from "../run";
import { WorkerContact } from "../workerContact";

const TARGET_MS = 100;

class SilentHost extends RunHost {
    override sendStart(): void {}
    override sendStop(): void {}
    override onEnd(): void {}
}

function createStep(image: string, isServing: boolean): StepSpec {
    return {
        tasks: 1,
        request: { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 },
        estimateMs: 2_000,
        after: [],
        mode: isServing ? "long-running" : "independent",
        checkpoints: true,
        prefersOneRack: false,
        image,
        tailTargetMs: isServing ? TARGET_MS : undefined,
        usesSpareCpu: !isServing,
    };
}

function createWorker(): WorkerContact {
    const entry = {
        id: "w1",
        incarnation: 0,
        service: "svc",
        address: "w1",
        failureDomain: "z",
        state: "ready" as const,
        warmupLeftMs: 0,
        capacity: { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 0 },
        labels: [],
        rack: "r1",
    };
    return WorkerContact.create(entry, 0, 6_000);
}

function place(worker: WorkerContact, id: string, step: StepSpec): Run {
    const queue = { name: "q", host: "h", prefix: "/q/", service: "svc", priority: 0, maxAttempts: 3 };
    const terms = { stretch: 2, slackMs: 1_000, timeoutMs: 3_000 };
    const spec: JobSpec = {
        id,
        queue: { ...queue, ...terms },
        payload: "",
        steps: [step],
        occurrences: 0,
        firstDueMs: 0,
        intervalMs: 0,
        acceptedAtMs: 0,
    };
    const job = ActiveJob.create(spec, 0, undefined);
    job.openDue(0);
    const task = job.find(`${id}.0.0.0`)!;
    const record = { task: task.name, run: 1, worker: "w1", incarnation: 0, checkpoint: "" };
    const run = Run.create(task, record, new SilentHost(), 0);
    worker.runs.set(task.name, run);
    run.fire("stored", { now: 0 });
    return run;
}

function report(run: Run, measure: number, now: number): void {
    run.takeReport({ task: run.task.name, run: 1, checkpoint: "", percent: 100, measure }, now);
}

test("runs that press are slowed down, those that do not keep their speed", t => {
    const worker = createWorker();
    const serving = place(worker, "a", createStep("web", true));
    const heavy = place(worker, "b", createStep("heavy", false));
    const light = place(worker, "c", createStep("light", false));
    const model = LatencyModel.create([
        ["web", "heavy", 12, 0.01],
        ["web", "light", 0, 0.01],
    ]);
    const pacer = Pacer.create(model, (run, percent) => run.setPercent(percent, 1_000));
    report(serving, TARGET_MS, 1_000);
    report(heavy, 8_000, 1_000);
    report(light, 8_000, 1_000);
    model.learn(worker, 1_000);
    pacer.review(worker, 1_000);
    t.true(heavy.percent < 100);
    t.is(light.percent, 100);
});

test("a task that stays over its target is left alone, even if the model knows no cause", t => {
    const worker = createWorker();
    const serving = place(worker, "a", createStep("web", true));
    const beside = place(worker, "b", createStep("unknown", false));
    const model = LatencyModel.create([["web", "unknown", 0, 0]]);
    const pacer = Pacer.create(model, (run, percent) => run.setPercent(percent, 0));
    for (let now = 1_000; now <= 3_000; now += 500) {
        report(serving, TARGET_MS * 1.05, now);
        report(beside, 8_000, now);
        pacer.review(worker, now);
    }
    t.is(beside.percent, 0);
});

test("speed that a worker may not have taken is ordered again", t => {
    const worker = createWorker();
    const run = place(worker, "b", createStep("batch", false));
    const ordered: number[] = [];
    const pacer = Pacer.create(LatencyModel.create(), (each, percent) => {
        ordered.push(percent);
        each.setPercent(percent, 0);
    });
    run.fire("accepted", { now: 0 });
    run.isSpeedKnown = false;
    pacer.review(worker, 1_000);
    pacer.review(worker, 2_000);
    t.deepEqual(ordered, [100]);
});

test("an excluded worker is tried again although tasks that last run there", t => {
    const worker = createWorker();
    place(worker, "a", createStep("web", true));
    worker.noteClock(1_000, 1_000);
    for (let failures = 0; failures < 3; failures++) {
        worker.trust.failed({ now: 1_000, familyFailureRate: 0 });
    }
    t.false(worker.isUsable(1_000));
    worker.noteClock(60_000, 60_000);
    worker.tick(60_000);
    t.true(worker.isUsable(60_000));
});
