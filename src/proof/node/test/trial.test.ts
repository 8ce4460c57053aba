import test, { ExecutionContext } from "ava";
import { InvariantName } from "../../../base/common/invariant";
import { Appender } from "../../../coordination/common/appender";
import { GrantTable } from "../../../coordination/common/grantTable";
import { OwnershipFold } from "../../../coordination/common/ownershipFold";
import { TicketFold } from "../../../coordination/common/ticketFold";
import { ShardFold } from "../../../scheduling/common/shardFold";
import { taskBinding } from "../../../scheduling/common/task";
import { Directory } from "../../../serving/common/directory";
import { GrantedSlots } from "../../../serving/common/grantedSlots";
import { FakeNode } from "../fakeNode";
import { Trial } from "../trial";
import { World } from "../world";

const STEPS = 3_000;

/** Steps within which a broken mechanism shows. */
const SABOTAGE_STEPS = 12_000;

for (const seed of [1, 22, 103]) {
    test.serial(`every invariant holds under the faults of seed ${seed}`, t => {
        const { violations, counts } = Trial.run({ seed, steps: STEPS });
        t.deepEqual(violations, []);
        t.true(counts.taskStarts > 0 && counts.requests > 0 && counts.appends > 0);
    });
}

test.serial("the same seed gives the same trial", t => {
    const [one, two] = [1, 2].map(() => Trial.run({ seed: 5, steps: 1_000 }).counts);
    t.deepEqual(one, two);
});

test.serial("without faults nearly all quotes are answered and all tasks end", t => {
    const { violations, counts } = Trial.run({ seed: 2, steps: STEPS, calm: true });
    t.deepEqual(violations, []);
    t.true(counts.quotesDone > 0.9 * counts.quotes, JSON.stringify(counts));
});

/** Breaks one mechanism and expects an assertion to fire. */
function breaks(
    t: ExecutionContext,
    invariants: readonly InvariantName[],
    seeds: readonly number[],
    sabotage: (world: World) => void,
): void {
    const seen = new Set<InvariantName>();
    for (const seed of seeds) {
        if (!invariants.some(each => seen.has(each))) {
            const { violations } = Trial.run({ seed, steps: SABOTAGE_STEPS, sabotage });
            violations.forEach(each => seen.add(each.invariant));
        }
    }
    const caught = invariants.some(each => seen.has(each));
    t.true(caught, `seen: ${[...seen].join(", ")}`);
}

/** Replaces a method for the length of a test. */
function replaceMethod<T extends object>(t: ExecutionContext, prototype: T, name: string, method: unknown): void {
    const methods = prototype as Record<string, unknown>;
    const original = methods[name];
    methods[name] = method;
    t.teardown(() => (methods[name] = original));
}

test.serial("without the fence of epochs a task runs in two places", t => {
    replaceMethod(t, ShardFold.prototype, "ifCurrent", (_epoch: number, act: () => void) => act());
    breaks(t, ["single-run", "resume-once", "capacity", "at-most-once"], [1, 2, 3, 4], world => {
        world.workers.forEach(worker => (worker.keepsEpochs = false));
    });
});

test.serial("a worker that starts late what it was told to start breaks the single run", t => {
    breaks(t, ["single-run", "resume-once", "at-most-once", "no-work-to-leaving"], [1, 2, 3, 4, 5, 6], world => {
        world.workers.forEach(worker => (worker.keepsEpochs = false));
    });
});

test.serial("limits that are raised beyond the share break the capacity", t => {
    replaceMethod(t, GrantTable.prototype, "setShare", function (this: GrantTable, worker: string) {
        (this as unknown as { worker(name: string): { share: number } }).worker(worker).share = 12;
    });
    breaks(t, ["capacity"], [1, 2], () => undefined);
});

test.serial("a lost task that is run again although it must not be breaks at-most-once", t => {
    const guards = taskBinding.guards as Record<string, unknown>;
    const original = guards.isUnrepeatable;
    guards.isUnrepeatable = () => false;
    t.teardown(() => (guards.isUnrepeatable = original));
    breaks(t, ["at-most-once"], [1, 2, 3], () => undefined);
});

test.serial("a non-idempotent request that is repeated breaks at-most-once", t => {
    const original = FakeNode.prototype.request;
    replaceMethod(t, FakeNode.prototype, "request", function (this: FakeNode, ...args: Parameters<typeof original>) {
        original.call(this, args[0], args[1], true, args[3], args[4]);
    });
    breaks(t, ["at-most-once"], [1, 2], () => undefined);
});

test.serial("an answer not-run for what may be durable is caught", t => {
    replaceMethod(t, Appender.prototype, "withdraw", () => "withdrawn");
    breaks(t, ["not-run-is-true"], [1, 2, 3], () => undefined);
});

test.serial("work for leaving workers is caught", t => {
    replaceMethod(t, Directory.prototype, "update", function (this: Directory, listing: { workers: object[] }) {
        const workers = listing.workers.map(each => ({ ...each, availability: "live" }));
        Object.assign(this, { workers: new Map(workers.map(each => [(each as unknown as { id: string }).id, each])) });
    });
    replaceMethod(t, GrantedSlots.prototype, "slots", () => 1);
    breaks(t, ["no-work-to-leaving"], [1, 2], () => undefined);
});

test.serial("a ticket that takes a passed number is caught", t => {
    breaks(t, ["ticket-never-reverts", "same-fold"], [1, 2, 3], world => {
        world.nodes.forEach(node => {
            const { binding } = node.instance.shared.ticketFold as unknown as {
                binding: { guards: Record<string, unknown> };
            };
            binding.guards.isNumberTaken = () => false;
            binding.guards.isNumberPassed = () => false;
            binding.guards.isBuiltOnOlder = () => false;
        });
    });
});

test.serial("instances that fold the same records differently are caught", t => {
    breaks(t, ["same-fold", "ticket-never-reverts"], [1, 2], world => {
        const fold = world.nodes[0].instance.shared.ticketFold as unknown as { objects: Map<string, unknown> };
        Object.assign(fold, { putInForce: TicketFold.prototype["image"] });
    });
});

test.serial("a snapshot that forgets tasks is caught", t => {
    const original = (ShardFold.prototype as unknown as { load(state: object): void }).load;
    replaceMethod(t, ShardFold.prototype, "load", function (this: ShardFold, state: object) {
        original.call(this, { ...state, tasks: [] });
    });
    breaks(t, ["nothing-lost", "single-run", "resume-once", "at-most-once", "capacity"], [1, 2, 3], () => undefined);
});

test.serial("an ownership that ignores renewals which the claimant did not see is caught", t => {
    replaceMethod(t, OwnershipFold.prototype, "claim", function (this: OwnershipFold, entry: object, offset: number) {
        const { shard, instance } = entry as { shard: string; instance: string };
        const { shards } = this as unknown as { shards: Map<string, object> };
        const tenure = { owner: instance, epoch: 0, renewal: offset, phase: "held", snapshotNext: 0, authorityMs: 0 };
        shards.set(shard, tenure);
    });
    breaks(t, ["single-run", "capacity", "at-most-once", "nothing-lost", "resume-once"], [1, 2], () => undefined);
});
