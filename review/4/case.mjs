// LOST: a task that lasts and whose run ends `done` is not restarted, and its job is shown as `done`.
import { delay } from "../standin/store.mjs";
import { Deployment, hasTrouble, runCase } from "../standin/deployment.mjs";

const TASKS = 6;
const LASTING_TASK_MS = 6_000;
const IDLE_MS = 3_000;
const deployment = new Deployment("review/4", { observer: { onStart, onEnd } });
const active = new Map();
const lastEnds = new Map();
let endsNow = false;

function onStart(_worker, { task }) {
    active.set(task, (active.get(task) ?? 0) + 1);
}

function onEnd(_worker, { task }) {
    active.set(task, active.get(task) - 1);
    lastEnds.set(task, performance.now());
}

await runCase(deployment, async () => {
    const step = { count: TASKS, cpu: 13_000, memMb: 26_000, estMs: 500, longRunning: true };
    // One of the tasks leaves its work with success, once.
    const endsBy = ({ task }) => {
        const isDue = endsNow && task.endsWith(".0.0.2");
        endsNow &&= !isDue;
        return isDue ? "done" : undefined;
    };
    const id = await deployment.submit({ spec: "keeper", steps: [step] }, [{ workMs: Infinity, endsBy }]);
    await delay(8_000);
    deployment.record("at work", { tasks: [...active.values()].filter(count => count > 0).length });
    endsNow = hasTrouble;
    const breaches = [];
    for (let second = 0; second < 25; second++) {
        await delay(1_000);
        for (const [task, endedAt] of lastEnds) {
            const idleMs = performance.now() - endedAt;
            const isIdle = active.get(task) === 0 && idleMs > LASTING_TASK_MS + IDLE_MS;
            if (isIdle && breaches.length === 0) {
                const state = await deployment.stateOf(id);
                const used = deployment.usedRatio.toFixed(3);
                breaches.push({ rule: "LOST", what: "a task that lasts has nothing running", task, idleMs, used, state });
            }
        }
    }
    await deployment.stateOf(id);
    return breaches;
});
