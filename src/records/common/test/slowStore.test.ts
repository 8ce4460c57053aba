import test from "ava";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { createInstance, Instance, lead } from "./claimant";

// Load: the store takes a third of a second longer for each call, so renewals of a leader that is alive wait behind all other appends.
test("a leader is not replaced for renewals that wait in a slow store", t => {
    const log = KeyedLog.create();
    let excessMs = 0;
    const standby = createInstance(log, "b", 10, 1, () => excessMs);
    lead(t, log, createInstance(log, "a", 10));
    standby.read(2_600);
    excessMs = 350;
    let claimedAt: number | undefined;
    for (let now = 2_900; now <= 8_000 && claimedAt === undefined; now += 300) {
        standby.read(now);
        claimedAt = standby.claim(now).length > 0 ? now : undefined;
    }
    t.true(claimedAt! > 2_600 + 3_500, `claimed at ${claimedAt} ms`);
    t.true(claimedAt! < 2_600 + 6_000, "before leases end that the leader extended last");
});

test("in a slow store, a small instance claims only after the claim of a strong one can be read", t => {
    const log = KeyedLog.create();
    const excessMs = 350;
    const strong = createInstance(log, "strong", 0, 1, () => excessMs);
    const small = createInstance(log, "small", 0, 0.25, () => excessMs);
    lead(t, log, createInstance(log, "a", 10));
    const claimedAt = ({ read, claim }: Instance) => {
        read(2_600);
        for (let now = 3_000; ; now += 50) {
            // The end of the stream is read all the time, but the leader is silent.
            read(now);
            if (claim(now).length > 0) {
                return now;
            }
        }
    };
    t.true(claimedAt(small) - claimedAt(strong) > 2 * excessMs);
});
