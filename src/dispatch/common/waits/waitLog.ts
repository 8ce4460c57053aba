import { Disposable } from "../../../base/common/disposable";
import { DisposableStore } from "../../../base/common/disposableStore";
import { ActiveJob } from "../jobs/activeJob";
import { IdleReporter } from "./idleReporter";
import { StartAdmission } from "../runs/startAdmission";
import { StepQueue } from "./stepQueue";
import { LogDecision, ViewController } from "../scheduler/viewController";

/** Logs which jobs and tasks wait or stand still, and why. */
export class WaitLog implements Disposable {
    private readonly resources = DisposableStore.create();
    private readonly idleReporter = IdleReporter.create();

    private constructor(queue: StepQueue, admission: StartAdmission, views: ViewController, log: LogDecision) {
        this.resources.add(
            queue.onDidWait(report =>
                log("job-waits", { ...report, ...admission.latestCounts, delayMs: views.loggedDelayMs }),
            ),
        );
        this.resources.add(queue.onDidPlace(report => log("rack-placements", { ...report })));
        this.resources.add(queue.onDidLastingWait(report => log("lasting-tasks-wait", { ...report })));
        this.resources.add(this.idleReporter.onDidReview(report => log("jobs-idle", { ...report })));
    }

    /**
     * @param queue Reports the tasks that wait.
     * @param admission Knows which workers were left out of the latest pass.
     * @param views Knows how late the leader is.
     * @param log Logs a line.
     * @returns The log, which follows the queue until it is disposed of.
     */
    static create(queue: StepQueue, admission: StartAdmission, views: ViewController, log: LogDecision): WaitLog {
        return new WaitLog(queue, admission, views, log);
    }

    /** Reviews the jobs after a pass. @param jobs Active jobs. @param now Time in ms. */
    review(jobs: Iterable<ActiveJob>, now: number): void {
        this.idleReporter.review(jobs, now);
    }

    dispose(): void {
        this.resources.dispose();
    }
}
