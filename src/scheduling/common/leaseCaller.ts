import { AttemptId, LeaseOrder, Renewal, StartOrder } from "../../services/common/worker";
import { Attempt } from "./attempt";
import { AttemptTracker } from "./attemptTracker";
import { REPORT_INTERVAL_MS, USAGE_INTERVAL_MS, WorkerContact } from "./workerContact";
import { START_VALIDITY_MS, TASK_LEASE_MS } from "./schedulingLimits";
import { ShardContext, taskNumber } from "./shardContext";

/** Readings of a worker's clock that are older are not used to start attempts. */
const MAX_CLOCK_AGE_MS = 15_000;

/**
 * Calls the workers of a shard, with one call in flight for each; a call carries starts, renewals and acknowledgements.
 */
export class LeaseCaller {
    private constructor(
        private readonly context: ShardContext,
        private readonly tracker: AttemptTracker,
    ) {}

    /** @param context The shard. @param tracker Tracks the shard's attempts. @returns A caller. */
    static create(context: ShardContext, tracker: AttemptTracker): LeaseCaller {
        return new LeaseCaller(context, tracker);
    }

    /** Makes the calls that are due. @param now Time in ms. */
    tick(now: number): void {
        for (const contact of this.context.contacts.values()) {
            if (contact.callInFlight === undefined && now >= contact.nextCallAt) {
                this.call(contact, now);
            }
        }
    }

    /** Makes the next call to a worker due now. @param worker Name of the worker. @param now Time in ms. */
    callSoon(worker: string, now: number): void {
        const contact = this.context.contacts.get(worker);
        if (contact !== undefined) {
            contact.nextCallAt = Math.min(contact.nextCallAt, now);
        }
    }

    private call(contact: WorkerContact, now: number): void {
        const call = this.context.nextCallNumber();
        contact.callInFlight = call;
        contact.nextCallAt = now + REPORT_INTERVAL_MS;
        const isUsageDue = now >= contact.nextUsageAt;
        contact.nextUsageAt = isUsageDue ? now + USAGE_INTERVAL_MS : contact.nextUsageAt;
        this.context.outbox.emit({
            kind: "worker-call",
            worker: contact.listing.id,
            address: contact.listing.address,
            call,
            lease: {
                shard: this.context.shard,
                usage: isUsageDue,
                epoch: this.context.ownership.epoch,
                boot: contact.clock?.boot ?? "",
                starts: this.startOrders(contact, now),
                renewals: this.renewals(contact),
                acknowledged: this.acknowledgements(contact),
            },
        });
    }

    private startOrders(contact: WorkerContact, now: number): StartOrder[] {
        const { clock } = contact;
        if (
            clock === undefined ||
            clock.age(now) > MAX_CLOCK_AGE_MS ||
            contact.state !== "reachable" ||
            !this.context.canAcceptTasks(contact.listing, now)
        ) {
            return [];
        }
        const startBy = clock.minReadingAt(now) + START_VALIDITY_MS;
        return [...this.tracker.attemptsOn(contact)]
            .filter(attempt => isAwaitingStart(attempt) && attempt.assignment.boot === clock.boot)
            .map(attempt => this.startOrder(attempt, startBy, clock.reading + TASK_LEASE_MS));
    }

    private startOrder(attempt: Attempt, startBy: number, expiresAt: number): StartOrder {
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

    private renewals(contact: WorkerContact): Renewal[] {
        const { clock } = contact;
        if (clock === undefined || contact.state === "uncontacted") {
            return [];
        }
        const expiresAt = clock.reading + TASK_LEASE_MS;
        return [...this.tracker.attemptsOn(contact)]
            .filter(attempt => attempt.state === "running" && attempt.assignment.boot === clock.boot)
            .map(attempt => this.renewal(attempt, expiresAt));
    }

    private renewal(attempt: Attempt, expiresAt: number): Renewal {
        attempt.leaseExpiresAt = Math.max(attempt.leaseExpiresAt, expiresAt);
        const { task, assignment } = attempt;
        const name = this.context.taskName(task.number);
        return { task: name, attempt: assignment.attempt, expiresAt, order: orderFor(attempt) };
    }

    /** Reported ends that are in the log, so that the worker may forget them. */
    private acknowledgements(contact: WorkerContact): AttemptId[] {
        const finished = contact.report?.finished ?? [];
        return finished
            .filter(({ task, attempt }) => {
                const current = this.context.fold.task(taskNumber(task))?.assignment;
                return current?.worker !== contact.listing.id || current.attempt !== attempt;
            })
            .map(({ task, attempt }) => ({ task, attempt }));
    }
}

function isAwaitingStart(attempt: Attempt): boolean {
    const isUnreported = attempt.state === "committed" || attempt.state === "starting";
    return isUnreported && attempt.task.state === "assigned";
}

function orderFor(attempt: Attempt): LeaseOrder {
    if (attempt.task.state === "cancelling") {
        return "stop";
    }
    if (attempt.isEvicting) {
        return "checkpoint-and-stop";
    }
    return attempt.isThrottled ? "throttle" : "run";
}
