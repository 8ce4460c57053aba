import { AttemptName, LeaseOrder, Renewal, StartOrder } from "../../services/common/worker";
import { Attempt } from "./attempt";
import { AttemptFollower } from "./attemptFollower";
import { REPORT_INTERVAL_MS, USAGE_INTERVAL_MS, WorkerLink } from "./workerLink";
import { START_WINDOW_MS, TASK_LEASE_MS } from "./schedulingLimits";
import { ShardContext, taskNumber } from "./shardContext";

/** Age of a clock reading above which nothing is started on its strength, in ms. */
const MAX_CLOCK_AGE_MS = 15_000;

/** Calls each worker of a shard in turn, one call at a time: starts, renewals and acknowledgements together. */
export class LeaseCaller {
    private constructor(
        private readonly context: ShardContext,
        private readonly follower: AttemptFollower,
    ) {}

    /** @param context The shard. @param follower Follows the shard's attempts. @returns A caller. */
    static create(context: ShardContext, follower: AttemptFollower): LeaseCaller {
        return new LeaseCaller(context, follower);
    }

    /** Makes the calls that are due. @param now Time in ms. */
    tick(now: number): void {
        for (const link of this.context.links.values()) {
            if (link.outstanding === undefined && now >= link.nextCallAt) {
                this.call(link, now);
            }
        }
    }

    /** Asks for a call as soon as possible. @param worker Name of the worker. */
    hurry(worker: string, now: number): void {
        const link = this.context.links.get(worker);
        if (link !== undefined) {
            link.nextCallAt = Math.min(link.nextCallAt, now);
        }
    }

    private call(link: WorkerLink, now: number): void {
        const call = this.context.nextCall();
        link.outstanding = call;
        link.nextCallAt = now + REPORT_INTERVAL_MS;
        const usage = now >= link.nextUsageAt;
        link.nextUsageAt = usage ? now + USAGE_INTERVAL_MS : link.nextUsageAt;
        this.context.outbox.emit({
            kind: "worker-call",
            worker: link.listing.id,
            address: link.listing.address,
            call,
            lease: {
                shard: this.context.shard,
                usage,
                epoch: this.context.ownership.epoch,
                boot: link.clock?.boot ?? "",
                starts: this.starts(link, now),
                renewals: this.renewals(link),
                acknowledged: this.acknowledged(link),
            },
        });
    }

    private starts(link: WorkerLink, now: number): StartOrder[] {
        const { clock } = link;
        if (
            clock === undefined ||
            clock.age(now) > MAX_CLOCK_AGE_MS ||
            link.contact !== "met" ||
            !this.context.isOpen(link.listing, now)
        ) {
            return [];
        }
        const startBy = clock.estimate(now) + START_WINDOW_MS;
        return [...this.follower.on(link)]
            .filter(attempt => isToStart(attempt) && attempt.assignment.boot === clock.boot)
            .map(attempt => this.start(attempt, startBy, clock.reading + TASK_LEASE_MS));
    }

    private start(attempt: Attempt, startBy: number, expiresAt: number): StartOrder {
        attempt.startBy = startBy;
        attempt.leaseExpiresAt = Math.max(attempt.leaseExpiresAt, expiresAt);
        attempt.fire("sent");
        const { task, assignment } = attempt;
        return {
            task: this.context.taskName(task.number),
            attempt: assignment.attempt,
            startBy,
            expiresAt,
            family: task.request.family,
            payload: task.request.payload,
            checkpoint: task.checkpoint,
            cpus: assignment.cpus,
            memoryGb: assignment.memoryGb,
            accelerators: assignment.accelerators,
        };
    }

    private renewals(link: WorkerLink): Renewal[] {
        const { clock } = link;
        if (clock === undefined || link.contact === "unmet") {
            return [];
        }
        const expiresAt = clock.reading + TASK_LEASE_MS;
        return [...this.follower.on(link)]
            .filter(attempt => attempt.state === "running" && attempt.assignment.boot === clock.boot)
            .map(attempt => this.renewal(attempt, expiresAt));
    }

    private renewal(attempt: Attempt, expiresAt: number): Renewal {
        attempt.leaseExpiresAt = Math.max(attempt.leaseExpiresAt, expiresAt);
        const { task, assignment } = attempt;
        const name = this.context.taskName(task.number);
        return { task: name, attempt: assignment.attempt, expiresAt, order: orderFor(attempt) };
    }

    /** An end may be forgotten by the worker once it is in the log. */
    private acknowledged(link: WorkerLink): AttemptName[] {
        const finished = link.report?.finished ?? [];
        return finished
            .filter(({ task, attempt }) => {
                const live = this.context.fold.task(taskNumber(task))?.assignment;
                return live?.worker !== link.listing.id || live.attempt !== attempt;
            })
            .map(({ task, attempt }) => ({ task, attempt }));
    }
}

function isToStart(attempt: Attempt): boolean {
    const unsent = attempt.state === "committed" || attempt.state === "starting";
    return unsent && attempt.task.state === "assigned";
}

function orderFor(attempt: Attempt): LeaseOrder {
    if (attempt.task.state === "cancelling") {
        return "stop";
    }
    if (attempt.evicting) {
        return "checkpoint-and-stop";
    }
    return attempt.throttled ? "throttle" : "run";
}
