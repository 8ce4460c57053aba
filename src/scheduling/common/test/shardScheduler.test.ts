import test from "ava";
import { Outbox } from "../../../base/common/outbox";
import { OwnershipHost, ShardOwnership } from "../../../coordination/common/shardOwnership";
import { FamilyDurations } from "../familyDurations";
import { FamilyFailures } from "../familyFailures";
import { FirstFit } from "../firstFit";
import { InterferenceModel } from "../interferenceModel";
import { LearnedUsage } from "../learnedUsage";
import { DEFAULT_WEIGHTS } from "../policyWeights";
import { ShardEffect, ShardScheduler } from "../shardScheduler";
import { ShardEntry } from "../taskEntry";

const HOST: OwnershipHost = { claim: () => undefined, release: () => undefined, onDidChangeState: () => undefined };

function create() {
    const ownership = ShardOwnership.create("s", "north", HOST);
    ownership.isPreferredOwner = true;
    ownership.fire("vacant", 0);
    ownership.epoch = 5;
    ownership.fire("claim-won", 0);
    const outbox = Outbox.create<ShardEffect>();
    const scheduler = ShardScheduler.create(
        {
            ownership,
            instance: "i",
            writer: "i@5",
            from: 0,
            shardCount: 1,
            models: {
                usage: LearnedUsage.create(),
                interference: InterferenceModel.create(),
                failures: FamilyFailures.create(),
                durations: FamilyDurations.create(),
                policy: FirstFit.create(),
            },
            config: {
                weights: () => DEFAULT_WEIGHTS,
                quota: team => ({ team, guaranteedSlots: 1, maxSlots: 1 }),
                serviceSlot: () => ({ cpus: 1, memoryGb: 1 }),
                minServiceSlots: () => 1,
                maxRequestMs: () => 1_000,
                isDrained: () => false,
            },
            outbox,
            onTask: () => undefined,
            instances: () => [],
            sendFence: () => undefined,
            isDiscoveryFresh: () => true,
        },
        0,
    );
    let next = 0;
    const read = (entry: ShardEntry) => {
        next += 1;
        const batches = [{ offset: next - 1, batch: { writer: "i@5", sequence: next, entries: [entry] } }];
        const page = { stream: "shard-s", read: next, from: next - 1, batches, next, head: next };
        scheduler.handleLog({ kind: "log-read", ...page }, 0);
    };
    return { ownership, scheduler, read };
}

test("grant limits read while the owner is suspended take effect, unless they are of an earlier epoch", t => {
    const { ownership, scheduler, read } = create();
    read({ kind: "shard-fenced", epoch: 5, instance: "i" });
    scheduler.tick(0, 0);
    t.is(ownership.state, "adopting");
    ownership.fire("holdover-expired", 0);
    t.is(ownership.state, "suspended");
    read({ kind: "grants-limited", epoch: 5, limits: [{ worker: "w", instance: "i", slots: 2 }] });
    t.is(scheduler.grants.totalLimit("w"), 2);
    read({ kind: "grants-limited", epoch: 4, limits: [{ worker: "w", instance: "i", slots: 7 }] });
    t.is(scheduler.grants.totalLimit("w"), 2);
});
