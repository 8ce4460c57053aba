import test from "ava";
import { JobDemand } from "../../jobs/jobDemand";
import { RoomTransferPolicy } from "../roomTransferPolicy";
import { emptyLoad } from "../serviceLoad";
import { suitabilityOf } from "../shardSuitability";
import { ShardOption, TaskOption } from "../transferPolicy";
import { createBestEffort, createJob, createStep, createWorker } from "../../jobs/test/runs";

const policy = RoomTransferPolicy.create();

const NOTHING: JobDemand = {
    cpuMillis: 0,
    spareCpuMillis: 0,
    memoryMb: 0,
    accelerators: 0,
    tasks: 0,
    isLongRunning: false,
};

/** Three in a thousand of the CPU of a shard. */
const URGENT: JobDemand = { ...NOTHING, cpuMillis: 3_000, tasks: 3 };
const BEST_EFFORT: JobDemand = { ...NOTHING, spareCpuMillis: 3_000, tasks: 3 };
const LASTING: JobDemand = { ...NOTHING, cpuMillis: 40_000, tasks: 4, isLongRunning: true };

/** @returns A shard with 1,000 cores, of which a share is reserved, and a share is requested by best-effort tasks. */
function shard(number: number, reserved: number, spare = 0, others: Partial<ShardOption> = {}): ShardOption {
    const load = {
        ...emptyLoad(),
        cpuMillis: 1e6,
        memoryMb: 1e6,
        usedCpuMillis: reserved * 1e6,
        spareCpuMillis: spare * 1e6,
    };
    return { shard: number, load, delayMs: 0, isSuitable: true, canStart: true, hasData: true, ...others };
}

function choose(demand: JobDemand, waitedMs: number | undefined, own: ShardOption, ...others: ShardOption[]) {
    return policy.choose({ demand, waitedMs }, own, others)?.shard;
}

test("a job that has just been submitted stays while its shard has room", t => {
    t.is(choose(URGENT, undefined, shard(0, 0.7), shard(1, 0.1)), undefined);
    t.is(choose(BEST_EFFORT, undefined, shard(0, 0.4, 0.3), shard(1, 0.1)), undefined);
});

test("a job of a full shard goes to the one with the most room", t => {
    t.is(choose(URGENT, undefined, shard(0, 0.95), shard(1, 0.8), shard(2, 0.6)), 2);
    t.is(choose(BEST_EFFORT, undefined, shard(0, 0.6, 0.8), shard(1, 0.6, 0.7), shard(2, 0.6, 0.2)), 2);
    t.is(choose(URGENT, undefined, shard(0, 0.95), shard(1, 0.93)), undefined);
});

test("jobs that last are spread while all shards have room", t => {
    t.is(choose(LASTING, undefined, shard(0, 0.04), shard(1, 0.0)), 1);
    t.is(choose(LASTING, undefined, shard(0, 0.04), shard(1, 0.03)), undefined);
});

test("a job that waits goes elsewhere after a while, whatever its shard has in use", t => {
    t.is(choose(URGENT, 100, shard(0, 0.8), shard(1, 0.3)), undefined);
    t.is(choose(URGENT, 600, shard(0, 0.8), shard(1, 0.3)), 1);
    t.is(choose(BEST_EFFORT, 600, shard(0, 0.6, 0.2), shard(1, 0.3)), undefined);
    t.is(choose(BEST_EFFORT, 1_600, shard(0, 0.6, 0.2), shard(1, 0.3)), 1);
});

test("a shard whose workers cannot run a job leaves it to one whose workers can, and none goes to a leader that is later", t => {
    const unsuitable = { isSuitable: false, canStart: false };
    t.is(choose(URGENT, undefined, shard(0, 0.1, 0, unsuitable), shard(1, 0.99), shard(2, 0.2, 0, unsuitable)), 1);
    t.is(choose(URGENT, undefined, shard(0, 0.1, 0, unsuitable), shard(1, 0.99, 0, unsuitable)), undefined);
    t.is(choose(URGENT, undefined, shard(0, 0.99), shard(1, 0.1, 0, { delayMs: 900 })), undefined);
    t.is(choose(URGENT, undefined, shard(0, 0.1, 0, unsuitable), shard(1, 0.1, 0, { delayMs: 900 })), 1);
    t.is(choose(URGENT, undefined, shard(0, 0.99, 0, { delayMs: 1_000 }), shard(1, 0.1, 0, { delayMs: 900 })), 1);
    t.is(choose(URGENT, undefined, shard(0, 0.99), shard(1, 0.85, 0, { hasData: false })), undefined);
});

