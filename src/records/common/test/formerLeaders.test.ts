import test from "ava";
import { FormerLeader, FormerLeaders, RENEWAL_WINDOW_MS } from "../formerLeaders";
import { encodeHost, hostKey } from "../hostRecord";
import { HostTable } from "../hostTable";

const LEADER: FormerLeader = {
    host: "h1",
    instance: "h1-a",
    offset: 10,
    renewedBy: 1_000,
    isBoundByRenewals: true,
};

/** @returns The time by which former leaders lose their rights after an instance on h1 has stated that it began. */
function endAfter(instance: string, readTo: number, ageMs: number, leaders: readonly FormerLeader[]): number {
    const hosts = HostTable.create();
    const formers = FormerLeaders.create(hosts);
    leaders.forEach(each => formers.add(each, 2_000));
    hosts.apply({ key: hostKey("h1"), value: encodeHost({ instance, readTo, ageMs }), offset: 20 }, 3_000);
    return formers.rightEndsBy!;
}

const WINDOW_END_MS = LEADER.renewedBy + RENEWAL_WINDOW_MS;

test("a leader loses its right when the next incarnation on its host has started", t => {
    t.is(endAfter("h1-b", 11, 500, [LEADER]), 3_000 - 500 * 0.98);
});

test("a statement says nothing about its own incarnation, about records that it had not read, or about other hosts", t => {
    t.is(endAfter("h1-a", 11, 500, [LEADER]), WINDOW_END_MS);
    t.is(endAfter("h1-b", 10, 500, [LEADER]), WINDOW_END_MS);
    t.is(endAfter("h1-b", 11, 500, [{ ...LEADER, host: "h2" }]), WINDOW_END_MS);
    t.is(endAfter("h1-b", 11, 500, [{ ...LEADER, host: undefined }]), WINDOW_END_MS);
});

test("the end of the last leader does not end the right of the one before it", t => {
    const earlier = { ...LEADER, host: "h2", instance: "h2-a" };
    t.is(endAfter("h1-b", 11, 500, [earlier, { ...LEADER, renewedBy: 1_800 }]), WINDOW_END_MS);
});

test("leaders whose records were not read keep their right for the window, or as long as the next one states", t => {
    const formers = FormerLeaders.create(HostTable.create());
    formers.addUnknown(2_000);
    formers.add({ ...LEADER, renewedBy: 1_500 }, 2_000);
    t.is(formers.rightEndsBy, 2_000 + RENEWAL_WINDOW_MS);
    t.is(formers.remainingMs(4_000), RENEWAL_WINDOW_MS - 2_000);
    const informed = FormerLeaders.create(HostTable.create());
    informed.addUnknown(2_000, 100);
    informed.add(LEADER, 2_000);
    t.is(informed.rightEndsBy, WINDOW_END_MS);
    t.is(informed.remainingMs(WINDOW_END_MS + 1), 0);
});

test("a malformed statement has no effect", t => {
    const hosts = HostTable.create();
    for (const value of ["{", "1", '{"instance":"h1-b","readTo":11,"ageMs":-1}', '{"instance":"h1-b"}']) {
        hosts.apply({ key: hostKey("h1"), value, offset: 1 }, 3_000);
    }
    t.is(hosts.endOf(LEADER), undefined);
});
