import { withDrift } from "../../coordination/common/duration";
import { FinishedAttempt, RunningAttempt, WorkerReport } from "../../services/common/worker";
import { Attempt } from "./attempt";
import { ClassLoad } from "./interferenceModel";
import { MAX_EXCLUDED_SHARE, TASK_LEASE_MS } from "./schedulingLimits";
import { ShardContext } from "./shardContext";
import { Task } from "./task";
import { AttemptEnd } from "./taskEntry";
import { WorkerLink } from "./workerLink";

/** Follows the attempts of a shard by what workers report, and concludes how each one ended. */
export class AttemptFollower {
    private constructor(private readonly context: ShardContext) {}

    /** @param context The shard. @returns A follower. */
    static create(context: ShardContext): AttemptFollower {
        return new AttemptFollower(context);
    }

    /** Begins to follow an assignment that is in the log. @param inherited Whether an earlier owner made it. */
    follow(task: Task, inherited: boolean): void {
        if (task.assignment === undefined) {
            return;
        }
        const attempt = Attempt.create(task, task.assignment, (ended, end, result, checkpoint) =>
            this.record(ended, end, result, checkpoint),
        );
        this.context.attempts.set(task.number, attempt);
        if (inherited) {
            attempt.fire("inherit");
        }
    }

    /** Stops following an attempt whose end is in the log. */
    unfollow(task: Task): void {
        const attempt = this.context.attempts.get(task.number);
        if (attempt !== undefined && attempt.assignment.attempt !== task.assignment?.attempt) {
            this.context.attempts.delete(task.number);
        }
    }

    /** Takes in a report. @param link The worker's link, which has taken the report. @param now Time in ms. */
    read(link: WorkerLink, report: WorkerReport, now: number): void {
        const running = new Map(report.running.map(each => [`${each.task}#${each.attempt}`, each]));
        const finished = new Map(report.finished.map(each => [`${each.task}#${each.attempt}`, each]));
        const refused = new Set(report.refused.map(each => `${each.task}#${each.attempt}`));
        for (const attempt of this.on(link)) {
            const name = `${this.context.taskName(attempt.task.number)}#${attempt.assignment.attempt}`;
            this.judge(attempt, report, running.get(name), finished.get(name), refused.has(name), now);
        }
        this.learn(link, report, now);
    }

    /** Concludes on attempts of workers that cannot be reached. @param now Time in ms. */
    tick(now: number): void {
        for (const attempt of [...this.context.attempts.values()]) {
            const link = this.context.links.get(attempt.assignment.worker);
            if (attempt.state === "committed" && !this.isStartable(attempt, link, now)) {
                attempt.fire("expired");
            } else if (link?.contact !== "met" && now > this.runsUntil(attempt, link)) {
                attempt.fire("expired");
            }
        }
    }

    /** Whether an attempt that has not been sent is still wanted where it was placed. */
    private isStartable(attempt: Attempt, link: WorkerLink | undefined, now: number): boolean {
        const open = link === undefined || !this.context.isListFresh(now) || this.context.isOpen(link.listing, now);
        return attempt.task.state === "assigned" && open;
    }

    /** @returns Attempts on a worker. */
    *on(link: WorkerLink): Iterable<Attempt> {
        for (const task of this.context.fold.onWorker(link.listing.id)) {
            const attempt = this.context.attempts.get(task.number);
            if (attempt !== undefined) {
                yield attempt;
            }
        }
    }

    /**
     * @param link A worker.
     * @param now Time in ms.
     * @returns Time (ms) at which the next of its attempts is expected to end; infinite when nothing is known.
     */
    nextEnd(link: WorkerLink, now: number): number {
        return Math.min(...[...this.on(link)].map(attempt => this.expectedEnd(attempt, now)), Number.POSITIVE_INFINITY);
    }

