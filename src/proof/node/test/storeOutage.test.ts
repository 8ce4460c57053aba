import test from "ava";
import { InstanceFixture } from "./instanceFixture";

const OUTAGE_MS = 4_000;

/** Longest time from the end of an outage until submissions are accepted, in ms: two long reads. */
const RECOVERY_MS = 1_000;

// Jobs were refused for as long as nobody cancelled one: nothing else was appended, so no append showed that the store was back.
test("an instance whose submissions were all refused in an outage is ready and accepts jobs when the store is back", t => {
    const fixture = new InstanceFixture(["w1"]);
    fixture.hasOtherLeader = true;
    fixture.advance(10_000);
    fixture.failingAppends.add("jobs");
    fixture.failingStreams.add("jobs");
    fixture.submit(1);
    fixture.advance(OUTAGE_MS);
    t.deepEqual(fixture.answers, ["unavailable"]);
    fixture.failingAppends.clear();
    fixture.failingStreams.clear();
    fixture.advance(RECOVERY_MS);
    fixture.submit(1);
    fixture.advance(RECOVERY_MS);
    t.deepEqual(fixture.answers, ["unavailable", "accepted"]);
    t.is(fixture.decisionsOf("instance-ready").length, 2);
});

test("an instance whose reads are answered while its appends fail refuses jobs early each time", t => {
    const fixture = new InstanceFixture(["w1"]);
    fixture.hasOtherLeader = true;
    fixture.advance(10_000);
    fixture.failingAppends.add("jobs");
    for (let refused = 1; refused <= 3; refused++) {
        fixture.submit(1);
        fixture.advance(RECOVERY_MS);
        t.deepEqual(fixture.answers, new Array(refused).fill("unavailable"));
    }
});
