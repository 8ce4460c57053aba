import test from "ava";
import { CapacityShardPlanner } from "../capacityShardPlanner";

function countFor(workers: number, cores: number): number {
    return CapacityShardPlanner.create().countFor({ workers, cores });
}

test("a fleet that one leader can serve is not divided", t => {
    t.is(countFor(0, 1), 1);
    t.is(countFor(33, 0.27), 1);
    t.is(countFor(63, 0.51), 1);
    t.is(countFor(15, 0.1), 1);
    t.is(countFor(120, 1), 1);
});

test("a larger fleet is divided by the processor of its leader, into shards that are not too small", t => {
    t.is(countFor(378, 1.35), 3);
    t.is(countFor(378, 0.675), 5);
    t.is(countFor(66, 0.12), 8);
    t.is(countFor(63, 0.1), 7);
    t.is(countFor(16, 0.1), 2);
    t.is(countFor(96, 0.25), 4);
    t.is(countFor(66, 0.04), 8);
    t.is(countFor(5_000, 0.1), 16);
});
