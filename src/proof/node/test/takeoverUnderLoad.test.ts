import test, { ExecutionContext } from "ava";
import { TakeoverFixture } from "./takeoverFixture";

/** Time after the loss of a leader within which another one schedules, in ms. */
const MAX_FAILOVER_MS = 5_000;

/**
 * @param jobs Number of jobs in progress.
 * @param tasks Tasks of each.
 * @returns Five instances, one of which has led for some seconds.
 */
function createBusyInstances(t: ExecutionContext, jobs: number, tasks: number): TakeoverFixture {
    const fixture = new TakeoverFixture(t, { instances: 5, workers: 45 });
    fixture.advance(4_000);
    fixture.submit(jobs, tasks);
    fixture.submitEvery(140);
    fixture.advance(3_000);
    fixture.charge();
    return fixture;
}

function epochsOf(fixture: TakeoverFixture): number[] {
    return fixture.epochs.map(({ epoch }) => epoch);
}

// The passes over the waiting tasks that followed each worker's answer kept renewals from being sent.
test.serial("a new leader that is busy with its takeover keeps its office", t => {
    const fixture = createBusyInstances(t, 300, 6);
    t.deepEqual(epochsOf(fixture), [1]);
    const killedAt = fixture.schedule.now;
    fixture.killLeader();
    fixture.advance(10_000);
    t.deepEqual(epochsOf(fixture), [1, 2]);
    t.true(fixture.epochs[1].beganAt - killedAt < MAX_FAILOVER_MS);
});

// All jobs were restored at once, without a renewal meanwhile.
test.serial("a new leader that restores very many jobs keeps its office", t => {
    const fixture = createBusyInstances(t, 2_500, 1);
    fixture.killLeader();
    fixture.advance(12_000);
    t.deepEqual(epochsOf(fixture), [1, 2]);
});

test.serial("a new leader that is lost in its takeover is replaced in a bounded time", t => {
    const fixture = createBusyInstances(t, 300, 6);
    fixture.killLeader();
    const hasLeader = () => fixture.loops.some(each => each.isAlive && each.instance.isLeading);
    for (let waitedMs = 0; !hasLeader() && waitedMs < MAX_FAILOVER_MS; waitedMs += 5) {
        fixture.advance(5);
    }
    t.true(hasLeader());
    t.deepEqual(epochsOf(fixture), [1]);
    const killedAt = fixture.schedule.now;
    fixture.killLeader();
    fixture.advance(8_000);
    t.deepEqual(epochsOf(fixture), [1, 3]);
    t.true(fixture.epochs[1].beganAt - killedAt < MAX_FAILOVER_MS);
});

test.serial("a new leader keeps its office while the store does not answer for the progress", t => {
    const fixture = createBusyInstances(t, 300, 6);
    fixture.killLeader();
    fixture.progressDownUntil = fixture.schedule.now + 6_000;
    fixture.advance(6_000);
    t.deepEqual(epochsOf(fixture), [1]);
    fixture.advance(4_000);
    t.deepEqual(epochsOf(fixture), [1, 2]);
});
