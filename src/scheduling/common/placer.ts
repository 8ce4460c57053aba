import { Candidate, fits } from "./candidate";
import { CapacityLedger } from "./capacityLedger";
import { LeaseCaller } from "./leaseCaller";
import { MAX_PLACEMENTS_PER_PASS } from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";
import { TaskOrder } from "./taskOrder";
import { WorkerLink } from "./workerLink";

/** Age of a worker's report above which nothing is placed there, in ms. */
const MAX_REPORT_AGE_MS = 14_000;

/** Why a task is not placed yet. */
export type WaitReason = "no-room" | "policy-waits" | "no-worker-answers";

/** Places the queued tasks of a shard on its workers. */
export class Placer {
    private readonly order: TaskOrder;
    private readonly waiting = new Map<number, WaitReason>();
    private readonly told = new Map<number, WaitReason>();

    private constructor(
        private readonly context: ShardContext,
        private readonly ledger: CapacityLedger,
        private readonly caller: LeaseCaller,
        private readonly shardCount: number,
    ) {
        this.order = TaskOrder.create(team => this.shardQuota(team));
    }

    /**
     * @param context The shard.
     * @param ledger Adds up what is reserved.
     * @param caller Calls the workers.
     * @param shardCount Number of shards; each has an equal part of a team's quota.
     * @returns A placer.
     */
    static create(context: ShardContext, ledger: CapacityLedger, caller: LeaseCaller, shardCount: number): Placer {
        return new Placer(context, ledger, caller, shardCount);
    }

    /** Why each waiting task has not been placed, by its number. */
    get reasons(): ReadonlyMap<number, WaitReason> {
        return this.waiting;
    }

    /** Places what can be placed. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    pass(now: number, wallNow: number): void {
        const queued = this.queued();
        this.waiting.clear();
        this.forgetTold(queued);
        if (queued.length === 0 || this.context.session.isAppendFailing) {
            return;
        }
        this.ledger.recount();
        const candidates = [...this.context.links.values()]
            .filter(link => this.takesTasks(link, now))
            .map(link => this.candidate(link, now));
        for (const task of this.order.next(queued, this.teamUsage(), wallNow, MAX_PLACEMENTS_PER_PASS)) {
            this.place(task, candidates);
        }
    }

    /** @returns Tasks that wait and are not being placed already. */
    queued(): Task[] {
        const { fold, pendingAssignments } = this.context;
        return [...fold.openTasks].filter(task => task.state === "queued" && !pendingAssignments.has(task.number));
    }

    /** Slots that services wait for are not given to tasks again. */
    private candidate(link: WorkerLink, now: number): Candidate {
        const candidate = this.ledger.candidate(link, now);
        const { id } = link.listing;
        const wanted = this.context.wantedShares.get(id) ?? 0;
        candidate.freeSlots -= Math.max(0, wanted - this.context.slotsForServices(id));
        return candidate;
    }

    private place(task: Task, candidates: readonly Candidate[]): void {
        const size = this.context.models.usage.reserve(task.request);
        if (this.refuseImpossible(task, size)) {
            return;
        }
        const fitting = candidates.filter(each => fits(each, size) && !task.failedOn.includes(each.worker));
        const chosen = fitting.length === 0 ? undefined : this.context.models.policy.choose(task, size, fitting);
        if (chosen === undefined) {
            this.wait(task, this.whyNot(candidates, fitting));
            return;
        }
        this.assign(task, size, chosen);
    }

    private forgetTold(queued: readonly Task[]): void {
        const numbers = new Set(queued.map(task => task.number));
        for (const number of this.told.keys()) {
            if (!numbers.has(number)) {
                this.told.delete(number);
            }
        }
    }

    /** A reason goes into the audit trail when it is new. */
    private wait(task: Task, reason: WaitReason): void {
        this.waiting.set(task.number, reason);
        if (this.told.get(task.number) !== reason) {
            this.told.set(task.number, reason);
            this.context.audit("task", task.request.key, "waits", reason);
        }
    }

    private whyNot(candidates: readonly Candidate[], fitting: readonly Candidate[]): WaitReason {
        if (fitting.length > 0) {
            return "policy-waits";
        }
        return candidates.length === 0 ? "no-worker-answers" : "no-room";
    }

