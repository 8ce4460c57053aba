// Case 13: a worker that is emptied and leaves while stops wait for it is never listed again, so its runs are not given up.
import { setTimeout as delay } from "node:timers/promises";
import { Site, runCase } from "../standin-3/site.mjs";

const isTroubled = process.env.TROUBLE !== "0";
/** One of them leaves: a share of 0.0625. */
const WORKERS = 16;
const JOBS = 60;
const WIDTH = 36;
const WORK_MS = 9_000;
const DRAIN_MS = 2_500;
/** "And a little longer". */
const LINGER_MS = 50;
const FINISH_MS = 14_000;
const MOST_IDLE_MS = 3_000;
const WATCH_MS = 40_000;

const site = new Site({
    record: new URL("record.txt", import.meta.url).pathname,
    workers: WORKERS,
    // The entries are in one region, the workers in the other.
    linkMs: 20,
    workerZone: "vannes",
    plan: () => ({ workMs: WORK_MS, end: "done" }),
});
await runCase(site, async () => {
    const job = { spec: "proof", steps: [{ count: WIDTH, cpu: 100, memMb: 64, estMs: WORK_MS }] };
    const ids = Array.from({ length: JOBS }, (_, number) => `5c0e7a21d94d${number.toString(16).padStart(4, "0")}`);
    const answers = await Promise.all(ids.map((id, number) => site.submit(id, job, { from: number })));
    site.write(`POST ${JOBS} times ${JSON.stringify(job)}: ${[...new Set(answers)].join(", ")}`);
    const accepted = ids.filter((_, number) => answers[number] === 200);
    const endOfTraffic = site.now;
    await delay(5_000);
    site.write(`runs of each worker: ${site.workers.map(each => each.runs.size).join(", ")}`);
    const [leaving] = site.workers;
    let stops = 0;
    leaving.onOrder = path => (stops += path === "/api/run-stop" ? 1 : 0);
    const state = () => `${leaving.runs.size} runs, ${stops} stops, ${leaving.ends.length} ends that are not confirmed`;
    if (isTroubled) {
        const until = site.now + DRAIN_MS;
        Object.defineProperty(leaving, "drainRemainingMs", { get: () => Math.max(0, until - site.now) });
        leaving.register();
        site.write(`${leaving.id} drains: ${state()}`);
        await delay(DRAIN_MS - 900);
        site.write(`${leaving.id}, 900 ms before it may leave: ${state()}`);
        await delay(until + LINGER_MS - site.now);
        site.write(`${leaving.id} leaves: ${state()}`);
        leaving.leave();
    }
    const from = endOfTraffic + FINISH_MS;
    await delay(from - site.now);
    // From now on jobs are asked for. `idleFrom`: since when a job has nothing running while tasks of it are not done.
    const idleFrom = new Map();
    let longestMs = 0;
    while (site.now < from + WATCH_MS) {
        const done = new Set(site.events.filter(each => each.kind === "end" && each.how === "done").map(each => each.task));
        const atWork = site.workers.flatMap(each => [...each.runs.keys()]);
        const cores = site.workers.reduce((sum, each) => sum + (each.capacity.cpu - each.free.cpu) / 1_000, 0);
        const busy = new Set(atWork.map(jobOf));
        const open = accepted.filter(id => tasksOf(id).some(task => !done.has(task)));
        const idle = open.filter(id => !busy.has(id));
        for (const id of [...idleFrom.keys()].filter(each => !idle.includes(each))) {
            idleFrom.delete(id);
        }
        idle.forEach(id => idleFrom.set(id, idleFrom.get(id) ?? site.now));
        longestMs = Math.max(longestMs, ...[...idleFrom.values()].map(each => site.now - each));
        const states = await Promise.all(accepted.map((id, number) => site.stateOf(id, number)));
        const shown = states.filter(each => each === "done").length;
        const restarted = site.events.filter(each => each.kind === "start" && each.run > 1).length;
        site.write(
            `jobs shown as done: ${shown}; with tasks that are not done: ${open.length}, and nothing running: ${idle.length}; ` +
                `tasks at work: ${atWork.length} on ${cores.toFixed(1)} of ${WORKERS * 64} cores; started again: ${restarted}`,
        );
        if (shown === accepted.length) {
            break;
        }
        await delay(500);
    }
    const lost = site.events.filter(each => each.kind === "end" && each.how === "gone").length;
    site.write(`tasks whose worker left: ${lost}; longest time that a job had nothing running, from ${FINISH_MS} ms after the traffic: ${longestMs} ms`);
    return longestMs > MOST_IDLE_MS;
});

function tasksOf(id) {
    return Array.from({ length: WIDTH }, (_, number) => `${id}.0.0.${number}`);
}

function jobOf(task) {
    return task.split(".")[0];
}
