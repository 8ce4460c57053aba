import test from "ava";
import { InstanceFixture } from "./instanceFixture";

test("an instance says in its log why it is not ready, and when it is ready again", t => {
    const fixture = new InstanceFixture(["w1"]);
    fixture.advance(5_000);
    t.like(fixture.decisionsOf("instance-ready"), [{ obstacles: "loading", times: 1 }]);
    fixture.failingStreams.add("jobs");
    fixture.advance(500);
    t.deepEqual(fixture.decisionsOf("instance-unready"), [{ obstacles: "jobs-failing" }]);
    fixture.advance(4_000);
    fixture.failingStreams.clear();
    fixture.advance(5_000);
    t.like(fixture.decisionsOf("instance-ready")[1], { obstacles: "jobs-failing,jobs-old", times: 1 });
    t.is(fixture.decisionsOf("instance-unready").length, 1);
});
