import test from "ava";
import { jobKey } from "../../../../jobs/common/jobRecord";
import { SchedulerFixture } from "./schedulerFixture";

const STATE = jobKey("state", "a");
const WORKERS = ["w1", "w2"];

// A job counted as running from the choice of a worker on, so that callers were told of no pending job (review/10).
test("a job whose starts are rejected is not published as running until a worker has carried one out", t => {
    const fixture = SchedulerFixture.create();
    WORKERS.forEach(each => fixture.unhealthy.add(each));
    fixture.advance(5_000);
    t.true(fixture.starts.length > 1);
    t.false(fixture.published.has(STATE));
    fixture.unhealthy.clear();
    fixture.advance(3_000);
    t.is(fixture.published.get(STATE), "running");
});

test("a job whose starts are not answered is published as running once its run is listed", t => {
    const fixture = SchedulerFixture.create();
    fixture.advance(50);
    WORKERS.forEach(each => fixture.silent.add(each));
    fixture.advance(500);
    t.is(fixture.starts.length, 1);
    t.false(fixture.published.has(STATE));
    fixture.silent.clear();
    fixture.advance(1_000);
    t.is(fixture.published.get(STATE), "running");
});
