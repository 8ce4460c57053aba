import { Invariants } from "../../base/common/invariants";
import { isEnded, Task } from "../../scheduling/common/task";
import { SimulatedInstance } from "./simulatedInstance";
import { SimulatedClient } from "./simulatedClient";
import { SimulatedCluster } from "./simulatedCluster";

/** Checks invariants that involve several instances, or an instance and its clients. */
export class ClusterChecker {
    private readonly latestTickets = new Map<string, number>();
    /** Tickets in force by the log offset up to which they were folded. */
    private readonly ticketStatesByOffset = new Map<number, string>();

    private constructor(
        private readonly cluster: SimulatedCluster,
        private readonly client: SimulatedClient,
    ) {}

    /** @returns A checker of a cluster and its clients. */
    static create(cluster: SimulatedCluster, client: SimulatedClient): ClusterChecker {
        return new ClusterChecker(cluster, client);
    }

    /** Checks the invariants that hold at any time. */
    checkInvariants(): void {
        for (const node of this.cluster.liveNodes) {
            this.checkTickets(node);
        }
        for (const key of this.client.notRunKeys) {
            const runs = this.cluster.checker.startCountOf(key) + this.cluster.checker.runCountOf(key);
            this.check(
                "not-run-is-true",
                runs === 0,
                () => `${key} ran ${runs} times although its client received not-run`,
            );
        }
    }

    /** @returns Whether all accepted tasks have ended and all instances are serving. */
    isFinished(): boolean {
        return this.openTasks().length === 0 && this.cluster.liveNodes.every(node => node.instance.state === "serving");
    }

    /** Checks the invariants that hold at the end of a trial. */
    checkFinalState(): void {
        this.checkInvariants();
        const unfinished = this.openTasks();
        this.check(
            "nothing-lost",
            unfinished.length === 0,
            () => `${unfinished.length} accepted tasks have not ended: ${unfinished.slice(0, 5).join("; ")}`,
        );
        const numbers = new Set(this.cluster.liveNodes.map(node => node.instance.shared.ticketFold.latestNumber));
        this.check("same-fold", numbers.size <= 1, () => `tickets in force: ${[...numbers].join(", ")}`);
        const latest = Math.max(0, ...numbers);
        for (const accepted of this.client.acceptedTickets) {
            this.check(
                "ticket-never-reverts",
                accepted <= latest,
                () => `ticket ${accepted} was accepted, ${latest} is in force`,
            );
        }
    }

    private openTasks(): string[] {
        return [...this.client.submissions]
            .filter(([, state]) => state === "accepted")
            .map(([key]) => [key, this.findTask(key)] as const)
            .filter(([, task]) => task === undefined || !isEnded(task.state))
            .map(([key, task]) => `${key} ${task === undefined ? "known to no owner" : this.describeTask(task)}`);
    }

    /** @returns The state of each instance and its view of each shard, one a line, for the report of a violation. */
    describeInstances(): string[] {
        return this.cluster.liveNodes.flatMap(node => {
            const { ownership, ownershipFold, shardSchedulers, ownershipSession } = node.instance.shared;
            const summary = `${node.name} ${node.instance.state} reads ${ownershipSession.state} to ${ownershipSession.next}`;
            const shardLines = [...ownership.all].map(shard => {
                const ownerRecord = ownershipFold.ownership(shard.name);
                const session = shardSchedulers.get(shard.name)?.session;
                const progress =
                    session === undefined ? "" : `${session.state} to ${session.next}, ready ${session.isReady}`;
                return `${shard.name} ${shard.state} of ${ownerRecord.owner} ${ownerRecord.phase} ${ownerRecord.epoch} ${progress}`;
            });
            return [summary, ...shardLines.map(line => `  ${line}`)];
        });
    }

    private describeTask(task: Task): string {
        const schedulers = this.cluster.liveNodes.flatMap(node => [...node.instance.shared.shardSchedulers.values()]);
        const scheduler = schedulers.find(each => each.fold.find(task.request.key) === task);
        const contact = scheduler?.contacts.get(task.assignment?.worker ?? "");
        const { cpus, memoryGb, accelerators, family } = task.request;
        return [
            task.state,
            `${family} ${cpus}/${memoryGb}/${accelerators}`,
            `failed on ${task.failedOn.join(",")}`,
            scheduler?.waitReasons.get(task.number) ?? "",
            contact === undefined
                ? ""
                : `${contact.listing.id} ${contact.state} boot ${contact.clock?.boot} ${contact.callInFlight}`,
            JSON.stringify(task.assignment),
            scheduler?.attemptState(task.number) ?? "",
        ].join(" ");
    }

    private findTask(key: string): Task | undefined {
        for (const node of this.cluster.liveNodes) {
            for (const scheduler of node.instance.shared.shardSchedulers.values()) {
                const task = scheduler.fold.find(key);
                if (task !== undefined) {
                    return task;
                }
            }
        }
        return undefined;
    }

    private checkTickets(node: SimulatedInstance): void {
        const { ticketFold, tickets } = node.instance.shared;
        const previous = this.latestTickets.get(node.name) ?? 0;
        const latest = ticketFold.latestNumber;
        this.check(
            "ticket-never-reverts",
            latest >= previous,
            () => `${node.name} went from ticket ${previous} to ${latest}`,
        );
        this.latestTickets.set(node.name, latest);
        if (!tickets.isReady) {
            return;
        }
        const state = JSON.stringify([...ticketFold.inForce.values()]);
        const expected = this.ticketStatesByOffset.get(tickets.next) ?? state;
        this.check(
            "same-fold",
            expected === state,
            () => `tickets at offset ${tickets.next}: ${expected} and ${state}`,
        );
        this.ticketStatesByOffset.set(tickets.next, state);
    }

    private check(invariant: Parameters<Invariants["check"]>[0], holds: boolean, detail: () => string): void {
        if (!holds) {
            this.cluster.checker.check(invariant, false, detail());
        }
    }
}
