import test from "ava";
import { OwnershipEntry } from "../ownershipEntry";
import { OwnershipFold } from "../ownershipFold";

function create() {
    const fold = OwnershipFold.create();
    let offset = -1;
    const apply = (entry: OwnershipEntry) => {
        offset += 1;
        fold.applyBatch({ offset, batch: { writer: `w${offset}`, sequence: 1, entries: [entry] } });
        return offset;
    };
    return { fold, apply };
}

function claim(instance: string, seenEpoch: number, seenRenewal: number): OwnershipEntry {
    return { kind: "shard-claimed", shard: "s", instance, seenEpoch, seenRenewal };
}

function present(instance: string, epoch?: number, address = instance): OwnershipEntry {
    const holdings = epoch === undefined ? [] : [{ shard: "s", epoch, snapshotNext: 0 }];
    const place = { address, region: "r", failureDomain: "d" };
    return { kind: "instance-present", instance, ...place, phase: "serving", ticket: 0, holdings };
}

test("the first of two claims wins", t => {
    const { fold, apply } = create();
    const epoch = apply(claim("a", -1, -1));
    apply(claim("b", -1, -1));
    t.is(fold.ownership("s").owner, "a");
    t.is(fold.ownership("s").epoch, epoch);
});

test("a claim that did not see the latest renewal is void", t => {
    const { fold, apply } = create();
    const epoch = apply(claim("a", -1, -1));
    apply(present("a", epoch));
    apply(claim("b", epoch, epoch));
    t.is(fold.ownership("s").owner, "a");
    apply(claim("b", epoch, fold.ownership("s").renewal));
    t.is(fold.ownership("s").owner, "b");
});

test("a renewal or release is void if another instance has claimed the shard since", t => {
    const { fold, apply } = create();
    const first = apply(claim("a", -1, -1));
    const second = apply(claim("b", first, first));
    apply(present("a", first));
    t.is(fold.ownership("s").renewal, second);
    apply({ kind: "shard-released", shard: "s", instance: "a", epoch: first, snapshotNext: 0, authorityMs: 0 });
    t.is(fold.ownership("s").phase, "held");
});

test("an instance is removed when another one reports the same address", t => {
    const { fold, apply } = create();
    apply(present("a-1", undefined, "host:1"));
    apply(present("a-2", undefined, "host:1"));
    t.deepEqual([...fold.instances.keys()], ["a-2"]);
});
