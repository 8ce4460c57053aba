import test from "ava";
import { RenewalRecord } from "../../../../records/common/renewalRecord";
import { FenceProbe } from "../fenceProbe";

const WITNESSES = ["w1", "w2", "w3"].map(id => ({ id, incarnation: 5, clockMs: 0 }));
const RENEWAL: RenewalRecord = {
    epoch: 4,
    fence: 64,
    leaseMs: 6_500,
    extendedMs: 10_500,
    witnesses: WITNESSES,
    formers: [],
};

function createProbe(renewal: RenewalRecord | undefined = RENEWAL) {
    const unraised: number[] = [];
    const probe = FenceProbe.create(renewal, epoch => unraised.push(epoch));
    const ask = (id: string, incarnation?: number) => {
        probe.recordAsked(id);
        probe.recordAnswer(id, incarnation === undefined ? "fenced" : "done", incarnation, 100);
    };
    return { probe, unraised, ask };
}

test("each witness of the latest renewal gets a fence just above the former one first, and other workers do not", t => {
    const { probe, ask } = createProbe();
    t.is(probe.fenceFor("w1"), 65);
    t.is(probe.fenceFor("w9"), undefined);
    ask("w1", 5);
    t.is(probe.fenceFor("w1"), undefined);
    t.is(FenceProbe.create(undefined, () => undefined).fenceFor("w1"), undefined);
});

test("the former leader has not raised its fence if two of three witnesses accept its fence and then that of this leader", t => {
    const { probe, unraised, ask } = createProbe();
    ask("w1", 5);
    ask("w2", 5);
    probe.recordAccepted("w1", 5, 200);
    t.deepEqual(unraised, []);
    probe.recordAccepted("w2", 5, 600);
    t.deepEqual(unraised, [4]);
});

test("a witness does not count that rejects the fence, is another incarnation, or accepts that of this leader too late", t => {
    const { probe, unraised, ask } = createProbe();
    ask("w1", 5);
    probe.recordAccepted("w1", 5, 200);
    // The former leader may have raised its fence in between.
    ask("w2", 5);
    probe.recordAccepted("w2", 5, 601);
    ask("w3");
    probe.recordAccepted("w3", 5, 200);
    t.deepEqual(unraised, []);
    const other = createProbe();
    other.ask("w1", 6);
    other.ask("w2", 6);
    other.probe.recordAccepted("w1", 6, 200);
    other.probe.recordAccepted("w2", 6, 200);
    t.deepEqual(other.unraised, []);
});

// LOST: with one of two witnesses lost, the next leader counted the longer leases.
test("half of the witnesses are enough, since the former leader needs most of them", t => {
    const { probe, unraised, ask } = createProbe({ ...RENEWAL, witnesses: WITNESSES.slice(0, 2) });
    ask("w1", 5);
    probe.recordAccepted("w1", 5, 200);
    t.deepEqual(unraised, [4]);
});

test("a witness that does not answer is probed again", t => {
    const { probe, unraised, ask } = createProbe();
    probe.recordAsked("w1");
    probe.recordAnswer("w1", "no-answer", undefined, 100);
    t.is(probe.fenceFor("w1"), 65);
    ask("w1", 5);
    ask("w2", 5);
    probe.recordAccepted("w1", 5, 200);
    probe.recordAccepted("w2", 5, 200);
    t.deepEqual(unraised, [4]);
});

test("an order of this leader before that with the former fence shows nothing", t => {
    const { probe, unraised } = createProbe();
    ["w1", "w2", "w3"].forEach(id => probe.recordAccepted(id, 5, 200));
    t.deepEqual(unraised, []);
});

// TWICE: the former leader extended leases while this one was suspended between its two calls.
test("what was in doubt at a suspension shows nothing any more", t => {
    const { probe, unraised, ask } = createProbe();
    ask("w1", 5);
    ask("w2", 5);
    probe.recordAsked("w3");
    probe.handleSuspension();
    probe.recordAnswer("w3", "done", 5, 100);
    ["w1", "w2", "w3"].forEach(id => probe.recordAccepted(id, 5, 200));
    t.deepEqual(unraised, []);
});
