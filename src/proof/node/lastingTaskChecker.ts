import { JobSpec } from "../../jobs/common/jobSpec";
import { TrialSchedule } from "./trialSchedule";

/** Time after its last run from which a task that lasts must have another one, in ms. */
const GRACE_MS = 6_000;

/** Time that has to pass then without a run and with no disruption near, in ms. */
const MAX_CALM_GAP_MS = 3_000;

/** Checks that the tasks that last are not without a run for too long after their first one. */
export class LastingTaskChecker {
    private readonly jobs = new Set<string>();
    /** Time (ms) since which a task has been without a run. */
    private readonly endedAt = new Map<string, number>();
    /** Tasks whose present time without a run is reported. */
    private readonly reported = new Set<string>();

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
        this.reported.delete(task);
    }

    onEnd(task: string): void {
        if (this.has(task)) {
            this.endedAt.set(task, this.schedule.now);
        }
    }

    /**
     * Checks that no task is without a run for long while no disruption is near, however full the service is.
     * @param isWanted Whether nobody has cancelled a job.
     * @param calmFrom Time (ms) from which no disruption is near.
     */
    review(isWanted: (id: string) => boolean, calmFrom: number): void {
        for (const [task, endedAt] of this.endedAt) {
            const [id] = task.split(".");
            const calmMs = this.schedule.now - Math.max(endedAt + GRACE_MS, calmFrom);
            if (calmMs > MAX_CALM_GAP_MS && isWanted(id) && !this.reported.has(task)) {
                this.reported.add(task);
                const gapMs = Math.round(this.schedule.now - endedAt);
                this.report(id, `${task} is without a run for ${gapMs} ms, the last ${Math.round(calmMs)} ms in calm`);
            }
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
