import test, { ExecutionContext } from "ava";
import { SoakRule } from "../ruleChecker";
import { SiteChecker } from "../siteChecker";
import { SoakEvent, SoakJob, SoakObservation, SoakStep } from "../soakEvent";

const CAPACITY = { cpu: 10_000, memMb: 10_000 };
const STEP: SoakStep = { count: 1, cpu: 4_000, memMb: 1_000, estMs: 500 };
const JOB: SoakJob = { id: "a", spec: "s", steps: [STEP, { ...STEP, after: [0] }] };
const LASTING: SoakJob = { id: "k", spec: "s", steps: [{ ...STEP, longRunning: true }] };

const start = (task: string, run: number, worker = 0, isDeadly = false): SoakObservation => ({
    kind: "run-started",
    worker,
    task,
    run,
    spec: "s",
    isLate: false,
    isDeadly,
});
const end = (task: string, run: number, how: "done" | "failed" | "lapsed" | "lost", worker = 0): SoakObservation => ({
    kind: "run-ended",
    worker,
    task,
    run,
    end: how,
});
const confirm = (task: string, run: number, worker = 0): SoakObservation => ({
    kind: "end-confirmed",
    worker,
    task,
    run,
    end: "done",
});
const SITE: SoakObservation[] = [
    { kind: "worker-began", worker: 0, capacity: CAPACITY },
    { kind: "worker-began", worker: 1, capacity: CAPACITY },
    { kind: "submitted", job: JOB },
    { kind: "submitted", job: LASTING },
];

/** Observations 1 ms apart; a number moves the time (ms) forward, with ticks. */
function rulesBroken(...steps: (SoakObservation | number)[]): SoakRule[] {
    const checker = SiteChecker.create();
    let atMs = 0;
    const rules: SoakRule[] = [];
    const observe = (event: SoakEvent) => rules.push(...checker.observe(event).map(each => each.rule));
    for (const step of [...SITE, ...steps]) {
        if (typeof step === "number") {
            for (const until = atMs + step; atMs < until; atMs += 100) {
                observe({ kind: "tick", atMs });
            }
        } else {
            atMs += 1;
            observe({ ...step, atMs });
        }
    }
    return rules;
}

function detects(t: ExecutionContext, rule: SoakRule, ...steps: (SoakObservation | number)[]): void {
    t.deepEqual([...new Set(rulesBroken(...steps))], [rule]);
}

function allows(t: ExecutionContext, ...steps: (SoakObservation | number)[]): void {
    t.deepEqual(rulesBroken(...steps), []);
}

test("single-run: a second run of a task while one is active", t => {
    detects(t, "single-run", start("a.0.0.0", 1), start("a.0.0.0", 2, 1));
    allows(t, start("a.0.0.0", 1), end("a.0.0.0", 1, "lost"), start("a.0.0.0", 2, 1));
});

test("no-start-after-done: a start after the end was confirmed, and a confirmation after a start", t => {
    const done = [start("a.0.0.0", 1), end("a.0.0.0", 1, "done")];
    detects(t, "no-start-after-done", ...done, confirm("a.0.0.0", 1), start("a.0.0.0", 2, 1));
    detects(t, "no-start-after-done", ...done, start("a.0.0.0", 2, 1), confirm("a.0.0.0", 1));
    allows(t, ...done, start("a.0.0.0", 2, 1));
    allows(t, ...done, { kind: "lease-lapsed", worker: 0 }, confirm("a.0.0.0", 1), start("a.0.0.0", 2, 1));
});

test("step-order: a start before the steps that it depends on are done", t => {
    detects(t, "step-order", start("a.0.1.0", 1));
    detects(t, "step-order", start("a.0.0.0", 1), end("a.0.0.0", 1, "failed"), start("a.0.1.0", 1));
    allows(t, start("a.0.0.0", 1), end("a.0.0.0", 1, "done"), start("a.0.1.0", 1));
});

test("capacity: starts beyond a worker's capacity", t => {
    const big: SoakObservation = { kind: "submitted", job: { id: "b", spec: "s", steps: [{ ...STEP, count: 3 }] } };
    const two = [start("b.0.0.0", 1), start("b.0.0.1", 1)];
    detects(t, "capacity", big, ...two, start("b.0.0.2", 1));
    allows(t, big, ...two, start("b.0.0.2", 1, 1));
});

