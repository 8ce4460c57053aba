import { JobSpec } from "../../jobs/common/jobSpec";
import { TrialSchedule } from "./trialSchedule";

/** Checks that the tasks that last are not without a run for too long after their first one. */
export class LastingTaskChecker {
    private readonly jobs = new Set<string>();
    /** Time (ms) since which a task has been without a run. */
    private readonly endedAt = new Map<string, number>();

    private constructor(
        private readonly schedule: TrialSchedule,
        private readonly maxGapMs: number,
        private readonly report: (id: string, detail: string) => void,
    ) {}

    /**
     * @param schedule Clock of the trial.
     * @param maxGapMs Longest time for which a task may be without a run, in ms.
     * @param report Receives the job of a violation and what happened.
     * @returns A checker without observations.
     */
    static create(
        schedule: TrialSchedule,
        maxGapMs: number,
        report: (id: string, detail: string) => void,
    ): LastingTaskChecker {
        return new LastingTaskChecker(schedule, maxGapMs, report);
    }

    /** @param task Name of a task. @returns Whether it lasts. */
    has(task: string): boolean {
        return this.jobs.has(task.split(".")[0]);
    }

    /** @param id A job. @returns Whether its tasks last. */
    hasJob(id: string): boolean {
        return this.jobs.has(id);
    }

    /** Records that a job is submitted. */
    recordSubmission(job: JobSpec): void {
        if (job.steps.some(step => step.mode === "long-running")) {
            this.jobs.add(job.id);
        }
    }

    onStart(task: string): void {
        this.checkGap(task);
        this.endedAt.delete(task);
    }

    onEnd(task: string): void {
        if (this.has(task)) {
            this.endedAt.set(task, this.schedule.now);
        }
    }

    /** Checks the tasks without a run at the end of the trial. */
    finish(): void {
        [...this.endedAt.keys()].forEach(task => this.checkGap(task));
    }

    private checkGap(task: string): void {
        const endedAt = this.endedAt.get(task);
        const gapMs = endedAt === undefined ? 0 : Math.round(this.schedule.now - endedAt);
        if (gapMs > this.maxGapMs) {
            this.report(task.split(".")[0], `${task} is without a run for ${gapMs} ms`);
        }
    }
}
