import test from "ava";
import { jobKey } from "../../../jobs/common/jobRecord";
import { InstanceFixture } from "./instanceFixture";

/** Time in which an instance without a leader before it begins to lead and contacts the workers, in ms. */
const START_MS = 6_000;

/** Time in which a task is started, in ms. */
const SETTLE_MS = 1_000;

const SUSPENSION_MS = 5_000;

/** @returns A leader of one worker, and a job of two tasks of which one fills the worker and the other waits. */
function createLeaderWithWaitingTask() {
    const fixture = new InstanceFixture(["w1"]);
    fixture.advance(START_MS);
    const job = fixture.submit(2, { cpu: 4_000 });
    fixture.advance(SETTLE_MS);
    return { fixture, job };
}

test("a leader that was suspended starts no task of a job that was cancelled meanwhile, although its reads of the jobs are late", t => {
    const { fixture, job } = createLeaderWithWaitingTask();
    t.deepEqual(fixture.takeStarted(), ["w1"]);
    fixture.heldStreams.add("jobs");
    fixture.suspend(SUSPENSION_MS);
    fixture.streams.jobs.store(jobKey("cancellation", job), "1");
    fixture.addWorker("w2", 1);
    fixture.advance(2_000);
    t.deepEqual(fixture.takeStarted(), []);
    fixture.heldStreams.clear();
    fixture.advance(SETTLE_MS);
    t.deepEqual(fixture.takeStarted(), []);
});

test("a leader that was suspended starts waiting tasks as soon as it has read the jobs", t => {
    const { fixture } = createLeaderWithWaitingTask();
    fixture.takeStarted();
    fixture.suspend(SUSPENSION_MS);
    fixture.addWorker("w2", 1);
    fixture.advance(SETTLE_MS);
    t.deepEqual(fixture.takeStarted(), ["w2"]);
});

test("an instance that was suspended accepts jobs before it has read the stream of jobs again", t => {
    const { fixture } = createLeaderWithWaitingTask();
    fixture.heldStreams.add("jobs");
    fixture.suspend(SUSPENSION_MS);
    fixture.advance(100);
    fixture.submit(1);
    fixture.advance(200);
    t.deepEqual(fixture.answers, ["accepted", "accepted"]);
});

test("an instance that was suspended answers for a job that it does not know only once it has read the stream of jobs", t => {
    const { fixture } = createLeaderWithWaitingTask();
    fixture.heldStreams.add("jobs");
    fixture.suspend(SUSPENSION_MS);
    fixture.advance(100);
    fixture.read("00000000000000ff");
    fixture.advance(500);
    t.deepEqual(fixture.answers, ["accepted"]);
    fixture.heldStreams.clear();
    fixture.advance(SETTLE_MS);
    t.deepEqual(fixture.answers, ["accepted", "no-job"]);
});

test("an instance that was suspended refuses calls until it has read the configuration again", t => {
    const { fixture } = createLeaderWithWaitingTask();
    fixture.heldStreams.add("operator");
    fixture.suspend(SUSPENSION_MS);
    fixture.submit(1);
    fixture.advance(200);
    fixture.submit(1);
    t.deepEqual(fixture.answers, ["accepted", "unavailable", "unavailable"]);
    fixture.heldStreams.clear();
    fixture.advance(100);
    fixture.submit(1);
    fixture.advance(200);
    t.deepEqual(fixture.answers.slice(3), ["accepted"]);
});
