import test from "ava";
import { FixedDelayPolicy } from "../fixedDelayPolicy";
import { nearStep, RackLoad, racksOfTasks } from "./rackLoad";

/** Time without any run that callers accept, in ms, less the delay of a leader. */
const MAX_IDLE_MS = 3_000 - 500;

/** @returns A load whose rack `r1` is full of runs that end every 100 ms, while `r2` is empty; ends were measured for 1 s. */
function createFullRack(factor = 3): RackLoad {
    const load = RackLoad.create({ r1: 6, r2: 6 }, factor);
    load.fill("r1", 100);
    load.advance(1_050);
    // The runs that have ended by the next pass leave room for eleven tasks, and the next one ends two passes later.
    load.submit("refill", nearStep({ tasks: 11, dataRack: "r1", estimateMs: 1_600 }));
    load.advance(50);
    return load;
}

// Load pattern: the rack with the data is full, but its runs are short; elsewhere there is room.
test("a task waits for its rack when a place there ends free soon", t => {
    const load = createFullRack();
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), [undefined]);
    load.advance(400);
    t.deepEqual(racksOfTasks(job), ["r1"]);
});

test("a task starts elsewhere at once when that costs less than the wait", t => {
    const load = createFullRack(1.05);
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), ["r2"]);
});

test("without a factor no task waits", t => {
    const load = createFullRack(1);
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), ["r2"]);
});

// Load pattern: tasks that last fill the rack; none of its room ends free.
test("a rack full of long-running tasks is not waited for", t => {
    const load = RackLoad.create({ r1: 2, r2: 2 });
    load.fillForGood("r1");
    load.advance(1_000);
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), ["r2"]);
});

// Load pattern: a rack is lost, drained or evacuated while tasks wait for it.
test("a wait for a rack is given up when none of its workers can be used any more", t => {
    const load = createFullRack();
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), [undefined]);
    load.lose("r1");
    load.advance(50);
    t.deepEqual(racksOfTasks(job), ["r2"]);
    load.advance(6_000);
    t.true(load.reports.some(({ givenUp, givenUpFor }) => givenUp === 1 && givenUpFor === "rack-gone"));
});

test("an accepted job has a run in time, however long its policy would wait", t => {
    const load = RackLoad.create({ r1: 2, r2: 2 }, 3, FixedDelayPolicy.create(60_000));
    load.fillForGood("r1");
    const job = load.submit("a", nearStep({ dataRack: "r1", estimateMs: 60_000 }));
    load.advance(4_000);
    t.true(load.firstRuns.get("a")! <= MAX_IDLE_MS);
    t.deepEqual(racksOfTasks(job), ["r2"]);
});

test("a wait that was expected to be short is given up when no further run ends", t => {
    const load = createFullRack();
    const job = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), [undefined]);
    for (const worker of load.workers.filter(each => each.entry.rack === "r1")) {
        worker.runs.forEach(run => ((run.task.step as { estimateMs: number }).estimateMs = 60_000));
    }
    load.advance(MAX_IDLE_MS);
    t.deepEqual(racksOfTasks(job), ["r2"]);
});

// Load pattern: many jobs want one rack at once. Its room goes to those whose callers gain most for it.
test("a job that would miss its objective elsewhere gets the room of its rack before one that would not", t => {
    const load = RackLoad.create({ r1: 1, r2: 8 }, 1.5);
    load.advance(50);
    // The slack of a job is as long as its step and 1 s more, so only the longer one is late elsewhere.
    const relaxed = load.submit("a", nearStep({ tasks: 4, dataRack: "r1", estimateMs: 600 }));
    const tight = load.submit("b", nearStep({ tasks: 4, dataRack: "r1", estimateMs: 600 }));
    (tight as { objectiveMs: number }).objectiveMs = load.now + 700;
    load.advance(50);
    t.deepEqual(racksOfTasks(tight), ["r1", "r1", "r1", "r1"]);
    t.deepEqual(racksOfTasks(relaxed), ["r2", "r2", "r2", "r2"]);
});

test("a task that gains by its rack is not kept from it by others that have room elsewhere", t => {
    const load = RackLoad.create({ r1: 1, r2: 8 });
    load.advance(50);
    const others = Array.from({ length: 8 }, (_, index) => load.submit(`a${index}`, nearStep()));
    const near = load.submit("b", nearStep({ tasks: 4, dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(near), ["r1", "r1", "r1", "r1"]);
    t.true(others.flatMap(racksOfTasks).every(rack => rack === "r2"));
});

test("a rack for which tasks wait is used by others that have no room elsewhere", t => {
    const load = RackLoad.create({ r1: 2, r2: 2, r3: 2 });
    load.fill("r1", 100);
    load.fillForGood("r3");
    load.advance(450);
    const gang = load.submit("a", nearStep({ tasks: 6, mode: "gang", dataRack: "r1", estimateMs: 2_000 }));
    const elsewhere = load.submit("b", nearStep({ tasks: 6 }));
    load.advance(50);
    t.false(gang.hasRun);
    t.true(racksOfTasks(elsewhere).every(rack => rack === "r2"));
    const further = load.submit("c", nearStep({ tasks: 6 }));
    load.advance(50);
    t.is(racksOfTasks(further).filter(rack => rack === "r2").length, 2);
    t.is(racksOfTasks(further).filter(rack => rack === "r1").length, 4);
});

// Load pattern: gangs and one-rack steps compete with short tasks, so that no rack has room for all of their tasks at once.
test("a gang that prefers one rack waits until one has room for all of its members", t => {
    const load = RackLoad.create({ r1: 3, r2: 3 });
    load.fill("r1", 100);
    load.fill("r2", 100);
    load.advance(400);
    const gang = load.submit("a", nearStep({ tasks: 6, mode: "gang", prefersOneRack: true, estimateMs: 2_000 }));
    load.advance(50);
    t.false(gang.hasRun);
    load.advance(600);
    const racks = racksOfTasks(gang);
    t.true(racks.every(rack => rack !== undefined && rack === racks[0]));
});

test("the tasks of a one-rack step start together on a rack that has room for all", t => {
    const load = RackLoad.create({ r1: 1, r2: 1, r3: 2 });
    load.advance(50);
    load.submit("other", nearStep({ tasks: 2 }));
    load.advance(50);
    const job = load.submit("a", nearStep({ tasks: 7, prefersOneRack: true }));
    load.advance(50);
    t.deepEqual(new Set(racksOfTasks(job)), new Set(["r3"]));
});

test("the tasks of a one-rack step that have no room on its rack wait for it", t => {
    const load = RackLoad.create({ r1: 1, r2: 1 });
    load.fill("r1", 100);
    load.fillForGood("r2", 48_000);
    load.advance(300);
    const job = load.submit("a", nearStep({ tasks: 4, prefersOneRack: true, estimateMs: 2_000 }));
    load.advance(50);
    t.deepEqual(racksOfTasks(job), ["r1", "r1", "r1", undefined]);
    load.advance(150);
    t.deepEqual(racksOfTasks(job), ["r1", "r1", "r1", "r1"]);
});

test("a new leader waits for no rack before it has measured ends there", t => {
    const load = createFullRack();
    load.replaceLeader();
    const first = load.submit("a", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(first), ["r2"]);
    load.advance(300);
    load.submit("refill2", nearStep({ tasks: 4, dataRack: "r1", estimateMs: 1_600 }));
    load.advance(50);
    const second = load.submit("b", nearStep({ dataRack: "r1" }));
    load.advance(50);
    t.deepEqual(racksOfTasks(second), [undefined]);
});
