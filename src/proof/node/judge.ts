import { Invariants } from "../../base/common/invariant";
import { isEnded, Task } from "../../scheduling/common/task";
import { FakeNode } from "./fakeNode";
import { Caller } from "./caller";
import { World } from "./world";

/** Looks at all instances together, and asserts what none of them can see alone. */
export class Judge {
    private readonly latest = new Map<string, number>();
    /** State of the tickets by the offset that it is of. */
    private readonly ticketStates = new Map<number, string>();

    private constructor(
        private readonly world: World,
        private readonly caller: Caller,
    ) {}

    /** @returns A judge of a world. */
    static create(world: World, caller: Caller): Judge {
        return new Judge(world, caller);
    }

    /** Asserts what must hold at any moment. */
    look(): void {
        for (const node of this.world.alive) {
            this.checkTickets(node);
        }
        for (const key of this.caller.notRun) {
            const runs = this.world.witness.startsOf(key) + this.world.witness.runsOf(key);
            this.check(
                "not-run-is-true",
                runs === 0,
                () => `${key} ran ${runs} times after its caller was told not-run`,
            );
        }
    }

    /** @returns Whether everything accepted has come to its end. */
    isSettled(): boolean {
        return this.unsettled().length === 0 && this.world.alive.every(node => node.instance.state === "serving");
    }

    /** Asserts what must hold at the end. */
    conclude(): void {
        this.look();
        const open = this.unsettled();
        this.check(
            "nothing-lost",
            open.length === 0,
            () => `${open.length} accepted tasks have not ended: ${open.slice(0, 5).join("; ")}`,
        );
        const numbers = new Set(this.world.alive.map(node => node.instance.shared.ticketFold.latestNumber));
        this.check("same-fold", numbers.size <= 1, () => `tickets in force: ${[...numbers].join(", ")}`);
        const number = Math.max(0, ...numbers);
        for (const accepted of this.caller.acceptedTickets) {
            this.check(
                "ticket-never-reverts",
                accepted <= number,
                () => `ticket ${accepted} was accepted, ${number} is in force`,
            );
        }
    }

    private unsettled(): string[] {
        return [...this.caller.submissions]
            .filter(([, state]) => state === "accepted")
            .map(([key]) => [key, this.findTask(key)] as const)
            .filter(([, task]) => task === undefined || !isEnded(task.state))
            .map(([key, task]) => `${key} ${task === undefined ? "unknown to every owner" : this.describeTask(task)}`);
    }

    /** @returns What each instance says of each shard, for the report of a failure. */
    describe(): string[] {
        return this.world.alive.flatMap(node => {
            const { ownership, ownershipFold, shards, ownershipSession } = node.instance.shared;
            const life = `${node.name} ${node.instance.state} reads ${ownershipSession.state} to ${ownershipSession.next}`;
            const parts = [...ownership.all].map(shard => {
                const tenure = ownershipFold.tenure(shard.name);
                const session = shards.get(shard.name)?.session;
                const reading =
                    session === undefined ? "" : `${session.state} to ${session.next}, ready ${session.isReady}`;
                return `${shard.name} ${shard.state} of ${tenure.owner} ${tenure.phase} ${tenure.epoch} ${reading}`;
            });
            return [life, ...parts.map(part => `  ${part}`)];
        });
    }

    private describeTask(task: Task): string {
        const keepers = this.world.alive.flatMap(node => [...node.instance.shared.shards.values()]);
        const keeper = keepers.find(each => each.fold.find(task.request.key) === task);
        const link = keeper?.links.get(task.assignment?.worker ?? "");
        const { cpus, memoryGb, accelerators, family } = task.request;
        return [
            task.state,
            `${family} ${cpus}/${memoryGb}/${accelerators}`,
            `failed on ${task.failedOn.join(",")}`,
            keeper?.waitReasons.get(task.number) ?? "",
            link === undefined ? "" : `${link.listing.id} ${link.contact} boot ${link.clock?.boot} ${link.outstanding}`,
            JSON.stringify(task.assignment),
            keeper?.attemptState(task.number) ?? "",
        ].join(" ");
    }

    private findTask(key: string): Task | undefined {
        for (const node of this.world.alive) {
            for (const keeper of node.instance.shared.shards.values()) {
                const task = keeper.fold.find(key);
                if (task !== undefined) {
                    return task;
                }
            }
        }
        return undefined;
    }

    private checkTickets(node: FakeNode): void {
        const { ticketFold, tickets } = node.instance.shared;
        const before = this.latest.get(node.name) ?? 0;
        const now = ticketFold.latestNumber;
        this.check("ticket-never-reverts", now >= before, () => `${node.name} went from ticket ${before} to ${now}`);
        this.latest.set(node.name, now);
        if (!tickets.isReady) {
            return;
        }
        const state = JSON.stringify([...ticketFold.inForce.values()]);
        const known = this.ticketStates.get(tickets.next) ?? state;
        this.check("same-fold", known === state, () => `tickets at ${tickets.next}: ${known} and ${state}`);
        this.ticketStates.set(tickets.next, state);
    }

    private check(invariant: Parameters<Invariants["check"]>[0], holds: boolean, detail: () => string): void {
        if (!holds) {
            this.world.witness.check(invariant, false, detail());
        }
    }
}
