import { Emitter } from "../../../base/common/emitter";
import { TaskGroup } from "../jobs/activeJob";
import { Obstacle, Placer } from "../placement/placer";
import { Task } from "../jobs/task";
import { WaitConditions } from "./waitController";

/** Time for which a job must have waited with a step that is ready and no run before it is reported, in ms. */
const MIN_WAIT_MS = 2_000;

/** Interval between two reports of the same step, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** Interval between reviews, in ms. */
const REVIEW_INTERVAL_MS = 500;

/** Limit of the reports of one review, since each visits all workers. */
const MAX_REPORTS_PER_REVIEW = 16;

/** Why a job waits: the number of usable workers by what keeps them from running its next task at full speed. */
export interface WaitReport extends WaitConditions, Readonly<Record<Obstacle, number>> {
    readonly task: string;
    /** Time for which the step has waited, in ms. */
    readonly waitedMs: number;
    /** Number of tasks of the step that wait. */
    readonly waiting: number;
    /** Usable workers of all services that accept other tasks. */
    readonly workers: number;
    /** Age of the oldest estimate of interference that is in the way, in ms, if one with reports is. */
    readonly oldestEstimateMs: number | undefined;
}

/** Tasks of one step that wait. */
export interface WaitingTasks {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    readonly service: string;
    /** Time for which it has waited without any run of its job, in ms. */
    readonly waitedMs: number;
}

/** Reports the jobs that have nothing running although a step is ready, with the reasons. */
export class WaitReporter {
    private readonly reportedAt = new WeakMap<TaskGroup, number>();
    private nextReviewAt = 0;
    private readonly didWait = Emitter.create<WaitReport>();
    /** Fires for each report. */
    readonly onDidWait = this.didWait.event;

    private constructor() {}

    /** @returns A reporter that has seen no job. */
    static create(): WaitReporter {
        return new WaitReporter();
    }

    /** @param now Time in ms. @returns Whether a review is due. */
    isDue(now: number): boolean {
        return now >= this.nextReviewAt;
    }

    /**
     * Reviews the steps that were ready in a pass, if a review is due.
     * @param waiting The steps, the most urgent first. Some of their tasks may have been placed in the pass.
     * @param placer Placer of the pass.
     * @param conditionsOf Returns how the waiting jobs of a service are judged.
     * @param now Time in ms.
     */
    review(
        waiting: readonly WaitingTasks[],
        placer: Placer,
        conditionsOf: (service: string) => WaitConditions,
        now: number,
    ): void {
        if (!this.isDue(now)) {
            return;
        }
        this.nextReviewAt = now + REVIEW_INTERVAL_MS;
        let reports = 0;
        for (const { group, tasks, service, waitedMs } of waiting) {
            const [task] = tasks;
            const isDue = now - (this.reportedAt.get(group) ?? -Infinity) >= REPORT_INTERVAL_MS;
            if (waitedMs >= MIN_WAIT_MS && isDue && reports < MAX_REPORTS_PER_REVIEW && !task.job.hasRun) {
                reports += 1;
                this.reportedAt.set(group, now);
                const obstacles = placer.countObstacles(task, service);
                const { workerCount: workers } = placer;
                const oldestEstimateMs = placer.oldestEstimateMs(task, service, now);
                this.didWait.fire({
                    task: task.name,
                    waitedMs: Math.round(waitedMs),
                    waiting: tasks.length,
                    ...conditionsOf(service),
                    workers,
                    oldestEstimateMs,
                    ...obstacles,
                });
            }
        }
    }
}
