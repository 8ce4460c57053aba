import test, { ExecutionContext } from "ava";
import { InvariantName } from "../../../base/common/invariants";
import { Appender } from "../../../coordination/common/appender";
import { GrantTable } from "../../../coordination/common/grantTable";
import { OwnershipFold } from "../../../coordination/common/ownershipFold";
import { TicketFold } from "../../../coordination/common/ticketFold";
import { ShardFold } from "../../../scheduling/common/shardFold";
import { taskBinding } from "../../../scheduling/common/task";
import { Directory } from "../../../serving/common/directory";
import { GrantedSlots } from "../../../serving/common/grantedSlots";
import { SimulatedInstance } from "../simulatedInstance";
import { Trial } from "../trial";
import { SimulatedCluster } from "../simulatedCluster";
import { replaceMethod } from "./replaceMethod";

const STEPS = 3_000;

/** Steps within which a mechanism broken on purpose must cause a violation. */
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

test.serial("a fault-free trial answers over 90% of the quotes and ends all tasks", t => {
    const { violations, counts } = Trial.run({ seed: 2, steps: STEPS, isFaultFree: true });
    t.deepEqual(violations, []);
    t.true(counts.quotesDone > 0.9 * counts.quotes, JSON.stringify(counts));
});

/** Breaks one mechanism and expects a violation of one of the invariants with one of the seeds. */
function expectViolation(
    t: ExecutionContext,
    invariants: readonly InvariantName[],
    seeds: readonly number[],
    sabotage: (cluster: SimulatedCluster) => void,
): void {
    const seen = new Set<InvariantName>();
    for (const seed of seeds) {
        if (!invariants.some(each => seen.has(each))) {
            const { violations } = Trial.run({ seed, steps: SABOTAGE_STEPS, sabotage });
            violations.forEach(each => seen.add(each.invariant));
        }
    }
    const isCaught = invariants.some(each => seen.has(each));
    t.true(isCaught, `seen: ${[...seen].join(", ")}`);
}

test.serial("without epoch fences a task runs on two workers", t => {
    replaceMethod(t, ShardFold.prototype, "ifCurrentEpoch", (_epoch: number, act: () => void) => act());
    expectViolation(t, ["single-run", "resume-once", "capacity", "at-most-once"], [1, 2, 3, 4], cluster => {
        cluster.workers.forEach(worker => (worker.isFencingEnabled = false));
    });
});

test.serial("a worker that accepts expired start orders and outdated epochs runs a task twice", t => {
    expectViolation(
        t,
        ["single-run", "resume-once", "at-most-once", "no-work-to-leaving"],
        [1, 2, 3, 4, 5, 6],
        cluster => {
            cluster.workers.forEach(worker => (worker.isFencingEnabled = false));
        },
    );
});

test.serial("grant limits above the shard's share exceed a worker's capacity", t => {
    replaceMethod(t, GrantTable.prototype, "setShare", function (this: GrantTable, worker: string) {
        (this as unknown as { worker(name: string): { share: number } }).worker(worker).share = 12;
    });
    expectViolation(t, ["capacity"], [1, 2], () => undefined);
});

test.serial("running a lost non-idempotent task again violates at-most-once", t => {
    const guards = taskBinding.guards as Record<string, unknown>;
    const original = guards.isNonIdempotent;
    guards.isNonIdempotent = () => false;
    t.teardown(() => (guards.isNonIdempotent = original));
    expectViolation(t, ["at-most-once"], [1, 2, 3], () => undefined);
});

test.serial("retrying a non-idempotent request violates at-most-once", t => {
    const original = SimulatedInstance.prototype.request;
    replaceMethod(
        t,
        SimulatedInstance.prototype,
        "request",
        function (this: SimulatedInstance, ...args: Parameters<typeof original>) {
            original.call(this, args[0], args[1], true, args[3], args[4]);
        },
    );
    expectViolation(t, ["at-most-once"], [1, 2], () => undefined);
});

test.serial("replying not-run for a record that may be durable is detected", t => {
    replaceMethod(t, Appender.prototype, "withdraw", () => "withdrawn");
    expectViolation(t, ["not-run-is-true"], [1, 2, 3], () => undefined);
});

test.serial("new work on leaving workers is detected", t => {
    replaceMethod(t, Directory.prototype, "update", function (this: Directory, listing: { workers: object[] }) {
        const workers = listing.workers.map(each => ({ ...each, availability: "live" }));
        Object.assign(this, { workers: new Map(workers.map(each => [(each as unknown as { id: string }).id, each])) });
    });
    replaceMethod(t, GrantedSlots.prototype, "slots", () => 1);
    expectViolation(t, ["no-work-to-leaving"], [1, 2], () => undefined);
});

test.serial("a ticket that reuses a passed number is detected", t => {
    expectViolation(t, ["ticket-never-reverts", "same-fold"], [1, 2, 3], cluster => {
        cluster.nodes.forEach(node => {
            const { binding } = node.instance.shared.ticketFold as unknown as {
                binding: { guards: Record<string, unknown> };
            };
            binding.guards.isNumberTaken = () => false;
            binding.guards.isNumberPassed = () => false;
            binding.guards.isBuiltOnOlder = () => false;
        });
    });
});

test.serial("instances that fold the same records differently are detected", t => {
    expectViolation(t, ["same-fold", "ticket-never-reverts"], [1, 2], cluster => {
        const fold = cluster.nodes[0].instance.shared.ticketFold as unknown as { objects: Map<string, unknown> };
        Object.assign(fold, { putInForce: TicketFold.prototype["image"] });
    });
});

test.serial("a snapshot without tasks is detected", t => {
    const original = (ShardFold.prototype as unknown as { load(state: object): void }).load;
    replaceMethod(t, ShardFold.prototype, "load", function (this: ShardFold, state: object) {
        original.call(this, { ...state, tasks: [] });
    });
    expectViolation(
        t,
        ["nothing-lost", "single-run", "resume-once", "at-most-once", "capacity"],
        [1, 2, 3],
        () => undefined,
    );
});

test.serial("granting a claim despite renewals that the claimant has not read is detected", t => {
    replaceMethod(t, OwnershipFold.prototype, "claim", function (this: OwnershipFold, entry: object, offset: number) {
        const { shard, instance } = entry as { shard: string; instance: string };
        const { shards } = this as unknown as { shards: Map<string, object> };
        const owner = { owner: instance, epoch: 0, renewal: offset, phase: "held", snapshotNext: 0, authorityMs: 0 };
        shards.set(shard, owner);
    });
    expectViolation(
        t,
        ["single-run", "capacity", "at-most-once", "nothing-lost", "resume-once"],
        [1, 2],
        () => undefined,
    );
});
