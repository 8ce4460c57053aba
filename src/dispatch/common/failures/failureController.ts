import { isFinal } from "../../../jobs/common/jobTable";
import { QueueTable } from "../../../jobs/common/queueTable";
import { ActiveJob } from "../jobs/activeJob";
import { CutDetector, WorkerLoss } from "./cutDetector";
import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { LossRate } from "./lossRate";
import { Run } from "../runs/run";
import { SharedLoss, SharedLossTable, startUnitOf } from "./sharedLossTable";
import { hasOneLoss, MAX_LOSSES_IN_A_ROW, SuspectTable } from "./suspectTable";
import { isFinishedBy, Task } from "../jobs/task";
import { TaskSuspicion } from "./taskSuspicion";
import { WorkerContact } from "../workers/workerContact";
import { WorkerLossCause } from "../workers/workerPool";

/** Age from which a run that is lost with its worker is no longer suspected of being the cause, in ms. */
const MAX_SUSPECT_AGE_MS = 3_000;

/** Number of losses in a row that count although another task was accused of them again: one accusation may be wrong. */
const MAX_EXPLAINED_LOSSES = 1;

/** Age from which a run that is lost does not count as one in a row, in ms: long-running tasks are all lost some time. */
const MAX_COUNTED_AGE_MS = 10_000;

/**
 * Shortest time for which a loss of the worker is attributed to a start, in ms: until a report shows that the worker has survived
 * it.
 */
const ATTRIBUTION_MS = 1_000;

/** Time before a leader inherits a run for which its worker may have had it unsurvived, in ms: until a change of leader is over. */
const INHERITED_ATTRIBUTION_MS = 3_000;

/**
 * Probability of a loss being a coincidence above which a loss that was shared with tasks that are cleared is no evidence against
 * the only one that remains: while many workers are lost, such losses are too frequent.
 */
const MAX_ATTRIBUTED_COINCIDENCE = 0.05;

/** Time after a loss for which no task starts on its last attempt while workers are lost often, in ms: the next one may follow. */
const LAST_ATTEMPT_HOLD_MS = 3_000;

/** The loss of a worker, with the evidence that it gave. */
interface ReviewedLoss extends WorkerLoss {
    /** Its suspects against which there was no evidence before. */
    readonly firstSuspects: readonly Task[];
    /** The loss as it is shared by several suspects, if it is. */
    shared?: SharedLoss;
    /** Whether it counts as a loss for no known cause. */
    isCounted: boolean;
}

/** Number of losses in a row from which the loss of a task's worker is evidence also if many workers were lost with it. */
const MIN_LOSSES_OF_ITS_OWN = 2;

/** Host of a failure controller. */
export abstract class FailureHost {
    /** Called when a job has failed. @param data Why it has failed. */
    abstract onJobFailed(job: ActiveJob, data: DecisionData): void;

    /** Called when the evidence against a task of a job has changed and has to be recorded. */
    abstract onSuspicionChange(job: ActiveJob): void;

    /** Adds a line to the decision log. */
    abstract logDecision(name: DecisionName, data: DecisionData): void;
}

/**
 * Decides when a task is given up: when it has failed too often, or crashes the workers that start it.
 *
 * A worker that crashes reports no end, so such a task would otherwise be started without limit. Of the runs that are
 * lost with a worker, those whose start it has not survived for long are suspected. Each suspected task is started again
 * on a worker that starts nothing else meanwhile (`ProbationPlacer`). There it is cleared when the worker survives it,
 * and accused when the worker is lost; how many such losses convict it depends on how often workers are lost otherwise
 * (`LossRate`). Evidence about one of the tasks that shared a lost worker counts for the others, too (`SharedLossTable`). A task that crashes its workers after some time is cleared each time, so the losses in a row are counted,
 * too, and the last run before it would be given up for them has a worker for itself.
 */
