import { StepSpec } from "../../../jobs/common/jobSpec";
import type { ActiveJob } from "./activeJob";
import type { Run } from "../runs/run";
import { LossSeries } from "../failures/lossSeries";
import { Task } from "./task";
import { TaskSuspicion } from "../failures/taskSuspicion";

/** A task that tells its job when it gets or loses a run. */
export class ActiveTask implements Task {
    readonly name: string;
    failures = 0;
    checkpoint = "";
    lastRun = 0;
    highestRun = 0;
    hasLostRun = false;
    hasOldCheckpoint = false;
    suspicion: TaskSuspicion | undefined = undefined;
    lossAgeMs = 0;
    losses: LossSeries | undefined = undefined;
    readonly failedOn = new Set<string>();
    transfers = 0;
    isElsewhere = false;
    moves = 0;
    private currentRun: Run | undefined = undefined;

    private constructor(
        readonly job: ActiveJob,
        readonly step: StepSpec,
        readonly groupKey: string,
        readonly index: number,
    ) {
        this.name = `${job.spec.id}.${groupKey}.${index}`;
    }

    /**
     * @param job Its job.
     * @param step Its step.
     * @param groupKey Key of its group, OCCURRENCE.STEP.
     * @param index Its number in the group.
     * @returns A task without a run.
     */
    static create(job: ActiveJob, step: StepSpec, groupKey: string, index: number): ActiveTask {
        return new ActiveTask(job, step, groupKey, index);
    }

    get lossesInARow(): number {
        return this.losses?.count ?? 0;
    }

    set lossesInARow(count: number) {
        this.losses = count === 0 ? undefined : LossSeries.create(count);
    }

    get run(): Run | undefined {
        return this.currentRun;
    }

    set run(run: Run | undefined) {
        this.job.recordRunChange(this.currentRun, run);
        this.currentRun = run;
    }
}