    private assign(task: Task, size: TaskSize, chosen: Candidate): void {
        const { context } = this;
        const boot = context.links.get(chosen.worker)!.clock!.boot;
        context.pendingAssignments.set(task.number, { worker: chosen.worker, size });
        this.told.delete(task.number);
        chosen.freeSlots -= 1;
        chosen.spread.add(task.request.family, chosen.rack, chosen.failureDomain);
        chosen.free = {
            cpus: chosen.free.cpus - size.cpus,
            memoryGb: chosen.free.memoryGb - size.memoryGb,
            accelerators: chosen.free.accelerators - size.accelerators,
        };
        context.session.append(
            {
                kind: "task-assigned",
                epoch: context.ownership.epoch,
                task: task.number,
                attempt: task.attempts + 1,
                worker: chosen.worker,
                boot,
                ...size,
            },
            () => this.caller.hurry(chosen.worker, performance.now()),
        );
        context.audit("task", task.request.key, "assigned", `attempt ${task.attempts + 1} to ${chosen.worker}`);
    }

    /** A task that is larger than every worker even when empty is refused, with the largest worker named. */
    private refuseImpossible(task: Task, size: TaskSize): boolean {
        const { context } = this;
        const listings = [...context.links.values()].map(link => link.listing);
        const declared = task.request;
        const needed = {
            cpus: Math.min(size.cpus, declared.cpus),
            memoryGb: Math.min(size.memoryGb, declared.memoryGb),
            accelerators: size.accelerators,
        };
        const room = listings.map(({ capacity }) => capacity);
        const possible = room.some(
            each =>
                each.cpus >= needed.cpus &&
                each.memoryGb >= needed.memoryGb &&
                each.accelerators >= needed.accelerators,
        );
        if (room.length === 0) {
            return false;
        }
        if (possible) {
            return this.refuseFailedEverywhere(task, size);
        }
        const reason =
            `needs ${needed.cpus} cpus, ${needed.memoryGb} GB and ${needed.accelerators} accelerators; ` +
            `the largest worker of ${context.shard} has ${Math.max(...room.map(each => each.cpus))}, ` +
            `${Math.max(...room.map(each => each.memoryGb))} and ${Math.max(...room.map(each => each.accelerators))}`;
        this.refuse(task, size, reason);
        return true;
    }

    /** A shard may have fewer workers than a task may fail on. */
    private refuseFailedEverywhere(task: Task, size: TaskSize): boolean {
        const names = [...this.context.links.keys()];
        const everywhere = names.every(name => task.failedOn.includes(name));
        if (everywhere) {
            this.refuse(task, size, `failed on every worker of ${this.context.shard}: ${task.failedOn.join(", ")}`);
        }
        return everywhere;
    }

    private refuse(task: Task, size: TaskSize, reason: string): void {
        const { context } = this;
        context.session.append({ kind: "task-refused", epoch: context.ownership.epoch, task: task.number, reason });
        context.pendingAssignments.set(task.number, { worker: "", size });
        context.audit("task", task.request.key, "refused", reason);
    }

    /** @returns Whether a worker is given tasks at all. */
    takesTasks(link: WorkerLink, now: number): boolean {
        const { listing, clock, contact, trust } = link;
        if (contact !== "met" || clock === undefined || clock.age(now) > MAX_REPORT_AGE_MS) {
            return false;
        }
        if (!this.context.isOpen(listing, now)) {
            return false;
        }
        const idle = this.context.fold.onWorker(listing.id).size === 0;
        return trust.state === "trusted" || (trust.state === "trial" && idle);
    }

    private teamUsage(): Map<string, number> {
        const usage = new Map<string, number>();
        for (const task of this.context.fold.openTasks) {
            if (task.assignment !== undefined) {
                usage.set(task.request.team, (usage.get(task.request.team) ?? 0) + 1);
            }
        }
        return usage;
    }

    private shardQuota(team: string): { team: string; guaranteedSlots: number; maxSlots: number } {
        const quota = this.context.config.quota(team);
        return {
            team,
            guaranteedSlots: quota.guaranteedSlots / this.shardCount,
            maxSlots: Math.ceil(quota.maxSlots / this.shardCount),
        };
    }
}
