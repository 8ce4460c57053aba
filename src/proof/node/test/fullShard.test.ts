import test from "ava";
import { bucketOf } from "../../../coordination/common/rendezvous";
import { SeenStart, TakeoverFixture } from "./takeoverFixture";

const SHARDS = 4;

/** Number of the workers, each of 4 cores. */
const WORKERS = 96;

/** Time after its acceptance within which a job is to start while the service has room, in ms. */
const START_TARGET_MS = 1_000;

/** Longest time for which an accepted job may have nothing running while the service has room, in ms. */
const MAX_IDLE_MS = 3_000;

/** Share of the jobs that have to start in time. */
const MIN_TIMELY_RATIO = 0.95;

/** @returns Whether a job is of the first shard by its id. */
function isOfFirstShard(id: string): boolean {
    return bucketOf(id, SHARDS) === 0;
}

function jobOf({ task }: SeenStart): string {
    return task.slice(0, task.indexOf("."));
}

/** @returns Times (ms) from the submission of the jobs to their first start; infinite for one that has not started. */
function startDelays({ starts, submittedAt }: TakeoverFixture): number[] {
    const firstStarts = new Map([...starts].reverse().map(start => [jobOf(start), start.at]));
    return [...submittedAt].map(([id, at]) => (firstStarts.get(id) ?? Infinity) - at);
}

/** @returns Number of the workers of each shard, by the instance that sends them starts. */
function workersByLeader({ starts }: TakeoverFixture): Map<string, Set<string>> {
    const workers = new Map<string, Set<string>>();
    starts.forEach(({ instance, worker }) => workers.set(instance, (workers.get(instance) ?? new Set()).add(worker)));
    return workers;
}

test.serial(
    "urgent jobs start in time beside free room when a hash of their ids puts all of them into one shard",
    t => {
        const fixture = new TakeoverFixture(t, { instances: 6, workers: WORKERS, cores: 0.25 });
        fixture.advance(8_000);
        // 10 jobs of 4 tasks of 1 to 3 s in each 0.5 s request 160 of 384 cores, and each shard has about 96.
        for (let round = 0; round < 24; round++) {
            fixture.submit(10, 4, { isAllowed: isOfFirstShard });
            fixture.advance(500);
        }
        fixture.advance(START_TARGET_MS);
        const delays = startDelays(fixture);
        const timely = delays.filter(ms => ms <= START_TARGET_MS).length;
        t.true(timely >= delays.length * MIN_TIMELY_RATIO, `${timely} of ${delays.length} in time`);
        t.true(Math.max(...delays) <= MAX_IDLE_MS, `${Math.max(...delays)} ms`);
        t.is(new Set(fixture.starts.map(each => each.task)).size, fixture.starts.length);
    },
);

test.serial("jobs that last leave as much room in each shard when a hash of their ids puts all of them into one", t => {
    const fixture = new TakeoverFixture(t, { instances: 6, workers: WORKERS, cores: 0.25 });
    fixture.advance(8_000);
    fixture.submit(20, 12, { step: { longRunning: true }, isAllowed: isOfFirstShard });
    fixture.advance(START_TARGET_MS);
    t.is(fixture.starts.length, 240);
    const counts = new Map<string, number>();
    fixture.starts.forEach(({ instance }) => counts.set(instance, (counts.get(instance) ?? 0) + 1));
    t.is(workersByLeader(fixture).size, SHARDS);
    // A quarter of the tasks, and two jobs more or less.
    [...counts.values()].forEach(count => t.true(count >= 36 && count <= 84, String(count)));
});

/** @returns The failure domain of a worker: that of the first shard is a domain of its own. */
function zoneOf(worker: string): string {
    return bucketOf(worker, SHARDS) === 0 ? "first" : "other";
}

test.serial(
    "jobs of a shard whose workers are all evacuated start in time in the others, and there again once it is back",
    t => {
        const fixture = new TakeoverFixture(t, { instances: 6, workers: WORKERS, cores: 0.25, zoneOf });
        fixture.advance(8_000);
        fixture.streams.operator.store("evacuate/first", "{}");
        fixture.advance(1_000);
        const submitFor = (ms: number) => {
            const before = fixture.starts.length;
            for (const until = fixture.schedule.now + ms; fixture.schedule.now < until;) {
                fixture.submit(5, 4, { isAllowed: isOfFirstShard });
                fixture.advance(500);
            }
            fixture.advance(START_TARGET_MS);
            return new Set(fixture.starts.slice(before).map(({ worker }) => zoneOf(worker)));
        };
        t.deepEqual([...submitFor(6_000)], ["other"]);
        t.true(Math.max(...startDelays(fixture)) <= MAX_IDLE_MS, `${Math.max(...startDelays(fixture))} ms`);
        fixture.streams.operator.store("evacuate/first", undefined);
        fixture.advance(500);
        t.true(submitFor(3_000).has("first"));
    },
);