export class FailureController {
    private readonly lossRate = LossRate.create();
    private readonly sharedLosses = SharedLossTable.create();
    private readonly cuts = CutDetector.create<ReviewedLoss>();
    /** Time (ms) of the latest measurement. */
    private now: number | undefined;
    /** Time (ms) at which the latest worker was lost for no known cause. */
    private lostAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly queues: QueueTable,
        private readonly suspects: SuspectTable,
        private readonly host: FailureHost,
    ) {}

    /**
     * @param queues Queues as configured.
     * @param suspects Receives the suspected tasks.
     * @param host Notified of failed jobs and of changes to record.
     * @returns The controller.
     */
    static create(queues: QueueTable, suspects: SuspectTable, host: FailureHost): FailureController {
        return new FailureController(queues, suspects, host);
    }

    /**
     * Counts a run that ended with `failed`.
     * @param task Its task.
     * @param run Number of the run; one that was counted before has no effect.
     * @param worker Worker on which it failed, if known.
     */
    recordFailure(task: Task, run: number, worker: WorkerContact | undefined): void {
        if (run <= task.lastRun) {
            return;
        }
        task.lastRun = run;
        task.failures += 1;
        this.clearLosses(task);
        this.clear(task);
        if (worker !== undefined) {
            task.failedOn.add(worker.entry.id);
        }
        const { maxAttempts } = this.queues.latestSettings(task.job.spec.queue);
        if (task.step.mode !== "long-running" && task.failures >= maxAttempts) {
            this.failJob(task, { task: task.name, failures: task.failures });
        }
    }

    /**
     * Handles the loss of a worker.
     * @param worker The worker.
     * @param lostRuns Runs that were lost with it. Those that were paused are no evidence against their tasks. Those whose
     * start the worker may not have got count as losses in a row only, which bounds the starts of a task that crashes its workers
     * before they answer.
     * @param cause How it was lost.
     */
    reviewLoss(worker: WorkerContact, lostRuns: readonly Run[], cause: WorkerLossCause): void {
        const runs = lostRuns.filter(run => !run.isPauseProven);
        const started = runs.filter(run => worker.canHaveStarted(run));
        const recent = started.filter(run => !run.isProven && canBeSuspected(run));
        const unproven = namesOf(recent);
        const unanswered = namesOf(runs.filter(run => !started.includes(run)));
        const silentMs = this.now === undefined ? undefined : worker.silentMs(this.now);
        const lease = { leaseBasis: worker.leaseBasis, silentMs };
        const data = { worker: worker.entry.id, cause, runs: lostRuns.length, ...lease, unproven, unanswered };
        this.host.logDecision("worker-lost", data);
        const isEarly = (run: Run) => run.provenAgeMs <= MAX_SUSPECT_AGE_MS && canBeSuspected(run);
        const candidates = mostLikely(recent.length > 0 ? recent : started.filter(isEarly));
        const loss = this.createLoss(worker, candidates);
        const isCut = worker.heardAt !== undefined && this.reviewCut(loss);
        const suspects = isCut ? candidates.filter(run => hasOwnEvidence(run.task)) : candidates;
        // If the worker had survived all starts, this loss alone is no evidence against any of them.
        const isAlone = recent.length > 0 && new Set(suspects.map(run => startUnitOf(run.task))).size === 1;
        const withinMs = Math.max(ATTRIBUTION_MS, ...suspects.map(run => this.attributionMs(run, worker, cause)));
        suspects.forEach(run => this.accuse(run.task, worker.entry.id, isAlone, withinMs));
        // A worker whose lease expired may only have been out of reach.
        if (recent.length > 0 && !isCut && !isAlone && cause !== "lease-expired") {
            loss.shared = this.sharedLosses.add(
                suspects.map(run => run.task),
                withinMs,
            );
        }
        const culprits = new Set(suspects.filter(run => run.task.suspicion?.isAccusedAgain === true));
        if (!isCut && ![...culprits].some(run => run.task.suspicion?.state === "convicted")) {
            this.lossRate.recordLoss();
            loss.isCounted = true;
            // The lease of a worker that is silent expires long after the loss.
            this.lostAt = cause === "lease-expired" ? this.lostAt : (this.now ?? this.lostAt);
        }
        for (const run of runs) {
            run.task.lossAgeMs = isEarly(run) && !isCut ? run.provenAgeMs : 0;
            this.countLoss(run, culprits.size > 0 && !culprits.has(run));
            this.host.onSuspicionChange(run.task.job);
        }
    }

    private createLoss(worker: WorkerContact, suspects: readonly Run[]): ReviewedLoss {
        const now = this.now ?? 0;
        const tasks = suspects.map(run => run.task);
        return {
            worker: worker.entry.id,
            heardAt: worker.heardAt ?? now,
            silentBy: worker.silentBy(now),
            jobs: new Set(tasks.map(task => task.job)),
            firstSuspects: tasks.filter(task => task.suspicion?.recorded === undefined && task.lossesInARow === 0),
            isCounted: false,
        };
    }

    /** @returns Whether many workers were lost at the same moment. Then the suspicions of the earlier ones are taken back. */
    private reviewCut(loss: ReviewedLoss): boolean {
        const cut = this.cuts.add(loss);
        const counted = cut.filter(each => each.isCounted);
        this.lossRate.discountLosses(counted.length);
        for (const each of counted) {
            each.isCounted = false;
            if (each.shared !== undefined) {
                this.sharedLosses.delete(each.shared);
            }
            each.firstSuspects.filter(hasOneLoss).forEach(task => this.clear(task));
        }
        if (counted.length > 0) {
            this.host.logDecision("workers-cut", {
                worker: loss.worker,
                workers: new Set(cut.map(each => each.worker)).size,
            });
        }
        return cut.length > 0;
    }

    /** Records that a run of a task has ended as `done`: its worker has survived it. */
    recordSuccess(task: Task): void {
        if (!isFinishedBy(task, "done")) {
            this.clearLosses(task);
            this.clear(task);
        }
        this.attributeSharedLosses(task);
    }

    /** Reviews a task of earlier leaders, or of another shard's: that may have given it up, and left its job to this one. */
    reviewEvidence(task: Task): void {
        if (!task.job.isGuest && task.lossesInARow >= MAX_LOSSES_IN_A_ROW) {
            this.failJob(task, { task: task.name, reason: "crashes-workers", losses: task.lossesInARow });
            this.host.onSuspicionChange(task.job);
        }
        this.suspects.update(task);
    }

    /** Measures how many workers are at work. @param workers Number of workers with runs. @param now Time in ms. */
    recordUptime(workers: number, now: number): void {
        this.now = now;
        this.lossRate.recordUptime(workers, now);
        this.cuts.recordUptime(workers, now);
        this.suspects.holdsLastAttempts = this.lossRate.isHigh && now - this.lostAt < LAST_ATTEMPT_HOLD_MS;
    }

    /** Records that runs are started. */
    recordStarts(runs: readonly Run[]): void {
        this.cuts.recordStarts(runs.filter(each => each.record.run === 1).length);
    }

    /** Clears the suspected tasks whose start the worker has survived, after a list of the worker. */
    reviewSurvival(worker: WorkerContact): void {
        for (const run of worker.runs.values()) {
            const { task } = run;
            if (task.lossesInARow > 0 && run.provenAgeMs > MAX_COUNTED_AGE_MS) {
                this.clearLosses(task);
                this.host.onSuspicionChange(task.job);
            }
            if ((task.lossAgeMs > 0 || task.suspicion !== undefined) && run.isProven) {
                this.clear(task);
            }
        }
    }

    /**
     * Counts a loss as one in a row. Left out are losses that accused tasks explain, but for the first: one explanation
     * may be wrong.
     */
    private countLoss({ task, provenAgeMs }: Run, isExplained: boolean): void {
        task.explainedLosses += isExplained ? 1 : 0;
        if (isExplained && task.explainedLosses > MAX_EXPLAINED_LOSSES) {
            return;
        }
        if (provenAgeMs > MAX_COUNTED_AGE_MS) {
            this.clearLosses(task);
        } else {
            task.lossesInARow += 1;
        }
        if (task.lossesInARow >= MAX_LOSSES_IN_A_ROW) {
            this.giveUp(task, { losses: task.lossesInARow });
        }
        this.suspects.update(task);
    }

    private clearLosses(task: Task): void {
        task.lossesInARow = 0;
        task.explainedLosses = 0;
        this.suspects.update(task);
    }

    /**
     * @returns Time for which the loss of a worker counts against a start that no report has shown to be survived, in ms. A worker
     * that does not answer may be lost at any time until the loss is known, or until nothing listens at its address.
     */
    private attributionMs(run: Run, worker: WorkerContact, cause: WorkerLossCause): number {
        const now = this.now ?? run.assignedAt;
        const lostBy = cause === "lease-expired" ? now : Math.min(now, worker.refusedAt ?? now);
        const beforeMs = run.isInherited && this.now !== undefined ? INHERITED_ATTRIBUTION_MS : 0;
        return Math.max(ATTRIBUTION_MS + run.task.lossAgeMs, beforeMs + lostBy - run.assignedAt);
    }

    /**
     * @param worker The worker that was lost, or `undefined` for one of which all other tasks have been cleared since.
     * @param withinMs Time within which it was lost, in ms.
     */
    private accuse(task: Task, worker: string | undefined, isAlone: boolean, withinMs: number): void {
        if (isFinal(task.job.state)) {
            return;
        }
        task.suspicion ??= TaskSuspicion.create();
        const coincidence = this.lossRate.probabilityWithin(withinMs);
        task.suspicion.fire(isAlone ? "lost-alone" : "lost-with-others", { withinMs, rate: this.lossRate });
        const { state } = task.suspicion;
        const data = { task: task.name, worker, state, coincidence: coincidence.toFixed(3) };
        this.host.logDecision("task-suspected", data);
        if (state === "convicted") {
            this.giveUp(task, {});
        }
        this.suspects.update(task);
        this.host.onSuspicionChange(task.job);
        if (isAlone) {
            this.sharedLosses.attributeTo(task).forEach(each => this.clearIfSuspected(each));
        }
    }

    private clear(task: Task): void {
        task.lossAgeMs = 0;
        if (task.suspicion?.recorded === undefined) {
            return;
        }
        task.suspicion.fire("survived");
        this.suspects.update(task);
        this.host.logDecision("task-cleared", { task: task.name });
        this.host.onSuspicionChange(task.job);
        this.attributeSharedLosses(task);
    }

    /** Clears a task whose only loss an accused task explains. */
    private clearIfSuspected(task: Task): void {
        if (task.suspicion?.state === "suspected" && hasOneLoss(task)) {
            this.clear(task);
        }
    }

    /** Attributes the losses that a task shared with others and did not cause to the only one of them that remains. */
    private attributeSharedLosses(innocent: Task): void {
        const isUnlikely = this.lossRate.probabilityWithin(ATTRIBUTION_MS) <= MAX_ATTRIBUTED_COINCIDENCE;
        for (const { task, withinMs } of this.sharedLosses.clear(innocent)) {
            if (task.suspicion?.state === "suspected" && isUnlikely) {
                this.accuse(task, undefined, true, withinMs);
            }
        }
    }

    /** Gives up a task that crashes its workers. */
    private giveUp(task: Task, data: DecisionData): void {
        if (!isFinal(task.job.state)) {
            this.lossRate.discountLosses(task.lossesInARow);
            this.failJob(task, { task: task.name, reason: "crashes-workers", ...data });
        }
    }

    private failJob(task: Task, data: DecisionData): void {
        const { job } = task;
        if (job.isGuest) {
            // The leader of its shard lets it fail, once the task is back there.
            task.lossesInARow = Math.max(task.lossesInARow, MAX_LOSSES_IN_A_ROW);
            job.recordChange();
        } else if (!isFinal(job.state)) {
            job.state = "failed";
            this.host.onJobFailed(job, data);
        }
    }
}

function namesOf(runs: readonly Run[]): string {
    return runs.map(run => run.record.task).join(" ");
}

/** @returns The runs of accused tasks, or else of suspected ones, if there are any: they are a more likely cause. */
function mostLikely(runs: readonly Run[]): readonly Run[] {
    const accused = runs.filter(run => run.task.suspicion?.isAccused === true);
    const suspected = runs.filter(run => run.task.suspicion?.recorded !== undefined);
    return [accused, suspected].find(each => each.length > 0) ?? runs;
}

/** @returns Whether a task was accused, or lost workers more than once since it last worked for some time, also at one moment with others. */
function hasOwnEvidence(task: Task): boolean {
    return task.suspicion?.isAccused === true || task.lossesInARow >= MIN_LOSSES_OF_ITS_OWN;
}

/**
 * An inherited run may have been at work for hours, so it is no cause for a first suspicion: when workers are lost
 * together with the leader, all their tasks would be suspected.
 */
function canBeSuspected(run: Run): boolean {
    return !run.isInherited || run.task.suspicion?.recorded !== undefined;
}
