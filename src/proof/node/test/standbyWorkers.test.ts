import test from "ava";
import { CONFIGURATION, InstanceFixture } from "./instanceFixture";

/** Number of workers whose heartbeats of some seconds are too many to be read one by one on standby. */
const WORKERS = 400;

/** Time in which the first tasks start after an instance begins to lead, in ms. */
const MAX_START_MS = 3_000;

/** How long the instance is on standby, in ms, and whether workers renew their entries once it leads. */
const CASES = [
    { standbyMs: 10_000, hasHeartbeats: false },
    { standbyMs: 12_500, hasHeartbeats: true },
    { standbyMs: 15_000, hasHeartbeats: false },
    { standbyMs: 17_500, hasHeartbeats: false },
];

/** A leader answers for the capacity of workers that do not reject tasks, so it has to know the age of their entries. */
for (const rejectsOverload of [true, false]) {
    const kind = rejectsOverload ? "that reject what does not fit" : "that start what they are told to";
    for (const { standbyMs, hasHeartbeats } of CASES) {
        const entries = hasHeartbeats ? "" : ", by entries from before";
        test(`an instance that leads after ${standbyMs} ms on standby starts tasks in time on workers ${kind}${entries}`, t => {
            const fixture = new InstanceFixture([]);
            const services = [{ name: "svc", rejectsOverload }];
            fixture.streams.operator.store("config", JSON.stringify({ ...CONFIGURATION, version: 2, services }));
            for (let index = 0; index < WORKERS; index++) {
                fixture.addWorker(`worker-${index}`, index);
            }
            fixture.hasOtherLeader = true;
            fixture.advance(standbyMs);
            fixture.addWorker("late", WORKERS);
            fixture.hasOtherLeader = false;
            fixture.submit(WORKERS, { cpu: 4_000, estMs: 20_000 });
            while (fixture.decisionsOf("leader-began").length === 0) {
                fixture.advance(25);
            }
            const beganAt = fixture.time;
            fixture.workers.forEach(worker => (worker.hasHeartbeats = hasHeartbeats));
            fixture.advance(MAX_START_MS);
            const started = new Set(fixture.takeStarted());
            t.true(fixture.time - beganAt <= MAX_START_MS);
            t.true(started.size > WORKERS / 2, `${started.size} workers`);
        });
    }
}
