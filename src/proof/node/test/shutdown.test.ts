import test from "ava";
import { LIMITS } from "../jobTrialPlan";
import { InstanceFixture } from "./instanceFixture";

function createLeader(): InstanceFixture {
    const fixture = new InstanceFixture(["w1"]);
    fixture.advance(10_000);
    return fixture;
}

test("an instance that is told to stop ends as soon as its resignation is stored and no call is open", t => {
    const fixture = createLeader();
    t.true(fixture.isLeading);
    fixture.stop();
    fixture.advance(LIMITS.graceMs);
    t.true(fixture.stoppedAt! - 10_000 < 3_000);
    t.deepEqual(fixture.decisionsOf("stop-out-of-time"), []);
});

test("a leader that is told to stop ends in its grace period while the store does not answer", t => {
    const fixture = createLeader();
    fixture.holdAppends("jobs");
    fixture.stop();
    fixture.advance(LIMITS.graceMs);
    t.true(fixture.stoppedAt! - 10_000 < LIMITS.graceMs);
    t.like(fixture.decisionsOf("stop-out-of-time"), [{ isResignationStored: false, openCalls: 0 }]);
});

test("callers that are patient are answered before the grace period ends, and learn what is known of their jobs", t => {
    const fixture = createLeader();
    fixture.callerTimeoutMs = 60_000;
    fixture.holdAppends("jobs");
    fixture.submit(1);
    fixture.submit(1);
    fixture.stop();
    fixture.advance(LIMITS.graceMs);
    t.deepEqual(fixture.answers, ["undecided", "unavailable"]);
    t.true(fixture.stoppedAt! - 10_000 < LIMITS.graceMs);
});
