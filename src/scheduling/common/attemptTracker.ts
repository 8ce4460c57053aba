import { withDrift } from "../../coordination/common/duration";
import { FinishedAttempt, RunningAttempt, WorkerReport } from "../../services/common/worker";
import { Attempt } from "./attempt";
import { ClassLoad } from "./interferenceModel";
import { MAX_EXCLUDED_RATIO, TASK_LEASE_MS } from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { AttemptEnd } from "./taskEntry";
import { WorkerContact } from "./workerContact";

/** Tracks the attempts of a shard from the workers' reports, and determines how each one ended. */
export class AttemptTracker {
    private constructor(private readonly context: ShardContext) {}

    /** @param context The shard. @returns A tracker without attempts. */
    static create(context: ShardContext): AttemptTracker {
        return new AttemptTracker(context);
    }

    /** Starts tracking an assignment that is in the log. @param isInherited Whether an earlier owner made it. */
    track(task: Task, isInherited: boolean): void {
        if (task.assignment === undefined) {
            return;
        }
        const attempt = Attempt.create(task, task.assignment, (ended, end, result, checkpoint) =>
            this.recordEnd(ended, end, result, checkpoint),
        );
        this.context.attempts.set(task.number, attempt);
        if (isInherited) {
            attempt.fire("inherit");
        }
    }

    /** Stops tracking an attempt whose end is in the log. */
    untrack(task: Task): void {
        const attempt = this.context.attempts.get(task.number);
        if (attempt !== undefined && attempt.assignment.attempt !== task.assignment?.attempt) {
            this.context.attempts.delete(task.number);
        }
    }

    /**
     * Updates the attempts on a worker.
     * @param contact The worker, already updated with the report.
     * @param now Time in ms.
     */
    applyReport(contact: WorkerContact, report: WorkerReport, now: number): void {
        const running = new Map(report.running.map(each => [`${each.task}#${each.attempt}`, each]));
        const finished = new Map(report.finished.map(each => [`${each.task}#${each.attempt}`, each]));
        const refused = new Set(report.refused.map(each => `${each.task}#${each.attempt}`));
        for (const attempt of this.attemptsOn(contact)) {
            const name = `${this.context.taskName(attempt.task.number)}#${attempt.assignment.attempt}`;
            this.updateAttempt(attempt, report, running.get(name), finished.get(name), refused.has(name), now);
        }
        this.updateModels(contact, report, now);
    }

    /** Expires unsent attempts that must not start, and attempts on unreachable workers. @param now Time in ms. */
    tick(now: number): void {
        for (const attempt of [...this.context.attempts.values()]) {
            const contact = this.context.contacts.get(attempt.assignment.worker);
            if (attempt.state === "committed" && !this.isStartable(attempt, contact, now)) {
                attempt.fire("expired");
            } else if (contact?.state !== "reachable" && now > this.latestPossibleEnd(attempt, contact)) {
                attempt.fire("expired");
            }
        }
    }

    /** Whether an unsent attempt may still start on its worker. */
    private isStartable(attempt: Attempt, contact: WorkerContact | undefined, now: number): boolean {
        const canReceive =
            contact === undefined ||
            !this.context.isDiscoveryFresh(now) ||
            this.context.canAcceptTasks(contact.listing, now);
        return attempt.task.state === "assigned" && canReceive;
    }

    /** @returns Tracked attempts on a worker. */
    *attemptsOn(contact: WorkerContact): Iterable<Attempt> {
        for (const task of this.context.fold.tasksOn(contact.listing.id)) {
            const attempt = this.context.attempts.get(task.number);
            if (attempt !== undefined) {
                yield attempt;
            }
        }
    }

    /**
     * @param contact A worker.
     * @param now Time in ms.
     * @returns Earliest expected end (ms) of its attempts; infinite when there is no estimate.
     */
    nextExpectedEnd(contact: WorkerContact, now: number): number {
        return Math.min(
            ...[...this.attemptsOn(contact)].map(attempt => this.expectedEnd(attempt, now)),
            Number.POSITIVE_INFINITY,
        );
    }