test("unasked: a start that nobody asked for, or late after a cancellation in calm", t => {
    const cancelled: SoakObservation[] = [
        { kind: "cancel-sent", id: "a" },
        { kind: "cancel-acknowledged", id: "a" },
    ];
    detects(t, "unasked", start("x.0.0.0", 1));
    detects(t, "unasked", { ...start("a.0.0.0", 1), spec: "t" } as SoakObservation);
    detects(t, "unasked", ...cancelled, 3_200, start("a.0.0.0", 1));
    allows(t, ...cancelled, 2_900, start("a.0.0.0", 1));
    allows(t, ...cancelled, 3_200, { kind: "disruption-began", name: "f" }, start("a.0.0.0", 1));
});

test("unasked: a run of a cancelled job goes on in calm", t => {
    const cancelled: SoakObservation[] = [
        { kind: "cancel-sent", id: "a" },
        { kind: "cancel-acknowledged", id: "a" },
    ];
    detects(t, "unasked", start("a.0.0.0", 1), ...cancelled, 7_600);
    allows(t, start("a.0.0.0", 1), ...cancelled, 7_000);
    allows(t, start("a.0.0.0", 1), 5_000, ...cancelled, 3_100, end("a.0.0.0", 1, "done"), 5_000);
    allows(t, start("a.0.0.0", 1), ...cancelled, { kind: "disruption-began", name: "f" }, 20_000);
});

test("known: an accepted job that is not found, or has no state", t => {
    const accepted: SoakObservation = { kind: "accepted", id: "a" };
    detects(t, "known", accepted, 3_100, { kind: "job-not-found", id: "a" });
    detects(t, "known", accepted, 3_100, { kind: "state-unknown", id: "a" });
    allows(t, 3_100, { kind: "job-not-found", id: "a" });
    allows(t, accepted, { kind: "job-not-found", id: "a" });
    allows(t, accepted, { kind: "cancel-sent", id: "a" }, 3_100, { kind: "job-not-found", id: "a" });
    const over = [start("a.0.0.0", 1), end("a.0.0.0", 1, "done"), start("a.0.1.0", 1), end("a.0.1.0", 1, "done")];
    detects(t, "known", accepted, ...over, 119_000, { kind: "job-not-found", id: "a" });
    allows(t, accepted, ...over, 121_000, { kind: "job-not-found", id: "a" });
});

test("shown-done: a job that is shown as done, failed or cancelled without cause", t => {
    const show = (state: string): SoakObservation => ({ kind: "state-shown", id: "a", state });
    const fail = [start("a.0.0.0", 1), end("a.0.0.0", 1, "failed")];
    detects(t, "shown-done", show("done"));
    detects(t, "shown-done", start("a.0.0.0", 1), end("a.0.0.0", 1, "done"), show("done"));
    detects(t, "shown-done", show("cancelled"));
    detects(t, "shown-done", ...fail, show("failed"));
    detects(t, "shown-done", ...fail, start("a.0.0.0", 2), end("a.0.0.0", 2, "lost"), show("failed"));
    allows(t, ...fail, start("a.0.0.0", 2), end("a.0.0.0", 2, "failed"), show("failed"));
    allows(t, show("running"), { kind: "cancel-sent", id: "a" }, show("cancelled"));
});

/** So many runs of a task, each lost with its worker, from a run on. */
const crashed = (task: string, count: number, isDeadly: boolean, firstRun = 1): SoakObservation[] =>
    Array.from({ length: count }, (_, index) => firstRun + index).flatMap(run => [
        start(task, run, run % 2, isDeadly),
        end(task, run, "lost", run % 2),
    ]);