    private expectedEnd(attempt: Attempt, now: number): number {
        const { firstSeen, progress } = attempt;
        if (firstSeen === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const made = progress - firstSeen.progress;
        if (made > 0) {
            return now + ((1 - progress) * (now - firstSeen.at)) / made;
        }
        const mean = this.context.models.durations.mean(attempt.task.request.family);
        return mean === undefined ? Number.POSITIVE_INFINITY : firstSeen.at + mean * (1 - progress);
    }

    private judge(
        attempt: Attempt,
        report: WorkerReport,
        running: RunningAttempt | undefined,
        finished: FinishedAttempt | undefined,
        refused: boolean,
        now: number,
    ): void {
        if (attempt.assignment.boot !== report.boot) {
            attempt.fire("rebooted");
        } else if (finished !== undefined) {
            attempt.fire("finished", { finished });
        } else if (running !== undefined) {
            attempt.running = running;
            attempt.firstSeen ??= { at: now, progress: running.progress };
            // An earlier owner may have granted up to a whole lease just before this report.
            attempt.leaseExpiresAt = Math.max(attempt.leaseExpiresAt, report.clock + TASK_LEASE_MS);
            attempt.fire("seen");
        } else if (refused) {
            attempt.fire("refused");
        } else {
            attempt.fire("unseen", { workerClock: report.clock });
        }
    }

    /** Time (ms) by which an attempt on an unreachable worker has certainly ended. */
    private runsUntil(attempt: Attempt, link: WorkerLink | undefined): number {
        if (link?.clock !== undefined) {
            const sameBoot = link.clock.boot === attempt.assignment.boot;
            return sameBoot ? link.clock.passedBy(attempt.leaseExpiresAt) : Number.NEGATIVE_INFINITY;
        }
        return this.context.ownership.authorityEndsAt + withDrift(TASK_LEASE_MS);
    }

    private record(attempt: Attempt, end: AttemptEnd, result: string, checkpoint: string): void {
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
        });
        context.audit("task", attempt.task.request.key, end, `attempt ${number} on ${worker}`);
        this.noteTrust(attempt, end);
    }

    private noteTrust(attempt: Attempt, end: AttemptEnd): void {
        if (end !== "done" && end !== "failed") {
            return;
        }
        const { failures } = this.context.models;
        const { family } = attempt.task.request;
        const trust = this.context.links.get(attempt.assignment.worker)?.trust;
        const now = performance.now();
        if (end === "done") {
            trust?.done(now);
            this.noteDuration(attempt, now);
        } else if (this.mayExclude()) {
            trust?.failed({ now, familyFailureRate: failures.rate(family) });
        }
        failures.note(family, end === "failed");
    }

    /** Whether another worker may be taken out; without a bound one bad family could stop a small shard. */
    private mayExclude(): boolean {
        const links = [...this.context.links.values()];
        const excluded = links.filter(link => link.trust.state !== "trusted").length;
        return links.length > 1 && excluded < Math.ceil(links.length * MAX_EXCLUDED_SHARE);
    }

    private noteDuration({ task, firstSeen }: Attempt, now: number): void {
        if (firstSeen !== undefined && firstSeen.progress < 1) {
            this.context.models.durations.note(task.request.family, (now - firstSeen.at) / (1 - firstSeen.progress));
        }
    }

    /** Usage and slowdown lag, so they are held against what ran at the time of the measurement. */
    private learn(link: WorkerLink, report: WorkerReport, now: number): void {
        const { usage, interference } = this.context.models;
        const beside = link.history.at(now - (report.clock - report.measuredAt));
        for (const each of report.running) {
            const family = this.context.fold.task(Number(each.task.split("/").at(-1)))?.request.family;
            if (family === undefined || each.cpus === 0) {
                continue;
            }
            usage.observe(family, each);
            if (beside !== undefined) {
                interference.observe(family, each.slowdown, without(beside, family));
            }
        }
    }
}

/** What ran beside one task of a family. */
function without(classes: readonly ClassLoad[], family: string): ClassLoad[] {
    return classes
        .map(each => (each.name === family ? { name: each.name, load: each.load - 1 } : each))
        .filter(each => each.load > 0);
}
