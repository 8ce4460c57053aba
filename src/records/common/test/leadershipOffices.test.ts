import test from "ava";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { createInstance } from "./claimant";

const TICK_MS = 25;

/** Longest time without a leader until an instance claims that is the only one, in ms: the timeout, and all delays of claims. */
const MAX_CLAIM_MS = 2_000;

/** @returns Time (ms) after which an instance claims when the leader of a shard has resigned. */
function claimDelayMs(nonce: number, otherOffices: number): number | undefined {
    const log = KeyedLog.create();
    log.store("leader", JSON.stringify({ epoch: 1, instance: "gone", cores: 1, resigned: true }));
    const { read, claim } = createInstance(log, "a", nonce, 1 / (1 + otherOffices), otherOffices);
    for (let now = 0; now <= MAX_CLAIM_MS; now += TICK_MS) {
        read(now);
        if (claim(now).length > 0) {
            return now;
        }
    }
    return undefined;
}

test("an instance that leads a shard claims another one after any that leads none", t => {
    for (let nonce = 0; nonce < 250; nonce += 10) {
        t.true(claimDelayMs(0, 1)! > claimDelayMs(nonce, 0)!);
    }
});

test("an instance that leads a shard claims another one if nobody else does", t => {
    t.not(claimDelayMs(249, 1), undefined);
});

test("a leader whose cores are shared with another shard is replaced only after the observation window", t => {
    const log = KeyedLog.create();
    const { read, claim } = createInstance(log, "strong", 10, 1);
    const claimedAt: number[] = [];
    for (let now = 0; now <= 10_000 && claimedAt.length === 0; now += TICK_MS) {
        const cores = now < 5_000 ? 1 : 0.5;
        log.store("leader", JSON.stringify({ epoch: 1, instance: "shared", cores }));
        read(now);
        claimedAt.push(...claim(now).map(() => now));
    }
    t.true(claimedAt[0] > 7_000);
});
