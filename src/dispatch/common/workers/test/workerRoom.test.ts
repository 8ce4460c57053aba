import test from "ava";
import { largestRooms } from "../workerRoom";
import { createWorker } from "../../jobs/test/runs";

test("the largest rooms are those of the resource of which a worker has least, with each set of labels among them", t => {
    const capacity = { cpuMillis: 10_000, memoryMb: 10_000, accelerators: 0 };
    const labelsOf = (worker: string) => (worker === "rare" ? ["x"] : []);
    const find = (worker: string) => createWorker(worker, { capacity, labels: labelsOf(worker) }).entry;
    const room = (worker: string, cpuMillis: number, memoryMb: number) => ({
        worker,
        cpuMillis,
        memoryMb,
        accelerators: 0,
    });
    const rooms = [
        room("a", 9_000, 1_000),
        room("b", 6_000, 7_000),
        room("c", 5_000, 9_000),
        room("rare", 500, 500),
        room("full", 0, 10_000),
    ];
    const names = (count: number) => largestRooms(rooms, find, count).map(({ worker }) => worker);
    t.deepEqual(names(3), ["b", "rare", "c"]);
    t.deepEqual(names(9), ["b", "rare", "c", "a"]);
});

// Room of workers of a rare kind was not published on a fleet with many racks, each of which is a label of its workers.
test("a worker of a rare kind is among the largest rooms, however many racks there are", t => {
    const kindOf = (worker: string) => (worker === "w7" ? "rare" : "common");
    const find = (worker: string) => createWorker(worker, { labels: [kindOf(worker), worker], rack: worker }).entry;
    const rooms = [...Array(8).keys()].map(index => {
        const cpuMillis = 9_000 - index;
        return { worker: `w${index}`, cpuMillis, memoryMb: 64_000, accelerators: 0 };
    });
    t.deepEqual(
        largestRooms(rooms, find, 3).map(({ worker }) => worker),
        ["w0", "w7", "w1"],
    );
});
