// Case 13: a worker lists 500 ends at a time; runs whose ends are not among them are taken for lost, and started again.
import { setTimeout as delay } from "node:timers/promises";
import { Site, runCase } from "../standin-3/site.mjs";

/** Many jobs at once, as wide as the widest of the sheet, of small tasks. Without the disruption a tenth of them. */
const isTroubled = process.env.TROUBLE !== "0";
const JOBS = isTroubled ? 130 : 7;
const WIDTH = 36;
const WORKERS = 2;
/** The tasks wait for the same input, so they end together, this long after the site is ready. */
const END_MS = 10_000;
const WATCH_MS = 12_000;

let readyAt = 0;
const site = new Site({
    record: new URL("record.txt", import.meta.url).pathname,
    workers: WORKERS,
    plan: () => ({ workMs: Math.max(100, readyAt + END_MS - site.now), end: "done" }),
});
await runCase(site, async () => {
    readyAt = site.now;
    const job = { spec: "proof", steps: [{ count: WIDTH, cpu: 25, memMb: 16, estMs: 4_000 }] };
    const ids = Array.from({ length: JOBS }, (_, number) => `5c0e7a21d94d${number.toString(16).padStart(4, "0")}`);
    const answers = await Promise.all(ids.map((id, number) => site.submit(id, job, { from: number })));
    site.write(`POST ${JOBS} times ${JSON.stringify(job)}: ${[...new Set(answers)].join(", ")}`);
    await delay(readyAt + END_MS - 200 - site.now);
    site.write(`runs at work: ${site.workers.map(each => each.runs.size).join(", ")}`);
    const until = site.now + WATCH_MS;
    while (site.now < until) {
        await delay(1_000);
        const states = await Promise.all(ids.map((id, number) => site.stateOf(id, number)));
        const kept = site.workers.map(each => each.ends.length).join(", ");
        const running = site.workers.map(each => each.runs.size).join(", ");
        site.write(`jobs done: ${states.filter(each => each === "done").length}; runs at work: ${running}; ends kept: ${kept}`);
    }
    // "A start after a run has ended `done`, if that end is taken note of then or later." "With no disruption near, an end counts as
    // taken note of 100 ms after a worker has listed it." There is no disruption at all.
    const noted = new Set(site.events.filter(each => each.kind === "noted").map(each => `${each.task}/${each.run}`));
    const isNoted = key => noted.has(key) || site.lastListed.has(key);
    const ended = new Map();
    let twice = 0;
    for (const { at, kind, task, run, how, worker } of site.events) {
        if (kind === "end" && how === "done") {
            ended.set(task, { at, run, worker });
        } else if (kind === "start" && ended.has(task) && isNoted(`${task}/${ended.get(task).run}`)) {
            const before = ended.get(task);
            twice += 1;
            if (twice <= 10) {
                site.write(`${task}: run ${before.run} ended done at ${before.at} ms on ${before.worker}, run ${run} started at ${at} ms on ${worker}`);
            }
        }
    }
    site.write(`starts: ${site.events.filter(each => each.kind === "start").length} of ${JOBS * WIDTH} tasks`);
    site.write(`starts after a run had ended done, an end that was taken note of: ${twice}`);
    return twice > 0;
});
