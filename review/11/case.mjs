// Case 11: one job whose occurrences are all due holds up the leader, and each leader after it.
import { setTimeout as delay } from "node:timers/promises";
import { Site, runCase } from "../standin-3/site.mjs";

const isTroubled = process.env.TROUBLE !== "0";
/** Occurrences of the scheduled job; without the disruption as many as the sheet of kerblason states. */
const TIMES = isTroubled ? 20_000 : 8;
const WORKERS = 6;
const SCHEDULED = "5c0e7a21d94b3611";
const ORDINARY = ["a1", "a2", "a3", "a4"].map(each => `5c0e7a21d94b36${each}`);
const FINISH_MS = 14_000;
const MOST_IDLE_MS = 3_000;
const WATCH_MS = 40_000;

const site = new Site({
    record: new URL("record.txt", import.meta.url).pathname,
    workers: WORKERS,
    plan: () => ({ workMs: 500, end: "done" }),
});
await runCase(site, async () => {
    // A short task each 100 ms since the beginning of 1970, so that every time is due.
    const scheduled = { spec: "rota", steps: [{ count: 1, cpu: 100, memMb: 64, estMs: 500 }], times: TIMES, intervalMs: 100 };
    const status = await site.submit(SCHEDULED, scheduled);
    site.write(`POST ${SCHEDULED}: ${JSON.stringify(scheduled)}: ${status}`);
    if (status !== 200) {
        return false;
    }
    await delay(2_000);
    const ordinary = { spec: "proof", steps: [0, 1].map(after => ({ count: 6, cpu: 1_000, memMb: 256, estMs: 500, after: after ? [0] : [] })) };
    const accepted = [];
    for (const id of ORDINARY) {
        const answer = await site.submit(id, ordinary);
        site.write(`POST ${id}: ${answer}`);
        accepted.push(...(answer === 200 ? [id] : []));
    }
    const endOfTraffic = site.now;
    await delay(FINISH_MS);
    // From now on jobs are asked for.
    const from = site.now;
    const unanswered = [];
    while (site.now < from + WATCH_MS) {
        const states = await Promise.all([SCHEDULED, ...accepted].map(id => site.stateOf(id)));
        site.write(`GET: ${states.map(each => each ?? "no answer").join(", ")}; starts so far: ${startsOf(site, "").length}`);
        unanswered.push(...states.filter(each => each === undefined));
        if (states.every(each => each === "done")) {
            break;
        }
        await delay(1_000);
    }
    const idle = longestIdle(site, SCHEDULED, TIMES, from, site.now);
    site.write(`since ${from - endOfTraffic} ms after the end of the traffic:`);
    site.write(`- calls for jobs that no entry answered within 3 s: ${unanswered.length}`);
    site.write(`- ${SCHEDULED} has run ${endsOf(site, SCHEDULED).length} of ${TIMES} tasks; longest time without a run: ${idle} ms`);
    site.write(`- at most ${mostCoresInUse(site, from)} of ${WORKERS * 64} cores were in use`);
    return unanswered.length > 0 || (idle > MOST_IDLE_MS && mostCoresInUse(site, from) < WORKERS * 32);
});

function startsOf({ events }, id) {
    return events.filter(each => each.kind === "start" && each.task.startsWith(id));
}

function endsOf({ events }, id) {
    return events.filter(each => each.kind === "end" && each.how === "done" && each.task.startsWith(id));
}

/** Longest time in which no task of a job was at work, while some had not run yet, in ms. */
function longestIdle({ events }, id, tasks, from, until) {
    let running = 0;
    let done = 0;
    let idleSince;
    let longest = 0;
    const close = at => {
        longest = Math.max(longest, at - Math.max(from, idleSince ?? at));
        idleSince = undefined;
    };
    for (const { at, kind, task, how } of events.filter(each => each.task?.startsWith(id))) {
        running += kind === "start" ? 1 : kind === "end" ? -1 : 0;
        done += kind === "end" && how === "done" ? 1 : 0;
        if (running > 0 || done >= tasks) {
            close(at);
        } else {
            idleSince ??= at;
        }
    }
    close(until);
    return longest;
}

function mostCoresInUse({ events, jobs }, from) {
    let cores = 0;
    let most = 0;
    for (const { at, kind, task } of events) {
        if (kind === "start" || kind === "end") {
            const [id, , step] = task.split(".");
            cores += ((kind === "start" ? 1 : -1) * jobs.get(id).steps[Number(step)].cpu) / 1_000;
            most = at >= from ? Math.max(most, cores) : most;
        }
    }
    return Number(most.toFixed(1));
}
