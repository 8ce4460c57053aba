import { Candidate, fits } from "./candidate";
import { CapacityLedger } from "./capacityLedger";
import { LeaseCaller } from "./leaseCaller";
import { MAX_PLACEMENTS_PER_PASS } from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";
import { TaskOrder } from "./taskOrder";
import { WorkerContact } from "./workerContact";

/** Workers whose latest report is older get no tasks. */
const MAX_REPORT_AGE_MS = 14_000;

/** Why a task has not been placed yet. */
export type WaitReason = "no-room" | "policy-waits" | "no-worker-answers";

/** Places the queued tasks of a shard on its workers. */
export class Placer {
    private readonly order: TaskOrder;
    private readonly currentReasons = new Map<number, WaitReason>();
    private readonly auditedReasons = new Map<number, WaitReason>();

    private constructor(
        private readonly context: ShardContext,
        private readonly ledger: CapacityLedger,
        private readonly leaseCaller: LeaseCaller,
        private readonly shardCount: number,
    ) {
        this.order = TaskOrder.create(team => this.shardQuota(team));
    }

    /**
     * @param context The shard.
     * @param ledger Computes the free capacity of workers.
     * @param leaseCaller Calls the workers.
     * @param shardCount Number of shards; a team's quota is divided equally among them.
     * @returns A placer.
     */
    static create(context: ShardContext, ledger: CapacityLedger, leaseCaller: LeaseCaller, shardCount: number): Placer {
        return new Placer(context, ledger, leaseCaller, shardCount);
    }

    /** Why each queued task has not been placed, by task number. */
    get waitReasons(): ReadonlyMap<number, WaitReason> {
        return this.currentReasons;
    }

    /** Places queued tasks where they fit. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    placeQueued(now: number, wallNow: number): void {
        const queued = this.unplacedTasks();
        this.currentReasons.clear();
        this.pruneAuditedReasons(queued);
        if (queued.length === 0 || this.context.session.isAppendFailing) {
            return;
        }
        this.ledger.recountSpread();
        const candidates = [...this.context.contacts.values()]
            .filter(contact => this.canPlaceOn(contact, now))
            .map(contact => this.candidateFor(contact, now));
        for (const task of this.order.next(queued, this.teamUsage(), wallNow, MAX_PLACEMENTS_PER_PASS)) {
            this.place(task, candidates);
        }
    }

    /** @returns Queued tasks without an assignment or refusal in flight to the log. */
    unplacedTasks(): Task[] {
        const { fold, pendingAssignments } = this.context;
        return [...fold.openTasks].filter(task => task.state === "queued" && !pendingAssignments.has(task.number));
    }

    /**
     * Free capacity of a worker for tasks. It excludes the slots that services should get there but do not have yet, so
     * that a slot that becomes free for them is not given to a task again.
     */
    private candidateFor(contact: WorkerContact, now: number): Candidate {
        const candidate = this.ledger.candidateFor(contact, now);
        const { id } = contact.listing;
        const desired = this.context.desiredShares.get(id) ?? 0;
        candidate.freeSlots -= Math.max(0, desired - this.context.reservedServiceSlots(id));
        return candidate;
    }

    private place(task: Task, candidates: readonly Candidate[]): void {
        const size = this.context.models.usage.reserve(task.request, this.ledger.capacitiesFor(task));
        if (this.refuseIfInfeasible(task, size)) {
            return;
        }
        const suitable = candidates.filter(each => fits(each, size) && !task.failedOn.includes(each.worker));
        const target = suitable.length === 0 ? undefined : this.context.models.policy.choose(task, size, suitable);
        if (target === undefined) {
            this.recordWait(task, this.waitReasonFor(candidates, suitable));
            return;
        }
        this.assign(task, size, target);
    }

    private pruneAuditedReasons(queued: readonly Task[]): void {
        const numbers = new Set(queued.map(task => task.number));
        for (const number of this.auditedReasons.keys()) {
            if (!numbers.has(number)) {
                this.auditedReasons.delete(number);
            }
        }
    }