test("workers can run a job if each step fits on one, and a gang on all together", t => {
    const workers = ["w1", "w2"].map(id => createWorker(id, { labels: ["big"], rack: "r7" }).entry);
    const request = { cpuMillis: 40_000, memoryMb: 1_000, accelerators: 0 };
    const isSuitable = (step: Parameters<typeof createBestEffort>[0]) =>
        suitabilityOf(createJob("a", createStep("x", false, { request, ...step })), workers).isSuitable;
    t.true(isSuitable({ tasks: 9 }));
    t.true(isSuitable({ tasks: 2, mode: "gang" }));
    t.false(isSuitable({ tasks: 3, mode: "gang" }));
    t.true(isSuitable({ requiredLabel: "big" }));
    t.false(isSuitable({ requiredLabel: "small" }));
    t.false(isSuitable({ request: { ...request, accelerators: 1 } }));
    t.false(isSuitable({ tasks: 2, mode: "gang", maxPerWorker: 0 }));
    const dataRack = (rack: string) => createJob("a", createStep("x", false, { dataRack: rack }));
    t.true(suitabilityOf(dataRack("r7"), workers).hasData);
    t.false(suitabilityOf(dataRack("r8"), workers).hasData);
    t.false(suitabilityOf(dataRack("r7"), []).isSuitable);
});

test("a task that lasts leaves a shard without a place soon, and one that has places only if it does not get them", t => {
    const own = { shard: 0, places: 0, rivals: undefined, delayMs: 0 };
    const others = [
        { shard: 1, places: 2, rivals: undefined, delayMs: 0 },
        { shard: 2, places: 5, rivals: undefined, delayMs: 0 },
        { shard: 3, places: 9, rivals: undefined, delayMs: 5_000 },
    ];
    const shardFor = (waitedMs: number, places: number) =>
        policy.chooseForTask({ waitedMs, isStaying: false }, { ...own, places }, others)?.shard;
    t.deepEqual([shardFor(300, 0), shardFor(900, 0)], [undefined, 2]);
    t.deepEqual([shardFor(900, 1), shardFor(2_600, 1)], [undefined, 2]);
    t.is(
        policy.chooseForTask({ waitedMs: 9_000, isStaying: false }, own, [
            { shard: 1, places: 1, rivals: undefined, delayMs: 0 },
        ]),
        undefined,
    );
});

// LOST: a task stayed in its full shard while workers of a shard with a late leader had room.
test("a task that lasts goes to a late leader only if no other one has a place for it", t => {
    const own = { shard: 0, places: 0, rivals: 1, delayMs: 0 };
    const late = { shard: 1, places: 9, rivals: 9, delayMs: 2_000 };
    const full = { shard: 2, places: 0, rivals: 9, delayMs: 0 };
    const shardFor = (waitedMs: number, places: number, others: readonly TaskOption[]) =>
        policy.chooseForTask({ waitedMs, isStaying: true }, { ...own, places }, others)?.shard;
    t.deepEqual([shardFor(900, 0, [late, full]), shardFor(2_600, 0, [late, full])], [undefined, 1]);
    t.is(shardFor(2_600, 0, [late, { ...full, places: 2 }]), 2);
    t.is(shardFor(2_600, 1, [late, full]), undefined);
});

test("a task that was transferred of late does not leave a shard that has places for it", t => {
    const own = { shard: 0, places: 1, rivals: 3, delayMs: 0 };
    const other = { shard: 1, places: 5, rivals: 0, delayMs: 0 };
    const shardFor = (isStaying: boolean, places: number) =>
        policy.chooseForTask({ waitedMs: 9_000, isStaying }, { ...own, places }, [other])?.shard;
    t.deepEqual([shardFor(true, 1), shardFor(false, 1), shardFor(true, 0)], [undefined, 1, 1]);
});
