import test, { ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom } from "../../common/seededRandom";
import { SoakJob, SoakObservation } from "../../common/soakEvent";
import { Caller, QUEUE } from "../caller";
import { Crowd } from "../hostile/crowd";
import { HostileClient, HostileTarget } from "../hostile/hostileClient";
import { hostileKinds } from "../hostile/hostileKinds";
import { ProcessUse } from "../processUse";
import { SoakSite } from "../soakSite";

const SEED = 61;
const TIMEOUT_MS = 120_000;

/** The machine of the entry, with the memory of the smallest deployments, and the largest body. */
const LIMITS = { memoryMb: 160, maxFds: 128, maxBodyBytes: 2_097_152 };

/** Clients at each path. */
const CROWD_SIZE = 150;

/** Time for which a crowd stays, in ms. */
const CROWD_MS = 700;

/** Legal callers at once, and the time in which a job is handed in and run, whatever the machine's speed. */
const CALLERS = 24;
const MAX_JOB_MS = 60_000;
const POLL_MS = 50;

const JOB_ID = "0123456789abcdef";

/** Starts an entry with a store and workers, and watches its process. */
async function startSite(t: ExecutionContext, name: string) {
    const jobs = new Map<string, SoakJob>();
    const ends: string[] = [];
    const observe = (observation: SoakObservation) => {
        if (observation.kind === "process-ended") {
            ends.push(observation.detail);
        }
    };
    const site = await SoakSite.start({
        size: { entries: 1, workers: 2 },
        folder: `out/fault-soak/hostile-${name.replace(/\W+/g, "-")}`,
        random: createSeededRandom(SEED, 1),
        limits: LIMITS,
        jobs,
        planTask: () => ({ workMs: 20, end: "done" }),
        crashWorker: () => t.fail("no task crashes its worker"),
        observe,
    });
    const [entry] = site.entries;
    const use = ProcessUse.create(entry.pid!);
    t.teardown(async () => {
        use.dispose();
        await site.dispose();
    });
    return { entry, use, jobs, ends };
}

type Site = Awaited<ReturnType<typeof startSite>>;

/** Hands a job in and waits until it is shown as done. @returns The states that were shown. */
async function runJob({ entry, jobs }: Site, id: string): Promise<string[]> {
    const states: string[] = [];
    const job: SoakJob = { id, spec: `spec-${id}`, steps: [{ count: 2, cpu: 500, memMb: 256, estMs: 20 }] };
    jobs.set(id, job);
    const caller = Caller.create([entry.addresses.front], createSeededRandom(SEED, 2), observation => {
        if (observation.kind === "state-shown") {
            states.push(observation.state);
        }
    });
    const deadline = performance.now() + MAX_JOB_MS;
    await caller.submit(job);
    while (states.at(-1) !== "done" && performance.now() < deadline) {
        await caller.readState(id);
        await delay(POLL_MS);
    }
    caller.dispose();
    return states;
}

/** The process lives, stays within its machine, and still takes and runs a job. */
async function check(t: ExecutionContext, site: Site): Promise<void> {
    const { use, ends } = site;
    const states = await runJob(site, JOB_ID);
    const { mostResidentMb = Number.POSITIVE_INFINITY, mostDescriptors } = use;
    t.log(`resident ${Math.round(mostResidentMb)} MB at most, ${mostDescriptors} descriptors at most`);
    t.deepEqual(ends, []);
    t.true(mostResidentMb < LIMITS.memoryMb, `${Math.round(mostResidentMb)} MB were resident`);
    t.true(mostDescriptors < LIMITS.maxFds, `${mostDescriptors} descriptors were open`);
    t.is(states.at(-1), "done");
}

function targetsOf({ entry }: Site): HostileTarget[] {
    const { front, ready, metrics } = entry.addresses;
    const hostHeader = QUEUE.host;
    return [
        { address: front, hostHeader, path: QUEUE.prefix + JOB_ID },
        { address: front, hostHeader, path: "/nowhere/" },
        { address: ready, hostHeader, path: "/api/readyz" },
        { address: metrics, hostHeader, path: "/metrics" },
    ];
}

test.serial("callers inside the limits are all served", async t => {
    t.timeout(TIMEOUT_MS);
    const site = await startSite(t, "none");
    const ids = Array.from({ length: CALLERS }, (_, index) => index.toString(16).padStart(16, "0"));
    const states = await Promise.all(ids.map(id => runJob(site, id)));
    t.deepEqual(
        states.map(each => each.at(-1)),
        ids.map(() => "done"),
    );
    await check(t, site);
});

for (const [name, create] of Object.entries(hostileKinds(LIMITS.maxBodyBytes))) {
    test.serial(`clients that nobody controls: ${name}`, async t => {
        t.timeout(TIMEOUT_MS);
        const site = await startSite(t, name);
        for (const target of targetsOf(site)) {
            const crowd = Crowd.start(CROWD_SIZE, (): HostileClient => create(target));
            await delay(CROWD_MS);
            crowd.dispose();
            t.log(`${target.path}: ${Math.round(site.use.mostResidentMb ?? 0)} MB, ${site.use.mostDescriptors}`);
        }
        await check(t, site);
    });
}
