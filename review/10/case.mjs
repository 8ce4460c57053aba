// MIXED: jobs of which no task has started are left out of `pending` while one worker refuses all starts.
import { fileURLToPath } from "node:url";
import { BOUNDS, delay, QUEUE, runCase } from "../standin-2/site.mjs";

const WORKERS = 7;
/** One of seven workers is 0.143 of 0.15; the site's longest time for `srv_grey` with x = 1.0. */
const GREY_MS = 6_500;
const JOBS = 8;
const FULL = 64_000;
const LONG_MS = 40_000;
const SHORT_MS = 2_000;
const idOf = (digit, number) => digit.repeat(15) + number.toString(16);

runCase(fileURLToPath(new URL(".", import.meta.url)), async (site, isTroubled) => {
    const workers = Array.from({ length: WORKERS }, (_, index) => ({ id: `w${index + 1}`, labels: ["a", `r1-${index % 2}`] }));
    const planOf = task => (task.startsWith("a") ? { ms: LONG_MS, cpu: FULL } : { ms: SHORT_MS, cpu: FULL / JOBS });
    await site.start({ workers, planOf });
    // Six of the seven workers are full.
    for (let number = 1; number < WORKERS; number++) {
        const steps = [{ count: 1, cpu: FULL, memMb: 1_000, estMs: LONG_MS }];
        await site.submit(idOf("a", number), { spec: "long", steps }, number);
    }
    await delay(6_000);
    const free = site.workers.find(worker => worker.runs.size === 0);
    if (free === undefined || site.workers.some(worker => worker !== free && worker.runs.size !== 1)) {
        throw new Error("the workers are not as planned");
    }
    if (isTroubled) {
        site.record({ kind: "disruption", name: "srv_grey", worker: free.id, forMs: GREY_MS });
        free.isUnhealthy = () => true;
        setTimeout(() => {
            free.isUnhealthy = () => false;
            site.record({ kind: "disruption-ended", name: "srv_grey", worker: free.id });
        }, GREY_MS);
    }
    const accepted = new Map();
    for (let number = 1; number <= JOBS; number++) {
        const id = idOf("b", number);
        const steps = [{ count: 1, cpu: FULL / JOBS, memMb: 1_000, estMs: SHORT_MS }];
        if (await site.submit(id, { spec: "short", steps }, number)) {
            accepted.set(id, site.now());
        }
    }
    const hasBegun = id => site.events.some(each => each.kind === "run-start" && each.task.startsWith(id));
    const breaches = [];
    for (let round = 0; round < 16; round++) {
        await delay(500);
        const at = site.now();
        const entry = site.entries[round % site.entries.length];
        const { status, body } = await site.call(entry, "GET", QUEUE.prefix);
        // Those that have begun by the time of the answer don't count.
        const waiting = [...accepted].filter(([id, since]) => !hasBegun(id) && at - since > BOUNDS.visible_ms + 2_000).length;
        site.record({ kind: "check", entry: entry.name, pending: body?.pending, waiting });
        if (status === 200 && body.pending < waiting / 2) {
            breaches.push(`MIXED: ${entry.name} gives ${body.pending} as pending; ${waiting} jobs that were accepted over ${BOUNDS.visible_ms + 2_000} ms before have not begun`);
        }
    }
    return breaches;
});