    /** Audits a reason only when it differs from the task's previous one. */
    private recordWait(task: Task, reason: WaitReason): void {
        this.currentReasons.set(task.number, reason);
        if (this.auditedReasons.get(task.number) !== reason) {
            this.auditedReasons.set(task.number, reason);
            this.context.audit("task", task.request.key, "waits", reason);
        }
    }

    private waitReasonFor(candidates: readonly Candidate[], suitable: readonly Candidate[]): WaitReason {
        if (suitable.length > 0) {
            return "policy-waits";
        }
        return candidates.length === 0 ? "no-worker-answers" : "no-room";
    }

    private assign(task: Task, size: TaskSize, target: Candidate): void {
        const { context } = this;
        const boot = context.contacts.get(target.worker)!.clock!.boot;
        context.pendingAssignments.set(task.number, { worker: target.worker, size });
        this.auditedReasons.delete(task.number);
        target.freeSlots -= 1;
        target.spread.add(task.request.family, target.rack, target.failureDomain);
        target.free = {
            cpus: target.free.cpus - size.cpus,
            memoryGb: target.free.memoryGb - size.memoryGb,
            accelerators: target.free.accelerators - size.accelerators,
        };
        context.session.append(
            {
                kind: "task-assigned",
                epoch: context.ownership.epoch,
                task: task.number,
                attempt: task.attempts + 1,
                worker: target.worker,
                boot,
                ...size,
            },
            () => this.leaseCaller.callSoon(target.worker, performance.now()),
        );
        context.audit("task", task.request.key, "assigned", `attempt ${task.attempts + 1} to ${target.worker}`);
    }

    /** Refuses a task that would not fit on any worker, even an empty one; the reason states the largest capacities. */
    private refuseIfInfeasible(task: Task, size: TaskSize): boolean {
        const { context } = this;
        const listings = [...context.contacts.values()].map(contact => contact.listing);
        const declared = task.request;
        const needed = {
            cpus: Math.min(size.cpus, declared.cpus),
            memoryGb: Math.min(size.memoryGb, declared.memoryGb),
            accelerators: size.accelerators,
        };
        const capacities = listings.map(({ capacity }) => capacity);
        const isFeasible = capacities.some(
            each =>
                each.cpus >= needed.cpus &&
                each.memoryGb >= needed.memoryGb &&
                each.accelerators >= needed.accelerators,
        );
        if (capacities.length === 0) {
            return false;
        }
        if (isFeasible) {
            return this.refuseIfFailedEverywhere(task, size);
        }
        const reason =
            `needs ${needed.cpus} cpus, ${needed.memoryGb} GB and ${needed.accelerators} accelerators; ` +
            `the largest worker of ${context.shard} has ${Math.max(...capacities.map(each => each.cpus))}, ` +
            `${Math.max(...capacities.map(each => each.memoryGb))} and ${Math.max(...capacities.map(each => each.accelerators))}`;
        this.refuse(task, size, reason);
        return true;
    }

    /** Needed because a shard may have fewer workers than MAX_FAILED_WORKERS. */
    private refuseIfFailedEverywhere(task: Task, size: TaskSize): boolean {
        const names = [...this.context.contacts.keys()];
        const hasFailedEverywhere = names.every(name => task.failedOn.includes(name));
        if (hasFailedEverywhere) {
            this.refuse(task, size, `failed on every worker of ${this.context.shard}: ${task.failedOn.join(", ")}`);
        }
        return hasFailedEverywhere;
    }

    private refuse(task: Task, size: TaskSize, reason: string): void {
        const { context } = this;
        context.session.append({ kind: "task-refused", epoch: context.ownership.epoch, task: task.number, reason });
        context.pendingAssignments.set(task.number, { worker: "", size });
        context.audit("task", task.request.key, "refused", reason);
    }

    /** @returns Whether tasks may be placed on a worker. */
    canPlaceOn(contact: WorkerContact, now: number): boolean {
        const { listing, clock, state, trust } = contact;
        if (state !== "reachable" || clock === undefined || clock.age(now) > MAX_REPORT_AGE_MS) {
            return false;
        }
        if (!this.context.canAcceptTasks(listing, now)) {
            return false;
        }
        const isIdle = this.context.fold.tasksOn(listing.id).size === 0;
        return trust.state === "trusted" || (trust.state === "trial" && isIdle);
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