    private expectedEnd(attempt: Attempt, now: number): number {
        const { firstReport, progress } = attempt;
        if (firstReport === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const progressMade = progress - firstReport.progress;
        if (progressMade > 0) {
            return now + ((1 - progress) * (now - firstReport.at)) / progressMade;
        }
        const mean = this.context.models.durations.mean(attempt.task.request.family);
        return mean === undefined ? Number.POSITIVE_INFINITY : firstReport.at + mean * (1 - progress);
    }

    private updateAttempt(
        attempt: Attempt,
        report: WorkerReport,
        running: RunningAttempt | undefined,
        finished: FinishedAttempt | undefined,
        isRefused: boolean,
        now: number,
    ): void {
        if (attempt.assignment.boot !== report.boot) {
            attempt.fire("rebooted");
        } else if (finished !== undefined) {
            attempt.fire("finished", { finished });
        } else if (running !== undefined) {
            attempt.recordRunning(running, report.clock, now);
            // An earlier owner may have granted a full lease just before this report.
            attempt.leaseExpiresAt = Math.max(attempt.leaseExpiresAt, report.clock + TASK_LEASE_MS);
            attempt.fire("reported");
        } else if (isRefused) {
            attempt.fire("refused");
        } else {
            attempt.fire("missing", { workerClock: report.clock });
        }
    }

    /** Time (ms) at which the lease of an attempt on an unreachable worker has certainly expired. */
    private latestPossibleEnd(attempt: Attempt, contact: WorkerContact | undefined): number {
        if (contact?.clock !== undefined) {
            const isSameBoot = contact.clock.boot === attempt.assignment.boot;
            return isSameBoot ? contact.clock.latestTimeOf(attempt.leaseExpiresAt) : Number.NEGATIVE_INFINITY;
        }
        return this.context.ownership.authorityEndsAt + withDrift(TASK_LEASE_MS);
    }

    private recordEnd(attempt: Attempt, end: AttemptEnd, result: string, checkpoint: string): void {
        const { context } = this;
        const { worker, attempt: number } = attempt.assignment;
        context.session.append({
            kind: "attempt-ended",
            epoch: context.ownership.epoch,
            task: attempt.task.number,
            attempt: number,
            end,
            result,
            checkpoint,
            workedMs: attempt.workedMs,
        });
        context.audit("task", attempt.task.request.key, end, `attempt ${number} on ${worker}`);
        this.updateTrust(attempt, end);
    }

    private updateTrust(attempt: Attempt, end: AttemptEnd): void {
        if (end !== "done" && end !== "failed") {
            return;
        }
        const { failures } = this.context.models;
        const { family } = attempt.task.request;
        const trust = this.context.contacts.get(attempt.assignment.worker)?.trust;
        const now = performance.now();
        if (end === "done") {
            trust?.recordSuccess(now);
            this.recordDuration(attempt, now);
        } else if (this.canExclude()) {
            trust?.recordFailure({ now, familyFailureRate: failures.rate(family) });
        }
        failures.record(family, end === "failed");
    }

    /** Whether another worker may be excluded; without a bound, one failing family could disable a small shard. */
    private canExclude(): boolean {
        const contacts = [...this.context.contacts.values()];
        const excluded = contacts.filter(contact => contact.trust.state !== "trusted").length;
        return contacts.length > 1 && excluded < Math.ceil(contacts.length * MAX_EXCLUDED_RATIO);
    }

    private recordDuration({ task, firstReport }: Attempt, now: number): void {
        if (firstReport !== undefined && firstReport.progress < 1) {
            this.context.models.durations.record(
                task.request.family,
                (now - firstReport.at) / (1 - firstReport.progress),
            );
        }
    }

    /** Usage and slowdown lag, so they are attributed to what ran at the time of the measurement. */
    private updateModels(contact: WorkerContact, report: WorkerReport, now: number): void {
        const { usage, interference } = this.context.models;
        const colocated = contact.history.at(now - (report.clock - report.measuredAt));
        for (const each of report.running) {
            const family = this.context.fold.task(Number(each.task.split("/").at(-1)))?.request.family;
            if (family === undefined || each.cpus === 0) {
                continue;
            }
            usage.observe(family, each);
            if (colocated !== undefined) {
                interference.observe(family, each.slowdown, excludeOneTask(colocated, family));
            }
        }
    }
}

/** The load without one task of a family. */
function excludeOneTask(classes: readonly ClassLoad[], family: string): ClassLoad[] {
    return classes
        .map(each => (each.name === family ? { name: each.name, load: each.load - 1 } : each))
        .filter(each => each.load > 0);
}
