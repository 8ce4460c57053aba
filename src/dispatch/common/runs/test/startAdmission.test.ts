import test from "ava";
import { createJob, createStep, createWorker } from "../../jobs/test/runs";
import { SchedulerFixture } from "../../scheduler/test/schedulerFixture";

/** Sends the queue of the fixture's job to a service. */
function configure(fixture: SchedulerFixture, version: number, service: string): void {
    const { queue } = createJob("a", createStep("x", false)).spec;
    const services = ["svc", "other"].map(name => ({ name, rejectsOverload: true, isStandby: false }));
    fixture.queues.apply({ version, queues: [{ ...queue, service }], services, maxBodyBytes: 1_000 });
}

test("no start is sent to a worker of the service from which the queue was moved after the assignment", t => {
    const fixture = SchedulerFixture.create();
    fixture.updateWorker({ ...createWorker("w3").entry, service: "other" });
    configure(fixture, 1, "svc");
    fixture.isStoreDown = true;
    fixture.advance(500);
    configure(fixture, 2, "other");
    fixture.isStoreDown = false;
    fixture.advance(1_000);
    const reasons = fixture.decisions.filter(each => each.name === "start-withheld").map(each => each.data.reason);
    t.deepEqual(reasons, ["other-service"]);
    t.deepEqual(
        fixture.starts.map(each => each.worker),
        ["w3"],
    );
});

test("a start is sent to the service of a queue that has been removed since the assignment", t => {
    const fixture = SchedulerFixture.create();
    configure(fixture, 1, "svc");
    fixture.isStoreDown = true;
    fixture.advance(500);
    fixture.queues.apply({ version: 2, queues: [], services: [], maxBodyBytes: 1_000 });
    fixture.isStoreDown = false;
    fixture.advance(1_000);
    t.is(fixture.starts.length, 1);
});
