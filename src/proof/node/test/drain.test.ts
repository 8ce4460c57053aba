import test from "ava";
import { JobTrial } from "../jobTrial";
import { JobFault, JobTrialPlan, WORKER_READ_FAULTS } from "../jobTrialPlan";
import { InstanceFixture } from "./instanceFixture";

type Plan = Omit<JobTrialPlan, "seed">;

const PLAN: Plan = { lengthMs: 40_000, instances: 3, workers: 6, faultEveryMs: 0 };

/** @param faults Kinds of faults. @returns Trials with these faults in which workers leave. */
function withFaults(faults: readonly JobFault[]): Plan {
    return { ...PLAN, drains: { everyMs: 4_000, killsLeaders: false }, faultEveryMs: 1_200, faults };
}

/** Trials in which tasks were started later than 2.5 s after their worker had announced that it leaves. */
const CASES: readonly { readonly name: string; readonly plan: Plan; readonly seeds: readonly number[] }[] = [
    {
        name: "with leaders that are killed around the notice",
        plan: { ...PLAN, drains: { everyMs: 5_000, killsLeaders: true } },
        seeds: [6, 9, 27],
    },
    { name: "with reads of the workers that stall", plan: withFaults(["stalled-worker-read"]), seeds: [1, 8, 20] },
    { name: "with slow reads of the workers", plan: withFaults(["slow-worker-pages"]), seeds: [1, 2, 3] },
    {
        name: "with slow reads of the workers and leaders that are killed",
        plan: withFaults(["kill", ...WORKER_READ_FAULTS]),
        seeds: [1, 2, 3],
    },
];

for (const { name, plan, seeds } of CASES) {
    for (const seed of seeds) {
        test.serial(
            `no task starts for long on a worker that has announced that it leaves, ${name}, seed ${seed}`,
            t => {
                const { breaches, drained, starts } = JobTrial.run({ ...plan, seed });
                t.deepEqual(breaches, []);
                t.true(drained > 0 && starts > 0);
            },
        );
    }
}

test.serial("workers that leave break no rule while nothing else happens", t => {
    const plan = { ...PLAN, drains: { everyMs: 4_000, killsLeaders: false } };
    const { breaches, drained, starts } = JobTrial.run({ ...plan, seed: 1 });
    t.deepEqual(breaches, []);
    t.true(drained > 0 && starts > 0);
});

test("a new leader reads the stream of workers at once, so its first starts avoid a worker that has announced that it leaves", t => {
    const fixture = new InstanceFixture(["w1", "w2"]);
    fixture.advance(200);
    // The instance pauses between two reads of the stream, as on standby.
    fixture.storeOdd("w1", { state: "draining", drainRemainingMs: 6_000 });
    fixture.workers.get("w1")!.hasHeartbeats = false;
    fixture.submit(4);
    for (let ms = 0; ms < 2_900 && !fixture.isLeading; ms += 25) {
        fixture.advance(25);
    }
    t.true(fixture.isLeading);
    fixture.advance(500);
    t.deepEqual(fixture.takeStarted(), ["w2", "w2", "w2", "w2"]);
});
