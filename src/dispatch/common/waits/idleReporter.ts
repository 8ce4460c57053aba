import { Emitter } from "../../../base/common/emitter";
import { isFinal } from "../../../jobs/common/jobTable";
import { ActiveJob } from "../jobs/activeJob";
import { isAtWork } from "./waitTable";

/** Interval between two reviews, in ms, since each visits all tasks of the jobs. */
const REVIEW_INTERVAL_MS = 500;

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** What a job of short tasks does: it has a run at work, only runs at speed 0, or none although a step is ready. */
type JobActivity = "working" | "paused" | "idle";

/** Activities in which a job makes no progress. */
type Standstill = Exclude<JobActivity, "working">;

interface ActivityRecord {
    readonly activity: JobActivity;
    readonly since: number;
}

/** The longest standstill of one kind since the latest report. */
interface LongestStandstill {
    readonly job: string;
    readonly ms: number;
}

/** Jobs of short tasks that make no progress; the longest times are those since the latest report, in ms. */
export interface IdleReport {
    /** Jobs with a step that is ready, and how many of them have no run at work, or only runs at speed 0. */
    readonly jobs: number;
    readonly idle: number;
    readonly paused: number;
    readonly idleMs: number | undefined;
    readonly idleJob: string | undefined;
    readonly pausedMs: number | undefined;
    readonly pausedJob: string | undefined;
}

/** Reports the jobs that have nothing at work, apart from those whose runs are all throttled to 0. */
export class IdleReporter {
    private readonly records = new WeakMap<ActiveJob, ActivityRecord>();
    private readonly longest = new Map<Standstill, LongestStandstill>();
    private readonly didReview = Emitter.create<IdleReport>();
    /** Fires for each report. */
    readonly onDidReview = this.didReview.event;
    private nextReviewAt = 0;
    private nextReportAt = 0;

    private constructor() {}

    /** @returns A reporter that has seen no job. */
    static create(): IdleReporter {
        return new IdleReporter();
    }

    /** Reviews the jobs if a review is due. @param jobs Active jobs. @param now Time in ms. */
    review(jobs: Iterable<ActiveJob>, now: number): void {
        if (now < this.nextReviewAt) {
            return;
        }
        this.nextReviewAt = now + REVIEW_INTERVAL_MS;
        const counts: Record<JobActivity, number> = { working: 0, paused: 0, idle: 0 };
        for (const job of jobs) {
            const activity = activityOf(job, now);
            if (activity !== undefined) {
                counts[activity] += 1;
                this.record(job, activity, now);
            }
        }
        if (now >= this.nextReportAt && counts.idle + counts.paused > 0) {
            this.nextReportAt = now + REPORT_INTERVAL_MS;
            this.report(counts);
        }
    }

    private record(job: ActiveJob, activity: JobActivity, now: number): void {
        const known = this.records.get(job);
        const current = known?.activity === activity ? known : { activity, since: now };
        this.records.set(job, current);
        const ms = now - Math.max(current.since, activity === "idle" ? (job.lastEndAt ?? 0) : 0);
        if (activity !== "working" && ms >= (this.longest.get(activity)?.ms ?? 0)) {
            this.longest.set(activity, { job: job.spec.id, ms });
        }
    }

    private report(counts: Readonly<Record<JobActivity, number>>): void {
        const idle = this.longest.get("idle");
        const paused = this.longest.get("paused");
        this.longest.clear();
        this.didReview.fire({
            jobs: counts.working + counts.paused + counts.idle,
            idle: counts.idle,
            paused: counts.paused,
            idleMs: idle && Math.round(idle.ms),
            idleJob: idle?.job,
            pausedMs: paused && Math.round(paused.ms),
            pausedJob: paused?.job,
        });
    }
}

/** @returns What a job does, or `undefined` if it has finished, lasts, or waits for nothing but its next occurrence. */
function activityOf(job: ActiveJob, now: number): JobActivity | undefined {
    if (isFinal(job.state) || job.isLongRunning) {
        return undefined;
    }
    if (![...job.groups].some(group => !group.done.isFull && job.isReady(group))) {
        return undefined;
    }
    const runs = job.runsLike(run => isAtWork(run, now));
    return runs.length === 0 ? "idle" : runs.every(run => run.isPaused) ? "paused" : "working";
}