test("crash-budget: a third start of a task that crashes its workers after three crashes under it", t => {
    const task = "a.0.0.0";
    detects(t, "crash-budget", ...crashed(task, 5, true), start(task, 6, 0, true));
    detects(
        t,
        "crash-budget",
        ...crashed(task, 3, true),
        start(task, 4, 0, true),
        end(task, 4, "lapsed"),
        ...crashed(task, 2, true, 5),
    );
    allows(t, ...crashed(task, 4, true), start(task, 5, 0, true));
    allows(
        t,
        ...crashed(task, 2, true),
        start(task, 3, 0, true),
        end(task, 3, "lapsed"),
        start(task, 4, 0, true),
        end(task, 4, "lapsed"),
        start(task, 5, 0, true),
    );
    allows(t, ...crashed(task, 9, false));
});

test("shown-done: only a job whose task crashes its workers may be shown as failed for crashes, from the second on", t => {
    const show: SoakObservation = { kind: "state-shown", id: "a", state: "failed" };
    detects(t, "shown-done", ...crashed("a.0.0.0", 1, true), show);
    detects(t, "shown-done", ...crashed("a.0.0.0", 5, false), show);
    detects(t, "shown-done", ...crashed("a.0.0.0", 1, true), ...crashed("k.0.0.0", 2, true), show);
    allows(t, ...crashed("a.0.0.0", 2, true), show);
});

test("finished: a job that may be given up for crashes of its workers need not finish", t => {
    const accepted: SoakObservation = { kind: "accepted", id: "a" };
    detects(t, "finished", accepted, ...crashed("a.0.0.0", 2, false), { kind: "traffic-ended" }, 17_500);
    allows(t, accepted, ...crashed("a.0.0.0", 2, true), { kind: "traffic-ended" }, 17_500);
});

test("finished: an accepted job waits in calm after the end of the traffic", t => {
    const accepted: SoakObservation = { kind: "accepted", id: "a" };
    detects(t, "finished", accepted, { kind: "traffic-ended" }, 17_500);
    allows(t, accepted, { kind: "traffic-ended" }, 16_500);
    allows(t, accepted, start("a.0.0.0", 1), { kind: "traffic-ended" }, 30_000);
    allows(t, accepted, { kind: "cancel-sent", id: "a" }, { kind: "traffic-ended" }, 30_000);
    allows(t, accepted, { kind: "disruption-began", name: "f" }, { kind: "traffic-ended" }, 30_000);
});

test("lasting-run: a task that lasts is without a run for over 9 s, 7 s of them in calm", t => {
    const lost = [start("k.0.0.0", 1), end("k.0.0.0", 1, "lost")];
    detects(t, "lasting-run", ...lost, 9_300);
    detects(
        t,
        "lasting-run",
        ...lost,
        { kind: "disruption-began", name: "f" },
        3_000,
        { kind: "disruption-ended", name: "f" },
        7_300,
    );
    allows(t, ...lost, 8_900, start("k.0.0.0", 2));
    allows(t, ...lost, { kind: "disruption-began", name: "f" }, 3_000, { kind: "disruption-ended", name: "f" }, 6_800);
    allows(t, ...lost, { kind: "worker-ended", worker: 1 }, 20_000);
    allows(t, ...lost, { kind: "cancel-sent", id: "k" }, 20_000);
});

test("single-holder: two leaders of one epoch, and a lower fence after a higher one", t => {
    const lead = (instance: string): SoakObservation => ({ kind: "leader-began", instance, epoch: "/7" });
    const order = (fence: number): SoakObservation => ({ kind: "order-executed", worker: 0, fence });
    detects(t, "single-holder", lead("e-1"), lead("e-2"));
    detects(t, "single-holder", order(8), order(7));
    allows(t, lead("e-1"), order(7), order(8), { kind: "worker-began", worker: 0, capacity: CAPACITY }, order(7));
});

test("process-end and log-line: a process ends by itself, and a line is not JSON", t => {
    const ended = (isExpected: boolean): SoakObservation => ({
        kind: "process-ended",
        node: "e",
        detail: "code 1",
        isExpected,
    });
    const line = (text: string): SoakObservation => ({ kind: "log-line", node: "e", text });
    detects(t, "process-end", ended(false));
    allows(t, ended(true));
    detects(t, "log-line", line("Error: boom"));
    detects(t, "log-line", line('{"time":"2026"}'));
    allows(t, line('{"time":"2026","event":"started"}'));
});
