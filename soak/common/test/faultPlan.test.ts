import test from "ava";
import { FaultPlan, PLAN_NAMES } from "../faultPlan";
import { createSeededRandom } from "../seededRandom";

const SIZE = { entries: 8, workers: 16 };
const rounds = (name: (typeof PLAN_NAMES)[number], seed: number, count = 50) => {
    const random = createSeededRandom(seed, 0);
    return Array.from({ length: count }, () => FaultPlan.round(name, random, SIZE));
};

for (const name of PLAN_NAMES) {
    test(`${name}: the same seed plans the same faults, in order, about existing targets`, t => {
        t.deepEqual(rounds(name, 7), rounds(name, 7));
        t.notDeepEqual(rounds(name, 7), rounds(name, 8));
        for (const faults of rounds(name, 7)) {
            t.true(faults.length > 0);
            faults.forEach((fault, index) => {
                const limit = fault.kind.startsWith("worker") ? SIZE.workers : SIZE.entries;
                t.true(fault.targets.every(each => each >= 0 && each < limit));
                t.is(new Set(fault.targets).size, fault.targets.length);
                t.true(fault.lastsMs >= 0 && fault.atMs >= (faults[index - 1]?.atMs ?? 0));
            });
        }
    });
}

test("the plans of site restarts kill all entries and lose workers for good, or all, as they are named", t => {
    const kindsOf = (name: (typeof PLAN_NAMES)[number]) => rounds(name, 3).map(each => each.map(fault => fault.kind));
    t.true(kindsOf("gone").every(each => each.includes("kill-all") && each.includes("worker-lost")));
    t.true(kindsOf("noback").every(each => each.includes("kill-leader") && each.includes("worker-lost")));
    t.true(rounds("all", 3).every(each => each.find(fault => fault.kind === "worker-replaced")?.targets.length === 16));
    t.true(
        rounds("random", 3).some(each => each.some((a, i) => i > 0 && each[i - 1].atMs + each[i - 1].lastsMs > a.atMs)),
    );
});

test("crashes: workers crash every few seconds, a third of them at most at one moment, in some rounds beside a leader", t => {
    const plans = rounds("crashes", 3);
    const crashes = plans.map(each => each.filter(fault => fault.kind.startsWith("worker")));
    t.true(crashes.flat().every(each => ["worker-restarts", "worker-replaced"].includes(each.kind)));
    t.true(crashes.flat().every(each => each.targets.length <= SIZE.workers / 3 && each.lastsMs >= 800));
    t.true(crashes.every(each => each.length >= 8 && each.at(-1)!.atMs > 17_000));
    t.true(crashes.flat().every((each, index, all) => index === 0 || each.atMs - all[index - 1].atMs <= 2_600));
    t.true(crashes.some(each => each.every(fault => fault.targets.length === 1)));
    t.true(crashes.some(each => each.some((a, i) => i > 0 && each[i - 1].atMs + each[i - 1].lastsMs > a.atMs)));
    t.is(new Set(crashes.flat().map(each => each.isSilent)).size, 2);
    const leaderFaults = plans.flatMap(each => each.map(fault => fault.kind).filter(kind => kind.endsWith("leader")));
    t.deepEqual([...new Set(leaderFaults)].sort(), ["kill-leader", "pause-leader"]);
});

test("neighbouring seeds have nothing in common", t => {
    const first = Array.from({ length: 200 }, (_, seed) => createSeededRandom(seed, 0).fraction());
    const inTenth = first.map(each => Math.floor(each * 10));
    for (let tenth = 0; tenth < 10; tenth++) {
        const count = inTenth.filter(each => each === tenth).length;
        t.true(count >= 8 && count <= 36, `${count} of 200 are in tenth ${tenth}`);
    }
});
